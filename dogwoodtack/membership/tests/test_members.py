"""Tests which record supersedes another, and which members the view lists."""

import itertools
import unittest

from hypothesis import given, settings, strategies as st
from nose2.tools import params

from dogwoodtack.membership import Member, Membership
from dogwoodtack.membership.records import (
    MemberRecord,
    MemberState,
    from_wire,
    to_wire,
)
from dogwoodtack.misc import Address

ALIVE, SUSPECT, DEAD = MemberState


def member(name, incarnation, port=1000, **fields):
    address = Address("127.0.0.1", port)
    return Member(name, incarnation, "zone-a", address, address, **fields)


def record(incarnation, counter=0, state=ALIVE, name="entry-1", started_at=0.0):
    return MemberRecord(member(name, incarnation), counter, state, started_at)


class MergeTest(unittest.TestCase):
    def setUp(self):
        self.view = Membership(member("entry-0", "me", 999))

    @params(
        ((0, ALIVE), (0, SUSPECT), True),
        ((0, SUSPECT), (0, ALIVE), False),
        ((0, SUSPECT), (1, ALIVE), True),
        ((0, DEAD), (0, SUSPECT), False),
        ((0, DEAD), (1, ALIVE), True),
        ((2, ALIVE), (1, DEAD), False),
        ((1, ALIVE), (1, ALIVE), False),
    )
    def test_superseding_record_is_merged(self, old, new, is_merged):
        self.view.merge(record("a", *old[:1], SUSPECT if old[1] is DEAD else old[1]))
        self.view.merge(record("a", *old))
        self.assertEqual(self.view.merge(record("a", *new)), is_merged)

    def test_unknown_dead_process_is_not_merged(self):
        self.assertFalse(self.view.merge(record("a", 0, DEAD)))

    @settings(derandomize=True, database=None, max_examples=100)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"), st.integers(0, 3), st.sampled_from(MemberState)
            ),
            min_size=1,
            max_size=8,
        ),
        st.randoms(use_true_random=False),
    )
    def test_order_does_not_matter(self, items, rng):
        first = [record(*item) for item in items]
        known = [record(key) for key in "abc"]
        second = list(first)
        rng.shuffle(second)
        views = []
        for order in (first, second, second + first):
            view = Membership(member("entry-0", "me", 999))
            for one in itertools.chain(known, order):
                view.merge(one)
            views.append(view)
        self.assertEqual(len({view.digest.root for view in views}), 1)
        states = [sorted(one.records()) for one in views]
        self.assertEqual(states[0], states[1])
        self.assertEqual(states[0], states[2])

    def test_json_round_trip(self):
        one = MemberRecord(member("n", "i", is_ready=False), 7, SUSPECT, 12.5)
        self.assertEqual(from_wire(to_wire(one)), one)


class ViewTest(unittest.TestCase):
    def setUp(self):
        self.view = Membership(member("entry-0", "me", 999))

    @params(
        (ALIVE, {}, True, True),
        (SUSPECT, {}, True, False),
        (DEAD, {}, False, False),
        (ALIVE, {"is_leaving": True}, True, False),
        (ALIVE, {"is_ready": False}, True, False),
    )
    def test_listed_and_serving_members(self, state, fields, is_member, is_serving):
        one = member("entry-1", "a", **fields)
        self.view.merge(MemberRecord(one, 0, ALIVE, 0.0))
        self.view.declare_state("a", state)
        self.assertEqual(one in self.view.members(), is_member)
        self.assertEqual(self.view.by_incarnation("a") is not None, is_member)
        self.assertEqual(one in self.view.serving_members(), is_serving)

    @params(
        ((ALIVE, 5.0), (ALIVE, 6.0), "b"),
        ((ALIVE, 9.0), (ALIVE, 6.0), "a"),
        ((ALIVE, 5.0), (SUSPECT, 6.0), "a"),
        ((DEAD, 9.0), (SUSPECT, 6.0), "b"),
    )
    def test_preferred_process_of_one_name(self, first, second, expected):
        for key, (state, started_at) in (("a", first), ("b", second)):
            self.view.merge(record(key, started_at=started_at))
            self.view.declare_state(key, state)
        self.assertEqual(self.view.by_name("entry-1").incarnation, expected)

    def test_local_member_refutes(self):
        self.view.merge(MemberRecord(self.view.local_member, 4, DEAD, 0.0))
        self.assertTrue(self.view.needs_refutation())
        self.assertIn(self.view.local_member, self.view.members())
        self.view.refute()
        self.assertFalse(self.view.needs_refutation())
        self.assertEqual(self.view.local_record.counter, 5)

    def test_cut_off_node_is_not_serving(self):
        self.view.set_cut_off(True)
        self.assertEqual(self.view.serving_members(), [])
        self.assertEqual(self.view.members(), [self.view.local_member])

    def test_removed_dead_process_leaves_nothing(self):
        before = self.view.digest.root
        self.view.merge(record("a"))
        self.view.declare_state("a", DEAD)
        self.view.remove("a")
        self.assertEqual(self.view.digest.root, before)
        self.assertEqual(len(self.view.records()), 1)
