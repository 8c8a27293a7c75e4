"""Log values are quoted so that a line can be taken apart again."""

import shlex
import unittest

from nose2.tools import params

from dogwoodtack.logs import format_event


class LogsTest(unittest.TestCase):
    @params(
        ("plain", "event=e key=plain"),
        ("", 'event=e key=""'),
        ("two words", 'event=e key="two words"'),
        ('a "b" c', 'event=e key="a \\"b\\" c"'),
        ("a=b", 'event=e key="a=b"'),
        ("line\nbreak", 'event=e key="line\\x0abreak"'),
        (0.1234567891, "event=e key=0.123457"),
        (7, "event=e key=7"),
        (True, "event=e key=True"),
    )
    def test_line(self, value, expected):
        line = format_event("e", key=value)
        self.assertEqual(line, expected)
        self.assertEqual(len(shlex.split(line)), 2)
