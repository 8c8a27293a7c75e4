"""Outcomes of attempts, and the retry decision that follows from them."""

import enum
from typing import NamedTuple

from .health_estimate import Observation

__all__ = [
    "NOT_RUN_OUTCOMES",
    "AttemptContext",
    "AttemptOutcome",
    "NextAction",
    "next_action",
    "observation_for",
]


class AttemptOutcome(enum.StrEnum):
    """Outcome of one attempt at one instance.

    Attributes:
        ANSWERED: a complete response of the instance to this request.
        FAILED: a complete response that reports a failure of the instance.
        NOT_EXECUTED: the instance reports that it did not run the request.
        MISDIRECTED: another instance has the address now; it did not run the request.
        NOT_SENT: no byte of the request left this host.
        HOST_EXHAUSTED: the same, as this host could open no connection; it says nothing
            about the instance.
        CUT: the connection ended before a complete response.
        MALFORMED: the bytes received are no usable response to this request.
        TIMED_OUT: no complete response in time.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_EXECUTED = "not-executed"
    MISDIRECTED = "misdirected"
    NOT_SENT = "not-sent"
    HOST_EXHAUSTED = "host-exhausted"
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

# Outcomes after which the request has certainly not run at the instance.
NOT_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.NOT_EXECUTED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.HOST_EXHAUSTED,
    }
)


def observation_for(outcome: AttemptOutcome) -> Observation | None:
    """Return what an outcome shows about the instance, or None."""
    return _OBSERVATIONS.get(outcome)


class NextAction(enum.StrEnum):
    """What happens to a request after an attempt.

    Attributes:
        FORWARD: the instance's response is forwarded to the caller.
        RETRY: the request is sent to another instance.
        REJECT: the caller is told that the request has not run.
        FAIL: the caller is told that the request may have run.
        TIME_OUT: as FAIL, after an attempt that timed out.
    """

    FORWARD = "pass-on"
    RETRY = "send-again"
    REJECT = "refuse"
    FAIL = "give-up"
    TIME_OUT = "time-out"


class AttemptContext(NamedTuple):
    """State of a request after an attempt.

    Attributes:
        outcome: how the attempt ended.
        is_idempotent: whether the request may run more than once.
        may_have_run: whether this or an earlier attempt may have run it.
        attempts: attempts made that may count as a run at their instance.
        max_attempts: how many of them the route allows.
        has_retry_budget: whether the retry budget of the service allows a retry.
        has_time: whether another attempt could still get a response in time.
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

    A non-idempotent request is retried only if it cannot have run.  A rejection
    promises that the request never ran, so it has the same condition.
    """
    if ctx.outcome is AttemptOutcome.ANSWERED:
        return NextAction.FORWARD
    may_retry = ctx.is_idempotent or not ctx.may_have_run
    has_attempts_left = (
        ctx.attempts < ctx.max_attempts
        # Connecting to another instance would fail in the same way.
        and ctx.outcome is not AttemptOutcome.HOST_EXHAUSTED
    )
    if may_retry and has_attempts_left and ctx.has_retry_budget and ctx.has_time:
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
