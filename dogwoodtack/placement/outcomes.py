"""What an attempt ended with, and what the request does next."""

import enum
from typing import NamedTuple

from .health_estimate import Observation

__all__ = [
    "NOT_RUN",
    "AttemptContext",
    "AttemptOutcome",
    "NextAction",
    "next_action",
    "observation_for",
]


class AttemptOutcome(enum.StrEnum):
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


_OBSERVATIONS = {
    AttemptOutcome.ANSWERED: Observation.SUCCESS,
    AttemptOutcome.FAILED: Observation.ERROR,
    AttemptOutcome.NOT_EXECUTED: Observation.SHED,
    AttemptOutcome.MISDIRECTED: Observation.UNREACHABLE,
    AttemptOutcome.NOT_SENT: Observation.UNREACHABLE,
    AttemptOutcome.CUT: Observation.BROKEN_RESPONSE,
    AttemptOutcome.MALFORMED: Observation.BROKEN_RESPONSE,
    AttemptOutcome.TIMED_OUT: Observation.NO_RESPONSE,
}

# After these the request has certainly not run at the instance.
NOT_RUN = frozenset(
    {AttemptOutcome.NOT_EXECUTED, AttemptOutcome.MISDIRECTED, AttemptOutcome.NOT_SENT}
)


def observation_for(outcome: AttemptOutcome) -> Observation:
    """Return what an ending shows of its instance."""
    return _OBSERVATIONS[outcome]


class NextAction(enum.StrEnum):
    """What a request does after an attempt."""

    FORWARD = "pass-on"
    RETRY = "send-again"
    REJECT = "refuse"
    FAIL = "give-up"
    TIME_OUT = "time-out"


class AttemptContext(NamedTuple):
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

    outcome: AttemptOutcome
    is_idempotent: bool
    may_have_run: bool
    attempts: int
    max_attempts: int
    has_retry_budget: bool
    has_time: bool


def next_action(ctx: AttemptContext) -> NextAction:
    """Return what to do with a request whose attempt has ended.

    A request that is not idempotent goes on only if nothing of it can have run.
    Refusing says that the request never ran, so it needs the same proof.
    """
    if ctx.outcome is AttemptOutcome.ANSWERED:
        return NextAction.FORWARD
    may_repeat = ctx.is_idempotent or not ctx.may_have_run
    has_tries = ctx.attempts < ctx.max_attempts
    if may_repeat and has_tries and ctx.has_retry_budget and ctx.has_time:
        return NextAction.RETRY
    if ctx.outcome is AttemptOutcome.FAILED:
        return NextAction.FORWARD
    if not ctx.may_have_run:
        return NextAction.REJECT
    return (
        NextAction.TIME_OUT
        if ctx.outcome is AttemptOutcome.TIMED_OUT
        else NextAction.FAIL
    )
