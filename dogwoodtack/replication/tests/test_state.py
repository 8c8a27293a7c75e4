"""Tests that versions only increase, in whatever order objects are applied."""

import unittest

from hypothesis import given, settings, strategies as st
from nose2.tools import params

from dogwoodtack.replication import ConfigState
from dogwoodtack.store import StoreObject

WRITES = st.lists(
    st.tuples(st.sampled_from("ab"), st.sampled_from("xy"), st.booleans()), max_size=12
)


def history(writes):
    """Return objects numbered as by the store, some of them tombstones."""
    return [
        StoreObject(kind, name, version, None if is_deleted else {"at": version})
        for version, (kind, name, is_deleted) in enumerate(writes, 1)
    ]


class StateTest(unittest.TestCase):
    @params((3, 2, False), (3, 3, False), (3, 4, True))
    def test_apply(self, known, offered, is_applied):
        state = ConfigState()
        state.apply(StoreObject("service", "x", known, {"n": known}))
        received = []
        state.subscribe(received.append)
        obj = StoreObject("service", "x", offered, {"n": offered})
        self.assertEqual(state.apply(obj), is_applied)
        self.assertEqual(received, [obj] if is_applied else [])
        self.assertEqual(state.value("service", "x")["n"], max(known, offered))

    def test_failing_listener_does_not_stop_others(self):
        state = ConfigState()
        received = []
        state.subscribe(lambda obj: received.append(1 / 0))
        state.subscribe(received.append)
        obj = StoreObject("service", "x", 3, {})
        self.assertTrue(state.apply(obj))
        self.assertEqual(received, [obj])

    def test_tombstone_deletes_and_does_not_revert(self):
        state = ConfigState()
        state.apply(StoreObject("service", "x", 3, {"n": 3}))
        state.apply(StoreObject("service", "x", 5, None))
        self.assertIsNone(state.value("service", "x"))
        self.assertFalse(state.apply(StoreObject("service", "x", 4, {"n": 4})))
        self.assertEqual(state.get("service", "x").version, 5)

    @settings(derandomize=True, database=None, max_examples=200)
    @given(WRITES, st.randoms(use_true_random=False))
    def test_any_order_converges_and_never_reverts(self, writes, rng):
        objects = history(writes)
        newest = {(one.kind, one.name): one for one in objects}
        shuffled = objects + [one for one in objects if rng.random() < 0.5]
        rng.shuffle(shuffled)
        state = ConfigState()
        before = {}
        for obj in shuffled:
            state.apply(obj)
            held = {(one.kind, one.name): one.version for one in state.objects()}
            for key, version in before.items():
                self.assertGreaterEqual(held[key], version)
            before = held
        stored = {(one.kind, one.name): one for one in state.objects()}
        self.assertEqual(stored, newest)
        newest_only = ConfigState()
        for obj in newest.values():
            newest_only.apply(obj)
        self.assertEqual(state.digest.root, newest_only.digest.root)

    def test_differing_buckets_hold_the_differing_objects(self):
        left, right = ConfigState(), ConfigState()
        for version in range(1, 200):
            obj = StoreObject("service", f"s{version}", version, {})
            left.apply(obj)
            if version != 77:
                right.apply(obj)
        differing = left.digest.differing_buckets(right.digest.buckets())
        self.assertEqual(len(differing), 1)
        names = [obj.name for obj in left.in_bucket(differing[0])]
        self.assertIn("s77", names)
