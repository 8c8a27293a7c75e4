"""Tests of which requests are bad, of the windows, and of merged reports."""

import unittest

from nose2.tools import params

from dogwoodtack.burn import (
    BurnTracker,
    Objective,
    RequestResult,
    format_report,
    is_bad,
    merge_reports,
)
from dogwoodtack.clock import VirtualClock
from dogwoodtack.errors import ErrorKind, Outcome

OBJECTIVE = Objective(good_ratio=0.99, slow_s=0.5)
GOOD = RequestResult("jobtrack", True, Outcome.RAN, 200, 0.1, True)


class IsBadTest(unittest.TestCase):
    @params(
        ("good", GOOD, False),
        ("slow", GOOD._replace(latency_s=0.6), True),
        ("server error", GOOD._replace(status=500), True),
        ("caller's error", GOOD._replace(status=404), False),
        ("cut", GOOD._replace(is_complete=False), True),
        ("unknown", GOOD._replace(outcome=Outcome.UNKNOWN, status=504), True),
        (
            "overloaded",
            GOOD._replace(outcome=Outcome.NOT_RUN, error=ErrorKind.OVERLOADED),
            True,
        ),
        (
            "key malformed",
            GOOD._replace(outcome=Outcome.NOT_RUN, error=ErrorKind.KEY_MALFORMED),
            False,
        ),
    )
    def test_is_bad(self, _name, result, expected):
        self.assertEqual(is_bad(result, OBJECTIVE), expected)


class BurnTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.burn = BurnTracker(self.clock, lambda name: OBJECTIVE)

    def serve(self, good, bad):
        for _ in range(good):
            self.burn.record(GOOD)
        for _ in range(bad):
            self.burn.record(GOOD._replace(status=500))

    def rows(self):
        return {row["window_s"]: row for row in self.burn.report()["rows"]}

    @params((99, 1, 1.0), (50, 50, 50.0), (10, 0, 0.0))
    def test_burn_rate(self, good, bad, rate):
        self.serve(good, bad)
        for row in self.rows().values():
            self.assertAlmostEqual(row["burn"], rate)

    @params((400, 0, 100, 100), (4000, 0, 0, 100), (30_000, 0, 0, 0))
    def test_windows_drop_old_requests(self, later_s, short, middle, long):
        self.serve(0, 100)
        self.clock.advance(later_s)
        totals = [row["total"] for row in self.rows().values()]
        self.assertEqual(totals, [short, middle, long])

    def test_disconnected_callers_do_not_count(self):
        self.burn.record(GOOD._replace(is_caller_gone=True))
        self.assertEqual(self.burn.report()["rows"], [])

    def test_merged_reports(self):
        self.serve(9, 1)
        merged = merge_reports([self.burn.report(), self.burn.report()])
        row = merged["rows"][0]
        self.assertEqual((row["total"], row["bad"]), (20, 2))
        self.assertAlmostEqual(row["burn"], 10.0)
        self.assertIn("jobtrack  idempotent  5m", format_report(merged))
