"""Tests of request explanations and of the idle limit of connections."""

import unittest

from nose2.tools import params

from dogwoodtack.entry.explain import explain_request
from dogwoodtack.entry.idle_limit import MAX_IDLE_LIMIT_S, MIN_IDLE_LIMIT_S, IdleLimit

LOG_LINE = (
    "2026-12-04T01:00:0{second}.000+00:00 level=INFO node=h-{second} event=request "
    "id=00ad route=r service=jobs kind={kind} version=7 reason={reason} "
    'status={status} ms=5 waited_ms=1 tries={tries} detail="{detail}"'
)


def make_line(
    second=1, kind="unsafe", reason="served", status=200, tries="", detail=""
):
    return LOG_LINE.format(**locals())


class ExplainTest(unittest.TestCase):
    @params(
        ({}, "The request was served."),
        ({"status": 500, "tries": "i-1/0.85/failed/2"}, "was not retried"),
        (
            {"status": 500, "kind": "safe", "tries": "i-1/0.8/failed/2|i-2/0.9/cut/3"},
            "was retried",
        ),
        ({"reason": "overloaded", "status": 503, "detail": "ahead 3"}, "(ahead 3)"),
        ({"reason": "unauthorized", "status": 401, "detail": "no key"}, "(no key)"),
        ({"reason": "unauthorized", "status": 401}, "The key is not valid"),
        ({"reason": "backend-timeout", "status": 504}, "the request may have run"),
        ({"reason": "odd", "status": 500}, "responded with odd"),
    )
    def test_cause(self, fields, expected):
        other_line = make_line().replace("id=00ad", "id=00ae")
        explanation = explain_request([other_line, make_line(**fields)], "00ad")
        self.assertIn(expected, explanation.cause)
        self.assertEqual(len(explanation.lines), 1)

    def test_lines_of_all_hosts_are_sorted_by_time(self):
        lines = [make_line(second) for second in (3, 1, 2)]
        explanation = explain_request(lines, "00ad")
        self.assertEqual(explanation.lines, sorted(lines))

    def test_each_attempt_is_described(self):
        line = make_line(status=500, tries="i-1/0.85/failed/2|i-2/0.10/failed/4")
        attempts = explain_request([line], "00ad").tries
        self.assertIn("likely unhealthy", attempts[0])
        self.assertIn("likely healthy", attempts[1])

    def test_handover_is_described(self):
        attempts = explain_request([make_line(tries="h-2/-/answered/9")], "00ad").tries
        self.assertIn("handed over to entry host h-2: answered", attempts[0])

    def test_request_of_a_killed_host_is_explained(self):
        """Nothing was known of a request that ran twice at a host that was killed."""
        line = (
            "2026-12-04T01:00:01.000+00:00 level=INFO node=h-1 event=request-resent "
            "request=00ad method=POST target=i-2 attempt=2 after=i-1 outcome=cut "
            "kind=safe prefix=/sign/ version=7"
        )
        explanation = explain_request([line], "00ad")
        self.assertIn("the host was killed", explanation.cause)
        self.assertIn("sent by h-1 to i-2 as attempt 2", explanation.tries[0])
        self.assertIn("below /sign/ are safe in version 7", explanation.tries[0])
        explanation = explain_request([line, make_line()], "00ad")
        self.assertEqual(explanation.cause, "The request was served.")
        self.assertIn("i-2", explanation.tries[0])

    @params(("request-sent", 1, "i-1", ""), ("request-resent", 2, "i-2", "i-1"))
    def test_connection_of_each_send_is_told(self, event, attempt, target, after):
        """Nothing told that two attempts of a booking had shared a connection."""
        line = (
            f"2026-12-04T01:00:01.000+00:00 level=INFO node=h-1 event={event} "
            f"request=00ad method=POST target={target} attempt={attempt} "
            f'after="{after}" outcome=misdirected kind=unsafe prefix=/sign/ version=7 '
            "address=10.2.0.1:8365 connection=12 carried=3 last=00ad"
        )
        text = explain_request([line], "00ad").tries[0]
        self.assertIn(f"to {target} as attempt {attempt}", text)
        self.assertEqual("as i-1 ended with misdirected" in text, bool(after))
        self.assertIn("on connection 12 to 10.2.0.1:8365", text)
        self.assertIn("had carried 3 requests, the last one 00ad", text)

    def test_unknown_request_has_no_explanation(self):
        self.assertIsNone(explain_request([make_line()], "00af"))


class IdleLimitTest(unittest.TestCase):
    """Load pattern: instances drop connections that are idle for a second."""

    def test_drop_lowers_the_limit_and_reuse_raises_it_slowly(self):
        idle_limit = IdleLimit()
        self.assertEqual(idle_limit.limit_s("jobs"), MAX_IDLE_LIMIT_S)
        idle_limit.record_dropped("jobs", 2.0)
        self.assertEqual(idle_limit.limit_s("jobs"), 1.0)
        self.assertEqual(idle_limit.limit_s("docs"), MAX_IDLE_LIMIT_S)
        for _ in range(100):
            idle_limit.record_reused("jobs")
        self.assertLess(idle_limit.limit_s("jobs"), 2.0)
        for _ in range(1000):
            idle_limit.record_reused("jobs")
        self.assertEqual(idle_limit.limit_s("jobs"), MAX_IDLE_LIMIT_S)

    @params(0.1, 0.5, 0.9)
    def test_limit_has_a_minimum(self, idle_s):
        idle_limit = IdleLimit()
        for _ in range(5):
            idle_limit.record_dropped("jobs", idle_s)
        self.assertEqual(idle_limit.limit_s("jobs"), MIN_IDLE_LIMIT_S)
