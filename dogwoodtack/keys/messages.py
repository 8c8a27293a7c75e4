"""Messages between the caller frontend, the key table and other entry hosts."""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..backends import Header
from ..errors import ErrorKind, Outcome

__all__ = [
    "KeyDecision",
    "KeyRequest",
    "KeyResult",
    "KeyTicket",
    "NotRun",
    "OnSettled",
    "Ran",
    "Refuse",
    "Replay",
    "Run",
    "SettleReply",
    "SettleRequest",
    "SettleSender",
    "SettleStatus",
    "StoredResponse",
    "Unknown",
]


class KeyRequest(NamedTuple):
    """A non-idempotent request that needs a decision whether it may run.

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


class StoredResponse(NamedTuple):
    """A complete response that is stored for retries of its request."""

    status: int
    headers: list[Header]
    body: bytes


class Run(NamedTuple):
    """The request may be dispatched, once."""

    ticket: KeyTicket


class Replay(NamedTuple):
    """The request ran before; this is its response."""

    response: StoredResponse


class Refuse(NamedTuple):
    """The request is not dispatched, for this reason.

    Attributes:
        kind: the reason.
        detail: an explanation for a person.
        outcome: the outcome to report to the caller, None for that of the kind.
    """

    kind: ErrorKind
    detail: str = ""
    outcome: Outcome | None = None


KeyDecision = Run | Replay | Refuse


class Ran(NamedTuple):
    """The request ran; the response is None where it was too large to store."""

    response: StoredResponse | None


class NotRun(NamedTuple):
    """No byte reached a back end, or the back end shed it unexecuted."""


class Unknown(NamedTuple):
    """The request may have run."""


KeyResult = Ran | NotRun | Unknown


class SettleStatus(enum.StrEnum):
    """The status of a key, as one entry host reports it to another."""

    DONE = "done"
    ANSWER_LOST = "answer-lost"
    IN_FLIGHT = "in-flight"
    OUTCOME_LOST = "outcome-lost"
    HANDED_OVER = "handed-over"
    VOIDED = "voided"
    HELD = "held"
    REUSED = "reused"
    EXPIRED = "expired"
    MALFORMED = "malformed"
    OVERLOADED = "overloaded"
    NOT_HERE = "not-here"
    UNREACHABLE = "unreachable"


class SettleRequest(NamedTuple):
    """A request for a key from one entry host to another.

    Attributes:
        to: the incarnation that it is for; another one at the same address
            knows nothing of the key and replies NOT_HERE.
        asker: the incarnation of the requester.
        token: drawn by the requester for this key; a hand-over is bound to it,
            so a requester that has forgotten the key cannot be granted it again.
        key: the caller's key.
        seal: a digest of the service and the request's fingerprint, in hex.
    """

    to: str
    asker: str
    token: str
    key: str
    seal: str


class SettleReply(NamedTuple):
    """The reply to a SettleRequest.

    Attributes:
        status: the status of the key.
        response: the stored response, with DONE.
        successor: the incarnation that the key was handed to, with VOIDED.
    """

    status: SettleStatus
    response: StoredResponse | None = None
    successor: str = ""


OnSettled = Callable[[SettleReply], None]


class SettleSender(Protocol):
    """Sends a SettleRequest to another entry host."""

    def send(self, request: SettleRequest, on_settled: OnSettled) -> None:
        """Send a request and call `on_settled` with the reply, once; never raise."""
