"""What an attempt ended with, and what the request does next."""

import enum
from typing import NamedTuple

from .evidence import Sign

__all__ = ["NOT_RUN", "Ending", "Step", "Turn", "next_step", "sign_of"]


class Ending(enum.StrEnum):
    """How one attempt at one instance ended.

    Attributes:
        ANSWERED: a whole answer of the instance to this request.
        FAILED: a whole answer that reports a failure of the instance.
        NOT_EXECUTED: the instance says that it did not run the request.
        MISDIRECTED: another instance has the address now; it did not run it.
        NOT_SENT: no byte of the request left this host.
        CUT: the connection ended before a whole answer.
        MALFORMED: bytes came that are no usable answer to this request.
        TIMED_OUT: no whole answer in time.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_EXECUTED = "not-executed"
    MISDIRECTED = "misdirected"
    NOT_SENT = "not-sent"
    CUT = "cut"
    MALFORMED = "malformed"
    TIMED_OUT = "timed-out"


_SIGNS = {
    Ending.ANSWERED: Sign.GOOD,
    Ending.FAILED: Sign.ERROR,
    Ending.NOT_EXECUTED: Sign.SHED,
    Ending.MISDIRECTED: Sign.UNREACHABLE,
    Ending.NOT_SENT: Sign.UNREACHABLE,
    Ending.CUT: Sign.BROKEN,
    Ending.MALFORMED: Sign.BROKEN,
    Ending.TIMED_OUT: Sign.SILENT,
}

# After these the request has certainly not run at the instance.
NOT_RUN = frozenset({Ending.NOT_EXECUTED, Ending.MISDIRECTED, Ending.NOT_SENT})


def sign_of(ending: Ending) -> Sign:
    """Return what an ending shows of its instance."""
    return _SIGNS[ending]


class Step(enum.StrEnum):
    """What a request does after an attempt."""

    PASS_ON = "pass-on"
    SEND_AGAIN = "send-again"
    REFUSE = "refuse"
    GIVE_UP = "give-up"
    TIME_OUT = "time-out"


class Turn(NamedTuple):
    """Where a request stands after an attempt.

    Attributes:
        ending: how the attempt ended.
        is_idempotent: whether the request may run more than once.
        may_have_run: whether this or an earlier attempt may have run it.
        tries: attempts made that may count as a run at their instance.
        max_tries: how many the route allows.
        has_budget: whether the service has a repeat left.
        has_time: whether another attempt could still be answered in time.
    """

    ending: Ending
    is_idempotent: bool
    may_have_run: bool
    tries: int
    max_tries: int
    has_budget: bool
    has_time: bool


def next_step(turn: Turn) -> Step:
    """Return what to do with a request whose attempt has ended.

    A request that is not idempotent goes on only if nothing of it can have run.
    Refusing says that the request never ran, so it needs the same proof.
    """
    if turn.ending is Ending.ANSWERED:
        return Step.PASS_ON
    may_repeat = turn.is_idempotent or not turn.may_have_run
    has_tries = turn.tries < turn.max_tries
    if may_repeat and has_tries and turn.has_budget and turn.has_time:
        return Step.SEND_AGAIN
    if turn.ending is Ending.FAILED:
        return Step.PASS_ON
    if not turn.may_have_run:
        return Step.REFUSE
    return Step.TIME_OUT if turn.ending is Ending.TIMED_OUT else Step.GIVE_UP
