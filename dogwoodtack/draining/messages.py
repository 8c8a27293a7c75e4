"""Drain notices, which entry hosts send each other about draining instances."""

import enum
from typing import Any, NamedTuple, TypedDict

from ..errors import ErrorKind, RequestError

__all__ = [
    "DrainNotice",
    "DrainNoticeJson",
    "DrainSource",
    "notice_from_json",
    "notice_to_json",
]


class DrainSource(enum.StrEnum):
    """Who reported that an instance is draining."""

    RESPONSE = "own-word"
    PEER = "peer"
    HOST_LIST = "host-list"


class DrainNoticeJson(TypedDict):
    """A drain notice as JSON."""

    service: str
    instance: str


class DrainNotice(NamedTuple):
    """An instance that the sender found draining by a response or the host list."""

    service: str
    instance: str


def notice_to_json(notice: DrainNotice) -> DrainNoticeJson:
    """Return the JSON form of a drain notice."""
    return {"service": notice.service, "instance": notice.instance}


def notice_from_json(body: Any) -> DrainNotice:
    """Parse a drain notice.

    Raises:
        RequestError: BAD_REQUEST if the body is not a drain notice.
    """
    try:
        return DrainNotice(str(body["service"]), str(body["instance"]))
    except (KeyError, TypeError) as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, f"not a hint: {exc!r}") from exc
