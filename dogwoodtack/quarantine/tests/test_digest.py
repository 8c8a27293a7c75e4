"""Which requests count as the same."""

import unittest

from nose2.tools import params

from dogwoodtack.quarantine import request_digest

HEADERS = [(b"host", b"shop.example"), (b"x-id", b"1")]
KNOWN = request_digest(b"POST", b"/book/1?a=b", HEADERS, b"body")


class RequestDigestTest(unittest.TestCase):
    @params(
        ("another id", b"POST", b"/book/1?a=b", [HEADERS[0], (b"x-id", b"2")], b"body"),
        ("another order", b"POST", b"/book/1?a=b", HEADERS[::-1], b"body"),
    )
    def test_repeat(self, _, *parts):
        self.assertEqual(request_digest(*parts), KNOWN)

    @params(
        ("method", b"GET", b"/book/1?a=b", HEADERS, b"body"),
        ("path", b"POST", b"/book/2?a=b", HEADERS, b"body"),
        ("query", b"POST", b"/book/1?a=c", HEADERS, b"body"),
        ("body", b"POST", b"/book/1?a=b", HEADERS, b"bodies"),
        ("host", b"POST", b"/book/1?a=b", [(b"host", b"b.example")], b"body"),
        ("caller", b"POST", b"/book/1?a=b", [*HEADERS, (b"cookie", b"c")], b"body"),
        ("split", b"POST", b"/book/1?a=bb", HEADERS, b"ody"),
    )
    def test_other_request(self, _, *parts):
        self.assertNotEqual(request_digest(*parts), KNOWN)


if __name__ == "__main__":
    unittest.main()
