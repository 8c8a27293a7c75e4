"""Quoting of log values, and dropped lines if the reader is slow or gone."""

import os
import shlex
import time
import unittest

from nose2.tools import params

from dogwoodtack.logs import LineSink, format_event


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
        ("x" * 300_000, "event=e key=" + "x" * 2000 + "..."),
        ("\ud800", 'event=e key="\\xd800"'),
    )
    def test_line_can_be_split(self, value, expected):
        line = format_event("e", key=value)
        self.assertEqual(line, expected)
        self.assertEqual(len(shlex.split(line)), 2)


class LineSinkTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.sink = LineSink(self.writer, max_lines=50)

    def read_all(self):
        os.set_blocking(self.reader, False)
        text = b""
        while True:
            try:
                chunk = os.read(self.reader, 65536)
            except BlockingIOError:
                return text.decode()
            if not chunk:
                return text.decode()
            text += chunk
            self.sink.flush()

    @params(80, 5000, 20000)
    def test_stalled_reader_loses_lines_but_does_not_block(self, size):
        """A pipe that is not read fills up, and a plain write would block forever."""
        count = 2_000_000 // size
        started = time.monotonic()
        for number in range(count):
            self.sink(f"{number} ".ljust(size - 1, "x") + "\n")
        self.assertLess(time.monotonic() - started, 2.0)
        self.assertGreater(self.sink.dropped, 0)
        before = self.read_all().splitlines()
        self.sink("after\n")
        after = self.read_all().splitlines()
        self.assertEqual(len(before) + self.sink.dropped, count)
        self.assertEqual([len(line) for line in before], [size - 1] * len(before))
        report = f"event=log-lines-dropped count={self.sink.dropped}"
        self.assertEqual(after, [report, "after"])
        os.close(self.writer)

    def test_closed_reader_raises_no_error(self):
        os.close(self.writer)
        reader, writer = os.pipe()
        sink = LineSink(writer)
        os.close(reader)
        sink("one\n")
        sink("two\n")
        self.assertEqual(sink.dropped, 2)
        os.close(writer)
