"""Tests of what a request does after an attempt."""

import itertools
import unittest

from nose2.tools import params

from dogwoodtack.placement import Ending, Step, Turn, next_step

TURN = Turn(
    ending=Ending.CUT,
    is_idempotent=True,
    may_have_run=True,
    tries=1,
    max_tries=2,
    has_budget=True,
    has_time=True,
)
NOT_RUN_ENDINGS = (Ending.NOT_EXECUTED, Ending.MISDIRECTED, Ending.NOT_SENT)


class NextStepTest(unittest.TestCase):
    @params(
        ({"ending": Ending.ANSWERED}, Step.PASS_ON),
        ({"ending": Ending.FAILED}, Step.SEND_AGAIN),
        ({"ending": Ending.FAILED, "tries": 2}, Step.PASS_ON),
        ({"ending": Ending.FAILED, "has_budget": False}, Step.PASS_ON),
        ({"ending": Ending.FAILED, "is_idempotent": False}, Step.PASS_ON),
        ({"ending": Ending.CUT}, Step.SEND_AGAIN),
        ({"ending": Ending.CUT, "has_time": False}, Step.GIVE_UP),
        ({"ending": Ending.CUT, "is_idempotent": False}, Step.GIVE_UP),
        ({"ending": Ending.TIMED_OUT, "has_time": False}, Step.TIME_OUT),
        (
            {
                "ending": Ending.NOT_EXECUTED,
                "is_idempotent": False,
                "may_have_run": False,
            },
            Step.SEND_AGAIN,
        ),
        (
            {"ending": Ending.NOT_EXECUTED, "may_have_run": False, "has_budget": False},
            Step.REFUSE,
        ),
        ({"ending": Ending.NOT_EXECUTED, "has_budget": False}, Step.GIVE_UP),
    )
    def test_step(self, changes, expected):
        self.assertIs(next_step(TURN._replace(**changes)), expected)

    def test_no_turn_breaks_at_most_once_or_a_promise(self):
        """Every turn there is: unsafe work never goes on after it may have run."""
        flags = (False, True)
        for ending, idempotent, ran, budget, time in itertools.product(
            Ending, flags, flags, flags, flags
        ):
            ran = ran or ending not in NOT_RUN_ENDINGS
            for tries in range(4):
                turn = Turn(ending, idempotent, ran, tries, 2, budget, time)
                step = next_step(turn)
                if step is Step.SEND_AGAIN:
                    self.assertTrue(idempotent or not ran, turn)
                    self.assertTrue(budget and time and tries < 2, turn)
                if step is Step.REFUSE:
                    self.assertFalse(ran, turn)
