"""The decision or status that follows from a key's entry for a copy of its request."""

import hashlib
from functools import singledispatch

from ..errors import ErrorKind
from .memory import KeyEntry, KeyState
from .messages import (
    KeyDecision,
    KeyRequest,
    KeyResult,
    NotRun,
    Ran,
    Refuse,
    Replay,
    SettleReply,
    SettleRequest,
    SettleStatus,
    Unknown,
)

__all__ = [
    "decision_for",
    "entry_after",
    "refusal_for",
    "request_digest",
    "status_for",
    "status_for_handed_over",
]

DIGEST_BYTES = 16

REFUSALS: dict[SettleStatus, ErrorKind] = {
    SettleStatus.ANSWER_LOST: ErrorKind.KEY_ANSWER_LOST,
    SettleStatus.IN_FLIGHT: ErrorKind.KEY_IN_FLIGHT,
    SettleStatus.OUTCOME_LOST: ErrorKind.KEY_OUTCOME_LOST,
    SettleStatus.HANDED_OVER: ErrorKind.KEY_OUTCOME_LOST,
    SettleStatus.VOIDED: ErrorKind.KEY_VOIDED,
    SettleStatus.HELD: ErrorKind.KEY_VOIDED,
    SettleStatus.REUSED: ErrorKind.KEY_REUSED,
    SettleStatus.EXPIRED: ErrorKind.KEY_EXPIRED,
    SettleStatus.MALFORMED: ErrorKind.KEY_MALFORMED,
    SettleStatus.OVERLOADED: ErrorKind.OVERLOADED,
    SettleStatus.NOT_HERE: ErrorKind.OWNER_UNREACHABLE,
    SettleStatus.UNREACHABLE: ErrorKind.OWNER_UNREACHABLE,
}
STATUSES: dict[KeyState, SettleStatus] = {
    KeyState.RAN: SettleStatus.ANSWER_LOST,
    KeyState.UNKNOWN: SettleStatus.OUTCOME_LOST,
    KeyState.ABSENT: SettleStatus.HELD,
    KeyState.IN_FLIGHT: SettleStatus.IN_FLIGHT,
    KeyState.REQUESTING: SettleStatus.IN_FLIGHT,
}


def request_digest(req: KeyRequest) -> bytes:
    """Return a digest of the service and the request that a key was used for."""
    text = f"{req.service}\0{req.fingerprint}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()


@singledispatch
def entry_after(result: KeyResult, entry: KeyEntry) -> KeyEntry:
    """Return the entry of a dispatched key after its result."""
    raise TypeError(f"unknown key result: {result!r}")


@entry_after.register
def _(result: NotRun, entry: KeyEntry) -> KeyEntry:
    return entry._replace(state=KeyState.FREE)


@entry_after.register
def _(result: Ran, entry: KeyEntry) -> KeyEntry:
    return entry._replace(state=KeyState.RAN, response=result.response)


@entry_after.register
def _(result: Unknown, entry: KeyEntry) -> KeyEntry:
    return entry._replace(state=KeyState.UNKNOWN)


def status_for(entry: KeyEntry) -> SettleReply:
    """Return the status of a key that may not run here, for another copy."""
    if entry.state is KeyState.RAN and entry.response is not None:
        return SettleReply(SettleStatus.DONE, entry.response)
    return SettleReply(STATUSES[entry.state])


def status_for_handed_over(request: SettleRequest, entry: KeyEntry) -> SettleReply:
    """Return the status of a key that was handed over, for a requester."""
    if (entry.successor, entry.granted_token) == (request.asker, request.token):
        return SettleReply(SettleStatus.HANDED_OVER)
    return SettleReply(SettleStatus.VOIDED, successor=entry.successor)


def refusal_for(status: SettleStatus) -> Refuse:
    """Return the refusal to the caller that follows from a status."""
    return Refuse(REFUSALS.get(status, ErrorKind.KEY_OUTCOME_LOST))


def decision_for(reply: SettleReply) -> KeyDecision:
    """Return the decision for the caller after a reply that grants nothing."""
    if reply.status is SettleStatus.DONE and reply.response is not None:
        return Replay(reply.response)
    return refusal_for(reply.status)
