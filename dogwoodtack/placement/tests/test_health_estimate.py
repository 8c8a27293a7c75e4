"""Tests of the unhealthy probability of an instance."""

import unittest

from nose2.tools import params

from dogwoodtack.placement import HealthEstimate, Observation


def make_estimate(observations, step_s=0.1, start=100.0):
    estimate = HealthEstimate(start)
    now = start
    for observation in observations:
        now += step_s
        estimate.observe(observation, now)
    return estimate, now


class HealthEstimateTest(unittest.TestCase):
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
    def test_probability_after_observations(self, observations, lowest, highest):
        estimate, now = make_estimate(observations)
        self.assertGreaterEqual(estimate.unhealthy_probability(now), lowest)
        self.assertLessEqual(estimate.unhealthy_probability(now), highest)

    def test_old_observations_decay(self):
        estimate, now = make_estimate([Observation.ERROR] * 3)
        self.assertGreater(estimate.unhealthy_probability(now), 0.9)
        self.assertLess(estimate.unhealthy_probability(now + 20), 0.5)

    def test_frequent_failures_raise_the_baseline(self):
        """Gray failures recur at the same instances."""
        healthy, now = make_estimate([Observation.SUCCESS] * 300)
        often_unhealthy, _ = make_estimate(
            ([Observation.ERROR] * 20 + [Observation.SUCCESS] * 20) * 8
        )
        self.assertLess(healthy.unhealthy_probability(now + 10), 0.05)
        self.assertGreater(
            often_unhealthy.unhealthy_probability(now + 30),
            2 * healthy.unhealthy_probability(now + 30),
        )
