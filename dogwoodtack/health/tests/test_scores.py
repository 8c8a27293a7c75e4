"""The arithmetic of the statistical tests against peers."""

import unittest

from nose2.tools import params

from ..scores import (
    Allowance,
    Share,
    allowed_share,
    dispersion,
    likelihood_ratio,
    peer_shares,
    score_threshold,
)

ALLOWANCE = Allowance(1.5, 0.002, 0.01, 30.0)


class ScoresTests(unittest.TestCase):
    @params(
        ("one unhealthy", [(9, 10)] + [(0, 10)] * 5, 1, (0, 40)),
        ("one unhealthy, its own peers", [(9, 10)] + [(0, 10)] * 5, 0, (0, 50)),
        ("all alike", [(2, 10)] * 6, 0, (10, 50)),
        ("two instances", [(9, 10), (0, 10)], 1, (9, 10)),
        ("no attempts", [(0, 0)] * 4, 0, (0, 0)),
    )
    def test_peers_leave_out_outliers(self, name, counts, index, expected):
        peers = peer_shares([Share(*one) for one in counts])[index]
        self.assertEqual(tuple(peers), expected)

    @params(
        ("fewer than allowed", (1, 100), 0.02, 0.0, 0.0),
        ("as many as allowed", (2, 100), 0.02, 0.0, 0.0),
        ("no attempts", (0, 0), 0.02, 0.0, 0.0),
        ("all failed", (3, 3), 0.01, 13.0, 14.0),
        ("every second failed", (50, 100), 0.01, 100.0, 300.0),
    )
    def test_likelihood_ratio(self, name, own, allowed, low, high):
        ratio = likelihood_ratio(Share(*own), Share(0, 1e9), allowed)
        self.assertGreaterEqual(ratio, low)
        self.assertLessEqual(ratio, high)

    def test_few_peers_weaken_the_evidence(self):
        own = Share(10, 20)
        many = likelihood_ratio(own, Share(0, 1000), 0.05)
        few = likelihood_ratio(own, Share(0, 20), 0.05)
        self.assertAlmostEqual(few / many, 0.5, delta=0.02)

    @params(
        (0, 0, 0.01, 0.02),
        (0, 1000, 0.002, 0.003),
        (200, 1000, 0.2, 0.3),
        (1000, 1000, 0.9, 0.999),
    )
    def test_allowed_share_follows_the_peers(self, hits, total, low, high):
        allowed = allowed_share(Share(hits, total), ALLOWANCE)
        self.assertGreaterEqual(allowed, low)
        self.assertLessEqual(allowed, high)

    @params(
        ("runs of slow responses", [(0, 100), (50, 100)] * 5, 5.0, 1000.0),
        ("all alike", [(25, 100)] * 10, 0.0, 1.0),
        ("one unhealthy", [(25, 100)] * 9 + [(95, 100)], 0.0, 1.0),
    )
    def test_dispersion(self, name, counts, low, high):
        observed = dispersion([Share(*one) for one in counts])
        self.assertGreaterEqual(observed, low)
        self.assertLessEqual(observed, high)

    def test_caution_raises_the_threshold(self):
        limits = [score_threshold(caution) for caution in (0, 0.5, 1)]
        self.assertEqual(limits, sorted(set(limits)))
