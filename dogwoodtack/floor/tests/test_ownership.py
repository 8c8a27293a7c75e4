"""Leases: claims, suspensions, releases, and pauses of the process."""

import unittest

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.errors import StoreConflict, StoreError
from dogwoodtack.floor.messages import (
    FIRST_GRANT_WAIT_S,
    FLOOR_KIND,
    GAP_THRESHOLD_S,
    PAUSE_THRESHOLD_S,
    STABLE_AFTER_S,
    HolderEntry,
    holder_value,
)
from dogwoodtack.floor.ownership import LeaseOwnership
from dogwoodtack.floor.pauses import PauseDetector
from dogwoodtack.misc import Address
from dogwoodtack.replication import ConfigState
from dogwoodtack.store import StoreObject

ME = HolderEntry("entry-0", "mine", Address("127.0.0.1", 1))
OTHER = HolderEntry("entry-1", "other", Address("127.0.0.1", 2))


class FakeStore:
    """A store of one versioned object; if slow, writes complete only by `deliver`."""

    def __init__(self):
        self.version = 0
        self.value = None
        self.is_down = False
        self.is_slow = False
        self.waiting = []

    def put(self, kind, name, value, if_version, on_done):
        if self.is_down:
            on_done(None, StoreError("down", maybe_applied=False))
            return
        if if_version != self.version:
            on_done(None, StoreConflict("another version"))
            return
        self.version += 1
        self.value = value
        reply = (on_done, self.version)
        self.waiting.append(reply)
        if not self.is_slow:
            self.deliver()

    def deliver(self):
        waiting, self.waiting = self.waiting, []
        for on_done, version in waiting:
            on_done(version, None)

    def get(self, kind, name, on_done):
        if self.is_down:
            on_done(None, StoreError("down"))
            return
        on_done(StoreObject(kind, name, self.version, self.value), None)


class LeaseOwnershipTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.store = FakeStore()
        self.state = ConfigState()
        self.pause_detector = PauseDetector(self.clock)
        self.lease = LeaseOwnership(
            "s", ME, self.store, self.state, self.clock, self.pause_detector.check
        )
        self.state.subscribe(self.lease.apply)
        self.pause_detector.subscribe(lambda now: self.lease.suspend("paused", now))

    def may_grant(self):
        return self.lease.may_grant(self.clock.boottime())

    def put_other(self, entry):
        self.store.version += 1
        self.store.value = holder_value(entry)

    def receive_update(self):
        obj = StoreObject(FLOOR_KIND, "s", self.store.version, self.store.value)
        self.state.apply(obj)

    @params((False, 0.0), (True, FIRST_GRANT_WAIT_S))
    def test_only_the_first_holder_grants_at_once(self, had_holder, wait_s):
        if had_holder:
            self.put_other(OTHER)
            self.receive_update()
        self.lease.claim()
        self.assertEqual(self.may_grant(), wait_s == 0.0)
        self.clock.advance(wait_s)
        self.assertTrue(self.may_grant())

    def test_claim_on_an_old_version_fails(self):
        self.put_other(OTHER)
        self.lease.claim()
        self.assertFalse(self.lease.is_mine)
        self.assertEqual(self.lease.holder, OTHER)

    def test_paused_holder_grants_only_after_a_confirming_write(self):
        self.lease.claim()
        self.clock.advance(PAUSE_THRESHOLD_S + 0.1)
        self.pause_detector.check()
        self.assertFalse(self.may_grant())
        self.store.is_down = True
        self.lease.confirm()
        self.assertFalse(self.may_grant())
        self.store.is_down = False
        self.clock.advance(2.0)
        self.lease.confirm()
        self.assertTrue(self.may_grant())

    def test_replaced_holder_is_not_confirmed(self):
        self.lease.claim()
        self.clock.advance(PAUSE_THRESHOLD_S + 0.1)
        self.put_other(OTHER)
        self.pause_detector.check()
        self.lease.confirm()
        self.assertFalse(self.lease.is_mine)

    def test_confirmation_from_before_a_pause_is_ignored(self):
        self.lease.claim()
        self.lease.suspend("paused", self.clock.boottime())
        self.clock.advance(2.0)
        self.pause_detector.check()
        self.store.is_slow = True
        self.lease.confirm()
        self.clock.advance(PAUSE_THRESHOLD_S + 0.1)
        self.put_other(OTHER)
        self.store.deliver()
        self.assertFalse(self.may_grant())

    def test_release_takes_effect_at_once_even_in_a_store_outage(self):
        self.lease.claim()
        self.store.is_down = True
        self.lease.release()
        self.assertFalse(self.may_grant())


class PauseDetectorTest(unittest.TestCase):
    @params(
        ([GAP_THRESHOLD_S - 0.1] * 20, 0, True),
        ([GAP_THRESHOLD_S + 0.1], 0, False),
        ([PAUSE_THRESHOLD_S + 0.1], 1, False),
        ([3.0, 0.5, 3.0], 1, False),
        ([3.0, *[0.5] * 10, 3.0], 0, False),
        ([3.0, *[0.5] * 10], 0, True),
    )
    def test_gaps(self, gaps, pauses, is_stable):
        clock = VirtualClock()
        pause_detector = PauseDetector(clock)
        seen = []
        pause_detector.subscribe(seen.append)
        for gap in gaps:
            clock.advance(gap)
            pause_detector.check()
        self.assertEqual((len(seen), pause_detector.is_stable()), (pauses, is_stable))
        clock.advance(1.0)
        pause_detector.check()
        for _ in range(int(STABLE_AFTER_S)):
            clock.advance(1.0)
            pause_detector.check()
        self.assertTrue(pause_detector.is_stable())
