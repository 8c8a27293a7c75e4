"""The tree reaches everybody once, and ends even where views differ."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.membership import Member
from dogwoodtack.misc import Address
from dogwoodtack.replication.messages import Range
from dogwoodtack.replication.tree import FANOUT, SortedMembers


def fleet(count, rng):
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


def spread_from(views, root, span):
    """Return each told incarnation with its depth, in the order of telling."""
    told = []
    waiting = [(root.incarnation, span, 0)]
    while waiting:
        here, covered, depth = waiting.pop(0)
        for piece in views[here].pieces(covered, here):
            head = piece.members[len(piece.members) // 2].incarnation
            told.append((head, depth + 1))
            waiting.append((head, piece.range, depth + 1))
    return told


class TreeTest(unittest.TestCase):
    @params((1, 0), (2, 1), (9, 2), (36, 2), (200, 3), (2000, 5))
    def test_everybody_is_told_once(self, count, most_depth):
        members = fleet(count, random.Random(count))
        view = SortedMembers(members)
        views = {one.incarnation: view for one in members}
        told = spread_from(views, members[0], Range())
        names = [incarnation for incarnation, _ in told]
        self.assertEqual(sorted(names), sorted(set(views) - {members[0].incarnation}))
        self.assertLessEqual(max([depth for _, depth in told], default=0), most_depth)
        self.assertLessEqual(len(view.pieces(Range(), "")), FANOUT)

    def test_only_one_zone(self):
        members = fleet(30, random.Random(1))
        view = SortedMembers(members)
        views = {one.incarnation: view for one in members}
        told = spread_from(views, members[0], Range(zone="b"))
        zones = {one.incarnation: one.zone for one in members}
        self.assertEqual({zones[key] for key, _ in told}, {"b"})
        self.assertEqual(len(told), 10)

    @params(*range(20))
    def test_nobody_is_told_twice_where_views_differ(self, seed):
        rng = random.Random(seed)
        members = fleet(40, rng)
        views = {
            one.incarnation: SortedMembers(
                [other for other in members if other == one or rng.random() < 0.7]
            )
            for one in members
        }
        told = [key for key, _ in spread_from(views, members[0], Range())]
        self.assertEqual(len(told), len(set(told)))
        self.assertNotIn(members[0].incarnation, told)
