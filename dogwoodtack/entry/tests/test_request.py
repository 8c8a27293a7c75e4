"""Tests of what is read from the headers of a caller's request."""

import unittest

from nose2.tools import params

from dogwoodtack.entry.request import (
    ATTEMPTS_LEFT_HEADER,
    DEFAULT_TIME_LIMIT_S,
    RESPONSE_MARGIN_S,
    attempts_left,
    time_limit_s,
)
from dogwoodtack.frontend.conn import RequestHead
from dogwoodtack.platform.headers import HEADERS
from dogwoodtack.routing import Route, RouteKind, WeightedService

ROUTE = Route(
    "r",
    "shop.example",
    "/",
    RouteKind.SAFE,
    (WeightedService("jobs", 1.0),),
    None,
    0.8,
    2,
    0,
)
# Digits for `str.isdigit`, of which `int` refuses the first two.
ODD_NUMBERS = (b"\xb2", b"9" * 5000, b"9" * 400, b"+4", b"4e3", b"-4", b"4_0", b"")


class NumberHeaderTest(unittest.TestCase):
    """A header that raised an exception left its request without an answer."""

    @params((b"4000", 4.0), (b"100", 0.1), *((odd, None) for odd in ODD_NUMBERS))
    def test_deadline(self, value, expected_s):
        head = RequestHead("GET", "/", [(HEADERS.deadline_ms, value)])
        if expected_s is None:
            expected_s = DEFAULT_TIME_LIMIT_S
        limit_s = time_limit_s(head, HEADERS, ROUTE)
        self.assertAlmostEqual(limit_s, expected_s - RESPONSE_MARGIN_S)

    @params((b"1", 1), (b"2", 2), (b"9", 2), *((odd, 1) for odd in ODD_NUMBERS))
    def test_attempts_left(self, value, expected):
        head = RequestHead("GET", "/", [(ATTEMPTS_LEFT_HEADER, value)])
        self.assertEqual(attempts_left(head, ROUTE), expected)


if __name__ == "__main__":
    unittest.main()
