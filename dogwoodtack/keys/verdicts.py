"""What a key's entry means to a copy of its request, here or at another host."""

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
    SettleAsk,
    SettleReply,
    SettleWord,
    Unknown,
)

__all__ = [
    "decision_of",
    "finished",
    "refusal_of",
    "seal_of",
    "word_for",
    "word_for_given",
]

SEAL_BYTES = 16

REFUSALS: dict[SettleWord, ErrorKind] = {
    SettleWord.ANSWER_LOST: ErrorKind.KEY_ANSWER_LOST,
    SettleWord.IN_FLIGHT: ErrorKind.KEY_IN_FLIGHT,
    SettleWord.OUTCOME_LOST: ErrorKind.KEY_OUTCOME_LOST,
    SettleWord.HANDED_OVER: ErrorKind.KEY_OUTCOME_LOST,
    SettleWord.VOIDED: ErrorKind.KEY_VOIDED,
    SettleWord.HELD: ErrorKind.KEY_VOIDED,
    SettleWord.REUSED: ErrorKind.KEY_REUSED,
    SettleWord.EXPIRED: ErrorKind.KEY_EXPIRED,
    SettleWord.MALFORMED: ErrorKind.KEY_MALFORMED,
    SettleWord.OVERLOADED: ErrorKind.OVERLOADED,
    SettleWord.NOT_HERE: ErrorKind.OWNER_UNREACHABLE,
    SettleWord.UNREACHABLE: ErrorKind.OWNER_UNREACHABLE,
}
WORDS: dict[KeyState, SettleWord] = {
    KeyState.RAN: SettleWord.ANSWER_LOST,
    KeyState.UNKNOWN: SettleWord.OUTCOME_LOST,
    KeyState.ABSENT: SettleWord.HELD,
    KeyState.IN_FLIGHT: SettleWord.IN_FLIGHT,
    KeyState.ASKING: SettleWord.IN_FLIGHT,
}


def seal_of(req: KeyRequest) -> bytes:
    """Return a digest of what a key was used for."""
    text = f"{req.service}\0{req.fingerprint}".encode()
    return hashlib.blake2b(text, digest_size=SEAL_BYTES).digest()


@singledispatch
def finished(result: KeyResult, entry: KeyEntry) -> KeyEntry:
    """Return a dispatched key's entry after its result."""
    raise TypeError(f"not a key result: {result!r}")


@finished.register
def _(result: NotRun, entry: KeyEntry) -> KeyEntry:
    return entry._replace(state=KeyState.FREE)


@finished.register
def _(result: Ran, entry: KeyEntry) -> KeyEntry:
    return entry._replace(state=KeyState.RAN, answer=result.answer)


@finished.register
def _(result: Unknown, entry: KeyEntry) -> KeyEntry:
    return entry._replace(state=KeyState.UNKNOWN)


def word_for(entry: KeyEntry) -> SettleReply:
    """Return what a key that may not run here means to another copy."""
    if entry.state is KeyState.RAN and entry.answer is not None:
        return SettleReply(SettleWord.DONE, entry.answer)
    return SettleReply(WORDS[entry.state])


def word_for_given(ask: SettleAsk, entry: KeyEntry) -> SettleReply:
    """Return what a key that was handed over means to an asker."""
    if (entry.successor, entry.granted) == (ask.asker, ask.token):
        return SettleReply(SettleWord.HANDED_OVER)
    return SettleReply(SettleWord.VOIDED, successor=entry.successor)


def refusal_of(word: SettleWord) -> Refuse:
    """Return the refusal that a word means to a caller."""
    return Refuse(REFUSALS.get(word, ErrorKind.KEY_OUTCOME_LOST))


def decision_of(reply: SettleReply) -> KeyDecision:
    """Return what a caller is told after a reply that grants nothing."""
    if reply.word is SettleWord.DONE and reply.answer is not None:
        return Replay(reply.answer)
    return refusal_of(reply.word)
