"""Goodput, latency and fairness targets under overload, in virtual time."""

import unittest

from absl import flags
from nose2.tools import params

from lab.overload import SCENARIOS, SITES, measure

MAX_AMPLIFICATION = 1.1
MIN_GOODPUT = 0.85
DEADLINE_SHARE = 0.5
MIN_CUSTOMER_SUCCESS = 0.9
VIRTUAL_S = 3.0


class OverloadTest(unittest.TestCase):
    def setUp(self):
        if not flags.FLAGS.is_parsed():
            flags.FLAGS.mark_as_parsed()
        flags.FLAGS.virtual_s = VIRTUAL_S

    @params(*[(scenario,) for scenario in SCENARIOS])
    def test_targets(self, scenario):
        site = SITES[0]
        stats = measure(site, scenario, False, range(1))
        self.assertLessEqual(stats.amplification, MAX_AMPLIFICATION)
        if scenario.restarted_share or scenario.load <= 1.0:
            return
        self.assertGreaterEqual(stats.goodput, MIN_GOODPUT)
        self.assertLessEqual(stats.p99_ms, DEADLINE_SHARE * site.deadline_s * 1000)
        self.assertLessEqual(
            stats.rejection_p99_ms, DEADLINE_SHARE * site.deadline_s * 1000
        )
        if scenario.greedy_share:
            self.assertGreaterEqual(stats.min_customer_success, MIN_CUSTOMER_SUCCESS)
