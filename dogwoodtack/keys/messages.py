"""What the caller's door and the key table say to each other."""

from typing import NamedTuple

from ..backends import Header
from ..errors import ErrorKind

__all__ = [
    "KeyDecision",
    "KeyRequest",
    "KeyResult",
    "KeyTicket",
    "NotRun",
    "Ran",
    "Refuse",
    "Replay",
    "Run",
    "StoredAnswer",
    "Unknown",
]


class KeyRequest(NamedTuple):
    """A non-idempotent request that asks whether it may run.

    Attributes:
        key: the caller's Idempotency-Key.
        service: the service it is for.
        fingerprint: a digest of method, target and body; the same key with
            another fingerprint is another request and is refused.
    """

    key: str
    service: str
    fingerprint: str


class KeyTicket(NamedTuple):
    """The right to dispatch a request once, under its key."""

    key: str
    serial: int


class StoredAnswer(NamedTuple):
    """A whole answer that is kept for repeats of its request."""

    status: int
    headers: list[Header]
    body: bytes


class Run(NamedTuple):
    """The request may be dispatched, once."""

    ticket: KeyTicket


class Replay(NamedTuple):
    """The request ran before; this is its answer."""

    answer: StoredAnswer


class Refuse(NamedTuple):
    """The request is not dispatched, for this reason."""

    kind: ErrorKind
    detail: str = ""


KeyDecision = Run | Replay | Refuse


class Ran(NamedTuple):
    """The request ran; the answer is None where it was too large to keep."""

    answer: StoredAnswer | None


class NotRun(NamedTuple):
    """No byte reached a back end, or the back end shed it unexecuted."""


class Unknown(NamedTuple):
    """The request may have run."""


KeyResult = Ran | NotRun | Unknown
