"""Tests of the belief about an instance."""

import unittest

from nose2.tools import params

from dogwoodtack.placement import HealthEstimate, Observation


def believe(signs, step_s=0.1, start=100.0):
    belief = HealthEstimate(start)
    now = start
    for sign in signs:
        now += step_s
        belief.observe(sign, now)
    return belief, now


class EvidenceTest(unittest.TestCase):
    @params(
        ([Observation.ERROR], 0.7, 1.0),
        ([Observation.SUCCESS] * 5 + [Observation.ERROR], 0.05, 0.7),
        ([Observation.ERROR] * 3, 0.95, 1.0),
        ([Observation.SUCCESS] * 5, 0.0, 0.05),
        ([Observation.ERROR, Observation.ERROR] + [Observation.SUCCESS] * 6, 0.0, 0.2),
        ([Observation.UNREACHABLE], 0.9, 1.0),
        ([Observation.PEER_REPORT], 0.2, 0.6),
        ([Observation.SHED] * 6, 0.0, 0.45),
    )
    def test_belief_after_signs(self, signs, least, most):
        belief, now = believe(signs)
        self.assertGreaterEqual(belief.unhealthy_probability(now), least)
        self.assertLessEqual(belief.unhealthy_probability(now), most)

    def test_time_blunts_what_was_seen(self):
        belief, now = believe([Observation.ERROR] * 3)
        self.assertGreater(belief.unhealthy_probability(now), 0.9)
        self.assertLess(belief.unhealthy_probability(now + 20), 0.5)

    def test_an_instance_that_was_often_sick_is_trusted_less_later(self):
        """Gray failures come back to the same instances."""
        steady, now = believe([Observation.SUCCESS] * 300)
        often, _ = believe(([Observation.ERROR] * 20 + [Observation.SUCCESS] * 20) * 8)
        self.assertLess(steady.unhealthy_probability(now + 10), 0.05)
        self.assertGreater(
            often.unhealthy_probability(now + 30),
            2 * steady.unhealthy_probability(now + 30),
        )
