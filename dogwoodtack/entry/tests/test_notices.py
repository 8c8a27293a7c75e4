"""Tests of the headers in which instances say something about themselves."""

import unittest

from nose2.tools import params

from dogwoodtack.backends import ResponseHead
from dogwoodtack.entry.notices import NoticeReader
from dogwoodtack.placement import InstanceNotice
from dogwoodtack.platform.headers import HEADERS

UNIX_TIME_S = 1796346000.0
MAX_PAUSE_S = 60.0


def read(status, *headers):
    reader = NoticeReader(
        HEADERS, lambda: MAX_PAUSE_S, lambda: 1.0, lambda: UNIX_TIME_S
    )
    return reader.read(ResponseHead(status, list(headers)))


class NoticeReaderTest(unittest.TestCase):
    @params(
        ([b"1"], True),
        ([b" 1 "], True),
        ([b"0"], False),
        ([b"yes"], False),
        ([b""], False),
        ([b"0", b"1"], True),
        ([], False),
    )
    def test_leaving(self, values, expected):
        for status in (200, 500, 503):
            notice = read(status, *[(b"server-leaving", one) for one in values])
            self.assertEqual(notice.is_leaving, expected)

    @params(
        ([b"1.2"], 1.2),
        ([b"0"], 0.0),
        ([b"3", b"1.5"], 1.5),
        ([b"much", b"2"], 2.0),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b""], None),
        ([], None),
    )
    def test_rate_limit(self, values, expected):
        notice = read(200, *[(b"server-limit", one) for one in values])
        self.assertEqual(notice, InstanceNotice(rate_limit_per_s=expected))

    @params(
        (503, [b"2"], 2.0),
        (503, [b"0.25"], 0.25),
        (503, [b"1", b"4"], 4.0),
        (503, [b"31536000"], MAX_PAUSE_S),
        (503, [b"Fri, 04 Dec 2026 01:00:07 GMT"], 7.0),
        (503, [b"Fri, 04 Dec 2020 01:00:07 GMT"], 0.0),
        (503, [b"-3"], None),
        (503, [b"soon"], None),
        (503, [b""], None),
        (503, [], None),
        (429, [b"2"], None),
        (200, [b"2"], None),
    )
    def test_pause(self, status, values, expected):
        notice = read(status, *[(b"retry-after", one) for one in values])
        self.assertEqual(notice.pause_s, expected)


if __name__ == "__main__":
    unittest.main()
