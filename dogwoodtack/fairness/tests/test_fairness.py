"""Tests of the ledger, the starved kinds and the services that are shared fairly."""

import math
import unittest

from nose2.tools import params

from dogwoodtack.fairness import ServedShares, UsageLedger, fair_services
from dogwoodtack.fairness.ledger import REPORT_TTL_S, USAGE_DECAY_S
from dogwoodtack.routing import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    WeightedService,
)


class UsageLedgerTest(unittest.TestCase):
    def test_past_work_is_forgotten_exponentially(self):
        ledger = UsageLedger()
        ledger.record("a", 2.0, 100.0)
        ledger.record("a", 1.0, 100.0 + USAGE_DECAY_S)
        usage_s = ledger.usage_s("a", 100.0 + USAGE_DECAY_S)
        self.assertAlmostEqual(usage_s, 2.0 / math.e + 1.0)
        self.assertEqual(ledger.totals(), {"a": 3.0}, "totals don't decay")

    @params(
        ("the first total may be hours old", (50.0,), 0.0),
        ("growth since the last one", (50.0, 50.5), 0.5),
        ("a source that has started again", (50.0, 0.2, 0.5), 0.3),
        ("repeated reports", (50.0, 50.5, 50.5), 0.5),
    )
    def test_totals_of_others_count_by_their_growth(self, case, totals_s, expected):
        ledger = UsageLedger()
        for total_s in totals_s:
            ledger.on_total("h-1", "a", total_s, 100.0)
        self.assertAlmostEqual(ledger.usage_s("a", 100.0), expected, msg=case)
        self.assertEqual(ledger.totals(), {}, "reports of others aren't passed on")

    def test_hosts_that_are_gone_are_forgotten(self):
        ledger = UsageLedger()
        for number in range(1000):
            ledger.on_total(f"h-{number}", "a", 1.0, number * REPORT_TTL_S / 10)
        self.assertLess(len(ledger._reports), 30)


class ServedSharesTest(unittest.TestCase):
    @params((0, True), (10, True), (30, False), (100, False))
    def test_kind_far_below_the_mean_is_starved(self, grants, expected):
        shares = ServedShares()
        for number in range(100):
            for kind in ("rare", "often"):
                shares.on_arrival(kind, 100.0)
            shares.on_grant("often", 100.0)
            if number < grants:
                shares.on_grant("rare", 100.0)
        self.assertIs(shares.is_starved("rare", 100.0), expected)
        self.assertFalse(shares.is_starved("often", 100.0))


class FairServicesTest(unittest.TestCase):
    @params(
        (None, {"files", "copies"}),
        ((), {"files", "copies", "pages"}),
    )
    def test_uploads_or_organisations_decide(self, organisations, expected):
        parts = {"upload": ("files", "copies"), "safe": ("pages", "files")}
        routes = []
        for kind, names in parts.items():
            services = tuple(WeightedService(one, 50.0) for one in names)
            routes.append(
                Route(kind, "a", "/", RouteKind(kind), services, None, 1.0, 1, 1)
            )
        cfg = Configuration(1, tuple(routes), (), CallerLimits(), organisations)
        self.assertEqual(fair_services(cfg), expected)


if __name__ == "__main__":
    unittest.main()
