"""What the caller's door, the key table and other entry hosts say to each other."""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..backends import Header
from ..errors import ErrorKind, Outcome

__all__ = [
    "SettleSender",
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
    "SettleRequest",
    "SettleReply",
    "SettleStatus",
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
    """The request is not dispatched, for this reason.

    Attributes:
        kind: the reason.
        detail: more about it, for a person.
        outcome: what the caller may conclude, None for what the kind implies.
    """

    kind: ErrorKind
    detail: str = ""
    outcome: Outcome | None = None


KeyDecision = Run | Replay | Refuse


class Ran(NamedTuple):
    """The request ran; the answer is None where it was too large to keep."""

    answer: StoredAnswer | None


class NotRun(NamedTuple):
    """No byte reached a back end, or the back end shed it unexecuted."""


class Unknown(NamedTuple):
    """The request may have run."""


KeyResult = Ran | NotRun | Unknown


class SettleStatus(enum.StrEnum):
    """What one entry host tells another about a key."""

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
    """A question about a key from one entry host to another.

    Attributes:
        to: the incarnation that is asked; another one at the same address
            knows nothing of the key and says so.
        asker: the incarnation that asks.
        token: drawn by the asker for this key; a hand-over is bound to it, so
            an asker that has forgotten the key cannot be given it again.
        key: the caller's key.
        seal: a digest of the service and the request's fingerprint, in hex.
    """

    to: str
    asker: str
    token: str
    key: str
    seal: str


class SettleReply(NamedTuple):
    """The answer to a SettleRequest.

    Attributes:
        word: what is known of the key.
        answer: the kept answer, with DONE.
        successor: the incarnation that holds the key, with VOIDED.
    """

    status: SettleStatus
    answer: StoredAnswer | None = None
    successor: str = ""


OnSettled = Callable[[SettleReply], None]


class SettleSender(Protocol):
    """What carries a SettleRequest to another entry host."""

    def send(self, request: SettleRequest, on_settled: OnSettled) -> None:
        """Ask, and give the reply to `on_settled` once; never raise."""
