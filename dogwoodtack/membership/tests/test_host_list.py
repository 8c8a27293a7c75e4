"""Tests which host list snapshots apply, and when a host counts as unlisted."""

import unittest

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.membership.host_list import HostListSnapshot, HostListView


def snapshot(number, *names):
    return HostListSnapshot(number, frozenset(names), frozenset())


class HostListViewTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.view = HostListView(self.clock)

    def apply(self, *snapshots, gap_s=6.0):
        for one in snapshots:
            self.view.apply(one)
            self.clock.advance(gap_s)

    def test_host_is_listed_before_any_snapshot(self):
        self.assertTrue(self.view.is_listed("x"))

    @params(
        ([], 6.0, True),
        ([snapshot(1, "x")], 6.0, True),
        ([snapshot(1, "x"), snapshot(2, "y")], 6.0, True),
        ([snapshot(1, "x"), snapshot(2, "y"), snapshot(3, "y")], 6.0, False),
        ([snapshot(1, "x"), snapshot(2, "y"), snapshot(3, "y")], 1.0, True),
        ([snapshot(1, "x"), snapshot(2, "y"), snapshot(3, "x")], 6.0, True),
        ([snapshot(1, "y")], 60.0, True),
        ([snapshot(1, "y"), snapshot(2, "y"), snapshot(3, "y")], 6.0, False),
    )
    def test_is_listed(self, snapshots, gap_s, is_listed):
        self.apply(*snapshots, gap_s=gap_s)
        self.assertEqual(self.view.is_listed("x"), is_listed)

    def test_older_snapshot_changes_nothing(self):
        self.apply(snapshot(3, "y"), snapshot(2, "x"))
        self.assertNotIn("x", self.view.snapshot.names)

    def test_snapshots_of_one_number_are_merged(self):
        self.apply(snapshot(3, "x"), snapshot(3, "y"))
        self.assertEqual(self.view.snapshot.names, {"x", "y"})

    def test_json_round_trip(self):
        self.view.apply(HostListSnapshot(4, frozenset("ab"), frozenset("b")))
        copy = HostListView(self.clock)
        copy.apply(HostListView.from_wire(self.view.to_wire()))
        self.assertEqual(copy.snapshot, self.view.snapshot)
        self.assertTrue(copy.is_leaving("b"))
