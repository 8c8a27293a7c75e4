"""Tests of what instances say about themselves, and of what placement makes of it."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.misc import Address
from dogwoodtack.placement import (
    Instance,
    InstanceChange,
    InstanceNotices,
    InstanceRegistry,
    PlacementRequest,
    Placer,
    Rejection,
    Requirements,
    RetryRules,
    SelectionMode,
)
from dogwoodtack.position import StorePosition

NOW = 100.0
UNIX_MS = 1796346000000


def make_instance(name, born_ms=5):
    return Instance(name, "s", Address("h", 1), "a", 2, False, 0.0, born_ms)


class InstanceNoticesTest(unittest.TestCase):
    @params(
        # start time when it said so, start time of the entry, whether it leaves
        (5, 4, True),
        (5, 5, True),
        (5, 6, False),
        (0, 0, True),
    )
    def test_leaving_ends_with_a_new_start(self, left_ms, born_ms, expected):
        notices = InstanceNotices()
        notices.on_leaving("i-1", left_ms)
        self.assertEqual(notices.is_leaving(make_instance("i-1", born_ms)), expected)

    @params((5, True), (0, False))
    def test_leaving_outlives_an_entry_whose_start_is_known(self, born_ms, expected):
        notices = InstanceNotices()
        notices.on_leaving("i-1", born_ms)
        notices.forget("i-1")
        self.assertEqual(notices.is_leaving(make_instance("i-1", born_ms)), expected)

    @params(
        # pauses as (seconds, asked at), when the last has ended
        (((2.0, 0.0),), 2.0),
        (((2.0, 0.0), (0.5, 0.5)), 2.0),
        (((2.0, 0.0), (2.0, 1.0)), 3.0),
    )
    def test_pause_is_never_shortened(self, pauses, end_s):
        notices = InstanceNotices()
        instance = make_instance("i-1")
        for seconds, at in pauses:
            notices.on_pause(instance, seconds, NOW + at, UNIX_MS)
        self.assertTrue(notices.is_paused(instance, NOW + end_s - 0.01))
        self.assertFalse(notices.is_paused(instance, NOW + end_s))
        self.assertEqual(notices.pop_ended_pauses(NOW + end_s), ["i-1"])
        self.assertFalse(notices.is_paused(instance, NOW))

    @params(
        # start that asked, start of the entry, whether it is paused
        (5, 5, True),
        (5, 4, True),
        # The entry of the start that asked arrives after its response.
        (5, UNIX_MS - 1, True),
        (5, UNIX_MS + 1, False),
        (UNIX_MS + 9, UNIX_MS + 9, True),
        (0, 0, True),
    )
    def test_pause_ends_with_a_new_start(self, asked_ms, born_ms, expected):
        notices = InstanceNotices()
        notices.on_pause(make_instance("i-1", asked_ms), 2.0, NOW, UNIX_MS)
        restarted = make_instance("i-1", born_ms)
        self.assertEqual(notices.is_paused(restarted, NOW + 1.0), expected)

    def test_new_start_has_a_pause_of_its_own(self):
        notices = InstanceNotices()
        notices.on_pause(make_instance("i-1"), 9.0, NOW, UNIX_MS)
        restarted = make_instance("i-1", UNIX_MS + 500)
        self.assertTrue(notices.on_pause(restarted, 2.0, NOW + 1.0, UNIX_MS + 1000))
        self.assertTrue(notices.is_paused(restarted, NOW + 2.9))
        self.assertFalse(notices.is_paused(restarted, NOW + 3.0))


class PlacementTest(unittest.TestCase):
    def setUp(self):
        registry = InstanceRegistry()
        at = StorePosition(1, 1)
        listed = [make_instance("i-1"), make_instance("i-2")]
        registry.apply([InstanceChange(one.id, at, one) for one in listed], at)
        self.placer = Placer(registry, "a", random.Random(1), RetryRules())

    def place(self, now=NOW, abandon_in_s=5.0):
        found = []
        self.placer.place(
            PlacementRequest(
                service="s",
                requirements=Requirements(SelectionMode.CAUTIOUS),
                priority=1,
                start_by=now + 0.5,
                abandon_at=now + abandon_in_s,
                arrived_at=now,
                on_decision=found.append,
            ),
            now,
        )
        return found

    def set_notice(self, kind, name):
        if kind == "leaving":
            self.placer.notices.on_leaving(name, 5)
        elif kind == "paused":
            self.placer.notices.on_pause(make_instance(name), 2.0, NOW, UNIX_MS)
        else:
            self.placer.rate_limits.on_response(name, 0.5, NOW - 1.0, NOW)

    @params("leaving", "paused", "limited")
    def test_notice_outlives_an_entry_that_is_missing_for_a_moment(self, kind):
        self.set_notice(kind, "i-1")
        self.placer.forget(["i-1"])
        names = [found[0].id for found in [self.place() for _ in range(4)] if found]
        self.assertEqual(names, ["i-2", "i-2"])

    @params("leaving", "paused")
    def test_other_instance_gets_the_requests(self, kind):
        self.set_notice(kind, "i-1")
        names = [self.place()[0].id for _ in range(2)]
        self.assertEqual(names, ["i-2", "i-2"])

    @params(("leaving", "leaving", 0.0, 0.5), ("leaving", "paused", 2.0, 2.6))
    def test_without_any_instance_requests_are_rejected_at_once(
        self, first, second, lowest, highest
    ):
        self.set_notice(first, "i-1")
        self.set_notice(second, "i-2")
        (rejection,) = self.place()
        self.assertIsInstance(rejection, Rejection)
        self.assertTrue(lowest <= rejection.retry_after_s <= highest, rejection)
        self.assertIn("leaving", rejection.detail)

    @params("leaving", "paused")
    def test_waiting_request_goes_to_no_such_instance(self, kind):
        for _ in range(4):
            self.place()
        waiting = self.place()
        self.assertEqual(waiting, [])
        for name in ("i-1", "i-2"):
            self.set_notice(kind, name)
            self.placer.release(name)
        self.placer.dispatch_queued(NOW + 0.1)
        self.assertIsInstance(waiting[0], Rejection)

    def test_paused_instance_is_used_again(self):
        self.set_notice("paused", "i-1")
        self.set_notice("paused", "i-2")
        self.assertIsInstance(self.place(NOW + 2.1)[0], Instance)


if __name__ == "__main__":
    unittest.main()
