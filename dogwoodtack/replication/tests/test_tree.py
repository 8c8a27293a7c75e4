"""Tests that the tree reaches each member once, and ends even if views differ."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.membership import Member
from dogwoodtack.misc import Address
from dogwoodtack.replication.messages import MemberRange
from dogwoodtack.replication.tree import FANOUT, SortedMembers


def make_members(count, rng):
    address = Address("127.0.0.1", 1)
    return [
        Member(
            f"e{index}",
            f"{rng.getrandbits(64):016x}",
            "abc"[index % 3],
            address,
            address,
        )
        for index in range(count)
    ]


def distribute_from(views, root, member_range):
    """Return each incarnation reached with its depth, in the order of delivery."""
    reached = []
    pending = [(root.incarnation, member_range, 0)]
    while pending:
        incarnation, covered, depth = pending.pop(0)
        for subrange in views[incarnation].split(covered, incarnation):
            relay = subrange.members[len(subrange.members) // 2].incarnation
            reached.append((relay, depth + 1))
            pending.append((relay, subrange.range, depth + 1))
    return reached


class TreeTest(unittest.TestCase):
    @params((1, 0), (2, 1), (9, 2), (36, 2), (200, 3), (2000, 5))
    def test_every_member_is_reached_once(self, count, max_depth):
        members = make_members(count, random.Random(count))
        view = SortedMembers(members)
        views = {one.incarnation: view for one in members}
        reached = distribute_from(views, members[0], MemberRange())
        names = [incarnation for incarnation, _ in reached]
        self.assertEqual(sorted(names), sorted(set(views) - {members[0].incarnation}))
        self.assertLessEqual(max([depth for _, depth in reached], default=0), max_depth)
        self.assertLessEqual(len(view.split(MemberRange(), "")), FANOUT)

    def test_range_of_one_zone(self):
        members = make_members(30, random.Random(1))
        view = SortedMembers(members)
        views = {one.incarnation: view for one in members}
        reached = distribute_from(views, members[0], MemberRange(zone="b"))
        zones = {one.incarnation: one.zone for one in members}
        self.assertEqual({zones[key] for key, _ in reached}, {"b"})
        self.assertEqual(len(reached), 10)

    @params(*range(20))
    def test_no_member_is_reached_twice_if_views_differ(self, seed):
        rng = random.Random(seed)
        members = make_members(40, rng)
        views = {
            one.incarnation: SortedMembers(
                [other for other in members if other == one or rng.random() < 0.7]
            )
            for one in members
        }
        reached = [key for key, _ in distribute_from(views, members[0], MemberRange())]
        self.assertEqual(len(reached), len(set(reached)))
        self.assertNotIn(members[0].incarnation, reached)
