"""What entry hosts tell each other of leaving back ends."""

import enum
from typing import Any, NamedTuple, TypedDict

from ..errors import ErrorKind, RequestError

__all__ = ["Hint", "HintForm", "LeavingSource", "hint_form", "parse_hint"]


class LeavingSource(enum.StrEnum):
    """Who said that a back end is leaving."""

    OWN_WORD = "own-word"
    PEER = "peer"
    HOST_LIST = "host-list"


class HintForm(TypedDict):
    """A hint as JSON."""

    service: str
    instance: str


class Hint(NamedTuple):
    """An entry host heard an instance itself say that it drains."""

    service: str
    instance: str


def hint_form(hint: Hint) -> HintForm:
    """Return a hint as it is sent."""
    return {"service": hint.service, "instance": hint.instance}


def parse_hint(body: Any) -> Hint:
    """Read a hint.

    Raises:
        RequestError: BAD_REQUEST where the form is not a hint's.
    """
    try:
        return Hint(str(body["service"]), str(body["instance"]))
    except (KeyError, TypeError) as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, f"not a hint: {exc!r}") from exc
