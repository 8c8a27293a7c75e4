"""Tests of the belief about an instance."""

import unittest

from nose2.tools import params

from dogwoodtack.placement import Evidence, Sign


def believe(signs, step_s=0.1, start=100.0):
    belief = Evidence(start)
    now = start
    for sign in signs:
        now += step_s
        belief.observe(sign, now)
    return belief, now


class EvidenceTest(unittest.TestCase):
    @params(
        ([Sign.ERROR], 0.7, 1.0),
        ([Sign.GOOD] * 5 + [Sign.ERROR], 0.05, 0.7),
        ([Sign.ERROR] * 3, 0.95, 1.0),
        ([Sign.GOOD] * 5, 0.0, 0.05),
        ([Sign.ERROR, Sign.ERROR] + [Sign.GOOD] * 6, 0.0, 0.2),
        ([Sign.UNREACHABLE], 0.9, 1.0),
        ([Sign.RUMOUR], 0.2, 0.6),
        ([Sign.SHED] * 6, 0.0, 0.45),
    )
    def test_belief_after_signs(self, signs, least, most):
        belief, now = believe(signs)
        self.assertGreaterEqual(belief.sick(now), least)
        self.assertLessEqual(belief.sick(now), most)

    def test_time_blunts_what_was_seen(self):
        belief, now = believe([Sign.ERROR] * 3)
        self.assertGreater(belief.sick(now), 0.9)
        self.assertLess(belief.sick(now + 20), 0.5)

    def test_an_instance_that_was_often_sick_is_trusted_less_later(self):
        """Gray failures come back to the same instances."""
        steady, now = believe([Sign.GOOD] * 300)
        often, _ = believe(([Sign.ERROR] * 20 + [Sign.GOOD] * 20) * 8)
        self.assertLess(steady.sick(now + 10), 0.05)
        self.assertGreater(often.sick(now + 30), 2 * steady.sick(now + 30))
