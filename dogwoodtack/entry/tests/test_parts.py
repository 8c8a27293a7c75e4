"""Tests of explanations, idle trust, and settings that shape an entry host."""

import unittest

from nose2.tools import params

from dogwoodtack.entry.explain import explain_request
from dogwoodtack.entry.trust import FIRST_TRUST_S, LEAST_TRUST_S, IdleTrust

LINE = (
    "2026-12-04T01:00:0{second}.000+00:00 level=INFO node=h-{second} event=request "
    "id=00ad route=r service=jobs kind={kind} version=7 reason={reason} "
    'status={status} ms=5 waited_ms=1 tries={tries} detail="{detail}"'
)


def make_line(
    second=1, kind="unsafe", reason="served", status=200, tries="", detail=""
):
    return LINE.format(**locals())


class ExplainTest(unittest.TestCase):
    @params(
        ({}, "It was served."),
        ({"status": 500, "tries": "i-1/0.85/failed/2"}, "was not sent again"),
        (
            {"status": 500, "kind": "safe", "tries": "i-1/0.8/failed/2|i-2/0.9/cut/3"},
            "was sent again",
        ),
        ({"reason": "overloaded", "status": 503, "detail": "ahead 3"}, "(ahead 3)"),
        ({"reason": "backend-timeout", "status": 504}, "may have run"),
        ({"reason": "odd", "status": 500}, "answered odd"),
    )
    def test_cause(self, fields, expected):
        other = make_line().replace("id=00ad", "id=00ae")
        found = explain_request([other, make_line(**fields)], "00ad")
        self.assertIn(expected, found.cause)
        self.assertEqual(len(found.lines), 1)

    def test_lines_of_all_hosts_are_put_in_order(self):
        lines = [make_line(second) for second in (3, 1, 2)]
        found = explain_request(lines, "00ad")
        self.assertEqual(found.lines, sorted(lines))

    def test_each_try_is_told(self):
        line = make_line(status=500, tries="i-1/0.85/failed/2|i-2/0.10/failed/4")
        told = explain_request([line], "00ad").tries
        self.assertIn("likely sick", told[0])
        self.assertIn("likely sound", told[1])

    def test_an_unknown_request(self):
        self.assertIsNone(explain_request([make_line()], "00af"))


class IdleTrustTest(unittest.TestCase):
    """Load pattern: instances forget connections that are idle for a second."""

    def test_a_drop_shortens_trust_and_good_use_lengthens_it_slowly(self):
        trust = IdleTrust()
        self.assertEqual(trust.limit_s("jobs"), FIRST_TRUST_S)
        trust.on_dropped("jobs", 2.0)
        self.assertEqual(trust.limit_s("jobs"), 1.0)
        self.assertEqual(trust.limit_s("docs"), FIRST_TRUST_S)
        for _ in range(100):
            trust.on_good("jobs")
        self.assertLess(trust.limit_s("jobs"), 2.0)
        for _ in range(1000):
            trust.on_good("jobs")
        self.assertEqual(trust.limit_s("jobs"), FIRST_TRUST_S)

    @params(0.1, 0.5, 0.9)
    def test_trust_has_a_least(self, idle_s):
        trust = IdleTrust()
        for _ in range(5):
            trust.on_dropped("jobs", idle_s)
        self.assertEqual(trust.limit_s("jobs"), LEAST_TRUST_S)
