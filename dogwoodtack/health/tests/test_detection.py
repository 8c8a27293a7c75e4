"""Detection delay and false ejections at realistic sizes of service and fleet.

The bounds are the detection targets of the design documents.
"""

import unittest

import numpy as np
from nose2.tools import params

from lab.detect_rules import SimulatedFleet, dogwoodtack_ejections
from lab.detect_simulation import SITES, Fault, make_attempts

SEEDS = (11, 12, 13, 14)
ONSET_S = 40.0
HOSTS = 36
FAULT_FREE_S = 1200.0
LOWEST_CAUTION = 0.0
HIGHEST_CAUTION = 1.0
WORST_CASE_CAUTION = LOWEST_CAUTION  # ejects at the lowest score


def run(site, load, fault, caution, seed, end_s):
    rng = np.random.default_rng(seed)
    size = SITES[site]
    attempts = make_attempts(size, load, fault, HOSTS, ONSET_S, end_s, rng)
    return dogwoodtack_ejections(
        size, attempts, SimulatedFleet(HOSTS, False), end_s, caution
    )


class DetectionTests(unittest.TestCase):
    @params(
        ("jobtrack", LOWEST_CAUTION, Fault("errors", error_ratio=1.0), 3.0),
        ("jobtrack", LOWEST_CAUTION, Fault("errors", error_ratio=0.2), 15.0),
        ("jobtrack", LOWEST_CAUTION, Fault("slow", slow_factor=5.0), 15.0),
        ("jobtrack", LOWEST_CAUTION, Fault("never answers", hang_ratio=1.0), 6.0),
        ("certdocs", LOWEST_CAUTION, Fault("errors", error_ratio=1.0), 3.0),
        ("pack-store", HIGHEST_CAUTION, Fault("slow", slow_factor=5.0), 15.0),
        ("pack-store", HIGHEST_CAUTION, Fault("never answers", hang_ratio=1.0), 6.0),
    )
    def test_unhealthy_instance_is_found_in_time(self, site, caution, fault, bound_s):
        for seed in SEEDS:
            found = run(site, 0.6, fault, caution, seed, ONSET_S + bound_s)
            self.assertEqual([one.instance for one in found], [0], seed)
            self.assertGreaterEqual(found[0].at, ONSET_S, seed)

    @params(
        ("jobtrack", 0.6, Fault("slow", slow_factor=3.0, affects_all=True)),
        ("jobtrack", 0.6, Fault("errors", error_ratio=0.2, affects_all=True)),
        ("jobtrack", 0.6, Fault("bad caller", error_ratio=0.05, affects_all=True)),
        ("certdocs", 0.9, Fault("slow", slow_factor=3.0, affects_all=True)),
        ("certdocs", 0.9, Fault("errors", error_ratio=0.2, affects_all=True)),
        ("certdocs", 0.9, Fault("bad caller", error_ratio=0.05, affects_all=True)),
        ("certdocs", 0.9, Fault("cold start", slow_factor=5.0, is_cold_start=True)),
    )
    def test_fault_of_whole_service_ejects_nothing(self, site, load, fault):
        for seed in SEEDS:
            found = run(site, load, fault, WORST_CASE_CAUTION, seed, ONSET_S + 40.0)
            self.assertEqual(found, [], seed)

    @params(("pack-store", 0.6), ("pack-store", 0.9), ("certdocs", 0.9))
    def test_no_fault_ejects_nothing(self, site, load):
        found = run(site, load, Fault("none"), HIGHEST_CAUTION, 21, FAULT_FREE_S)
        self.assertEqual(found, [])
