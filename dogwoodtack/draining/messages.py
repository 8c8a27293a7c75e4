"""What entry hosts tell each other of leaving back ends."""

import enum
from typing import Any, NamedTuple, TypedDict

from ..errors import ErrorKind, RequestError

__all__ = [
    "DrainNotice",
    "DrainNoticeJson",
    "DrainSource",
    "notice_to_json",
    "notice_from_json",
]


class DrainSource(enum.StrEnum):
    """Who said that a back end is leaving."""

    RESPONSE = "own-word"
    PEER = "peer"
    HOST_LIST = "host-list"


class DrainNoticeJson(TypedDict):
    """A notice as JSON."""

    service: str
    instance: str


class DrainNotice(NamedTuple):
    """An entry host heard an instance itself say that it drains."""

    service: str
    instance: str


def notice_to_json(notice: DrainNotice) -> DrainNoticeJson:
    """Return a notice as it is sent."""
    return {"service": notice.service, "instance": notice.instance}


def notice_from_json(body: Any) -> DrainNotice:
    """Read a notice.

    Raises:
        RequestError: BAD_REQUEST where the form is not a hint's.
    """
    try:
        return DrainNotice(str(body["service"]), str(body["instance"]))
    except (KeyError, TypeError) as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, f"not a hint: {exc!r}") from exc
