"""Tests of the retry decision after an attempt."""

import itertools
import unittest

from nose2.tools import params

from dogwoodtack.placement import (
    AttemptContext,
    AttemptOutcome,
    NextAction,
    next_action,
)

CONTEXT = AttemptContext(
    outcome=AttemptOutcome.CUT,
    is_idempotent=True,
    may_have_run=True,
    attempts=1,
    max_attempts=2,
    has_retry_budget=True,
    has_time=True,
)
NOT_RUN_OUTCOMES = (
    AttemptOutcome.NOT_EXECUTED,
    AttemptOutcome.MISDIRECTED,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.HOST_EXHAUSTED,
)


class NextActionTest(unittest.TestCase):
    @params(
        ({"outcome": AttemptOutcome.ANSWERED}, NextAction.FORWARD),
        ({"outcome": AttemptOutcome.FAILED}, NextAction.RETRY),
        ({"outcome": AttemptOutcome.FAILED, "attempts": 2}, NextAction.FORWARD),
        (
            {"outcome": AttemptOutcome.FAILED, "has_retry_budget": False},
            NextAction.FORWARD,
        ),
        (
            {"outcome": AttemptOutcome.FAILED, "is_idempotent": False},
            NextAction.FORWARD,
        ),
        ({"outcome": AttemptOutcome.CUT}, NextAction.RETRY),
        ({"outcome": AttemptOutcome.CUT, "has_time": False}, NextAction.FAIL),
        ({"outcome": AttemptOutcome.CUT, "is_idempotent": False}, NextAction.FAIL),
        ({"outcome": AttemptOutcome.TIMED_OUT, "has_time": False}, NextAction.TIME_OUT),
        (
            {
                "outcome": AttemptOutcome.NOT_EXECUTED,
                "is_idempotent": False,
                "may_have_run": False,
            },
            NextAction.RETRY,
        ),
        (
            {
                "outcome": AttemptOutcome.NOT_EXECUTED,
                "may_have_run": False,
                "has_retry_budget": False,
            },
            NextAction.REJECT,
        ),
        (
            {"outcome": AttemptOutcome.NOT_EXECUTED, "has_retry_budget": False},
            NextAction.FAIL,
        ),
        (
            {"outcome": AttemptOutcome.HOST_EXHAUSTED, "may_have_run": False},
            NextAction.REJECT,
        ),
        ({"outcome": AttemptOutcome.HOST_EXHAUSTED}, NextAction.FAIL),
    )
    def test_next_action(self, changes, expected):
        self.assertIs(next_action(CONTEXT._replace(**changes)), expected)

    def test_at_most_once_and_rejections_hold_in_every_context(self):
        """Checks every context.

        A non-idempotent request that may have run is never retried, and a rejection
        promises that the request has not run.
        """
        flags = (False, True)
        for outcome, idempotent, ran, budget, time in itertools.product(
            AttemptOutcome, flags, flags, flags, flags
        ):
            ran = ran or outcome not in NOT_RUN_OUTCOMES
            for attempts in range(4):
                ctx = AttemptContext(
                    outcome, idempotent, ran, attempts, 2, budget, time
                )
                action = next_action(ctx)
                if action is NextAction.RETRY:
                    self.assertTrue(idempotent or not ran, ctx)
                    self.assertTrue(budget and time and attempts < 2, ctx)
                if action is NextAction.REJECT:
                    self.assertFalse(ran, ctx)
