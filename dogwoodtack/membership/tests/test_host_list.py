"""The host list: which reading counts, and when a host is off it."""

import unittest

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.membership.host_list import HostReading, HostView


def reading(number, *names):
    return HostReading(number, frozenset(names), frozenset())


class HostViewTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.view = HostView(self.clock)

    def take(self, *readings, gap_s=6.0):
        for one in readings:
            self.view.take(one)
            self.clock.advance(gap_s)

    def test_listed_before_any_reading(self):
        self.assertTrue(self.view.is_listed("x"))

    @params(
        ([], 6.0, True),
        ([reading(1, "x")], 6.0, True),
        ([reading(1, "x"), reading(2, "y")], 6.0, True),
        ([reading(1, "x"), reading(2, "y"), reading(3, "y")], 6.0, False),
        ([reading(1, "x"), reading(2, "y"), reading(3, "y")], 1.0, True),
        ([reading(1, "x"), reading(2, "y"), reading(3, "x")], 6.0, True),
        ([reading(1, "y")], 60.0, True),
        ([reading(1, "y"), reading(2, "y"), reading(3, "y")], 6.0, False),
    )
    def test_is_listed(self, readings, gap_s, is_listed):
        self.take(*readings, gap_s=gap_s)
        self.assertEqual(self.view.is_listed("x"), is_listed)

    def test_older_reading_changes_nothing(self):
        self.take(reading(3, "y"), reading(2, "x"))
        self.assertNotIn("x", self.view.reading.names)

    def test_readings_of_one_number_are_joined(self):
        self.take(reading(3, "x"), reading(3, "y"))
        self.assertEqual(self.view.reading.names, {"x", "y"})

    def test_wire_keeps_all(self):
        self.view.take(HostReading(4, frozenset("ab"), frozenset("b")))
        copy = HostView(self.clock)
        copy.take(HostView.from_wire(self.view.to_wire()))
        self.assertEqual(copy.reading, self.view.reading)
        self.assertTrue(copy.is_leaving("b"))
