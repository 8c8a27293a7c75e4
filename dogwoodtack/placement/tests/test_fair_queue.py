"""Tests of who waits and who is rejected at services that are shared fairly."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.fairness import UsageLedger
from dogwoodtack.placement import (
    Capacity,
    PlacementRequest,
    QueuedRequest,
    Rejection,
    Requirements,
    SelectionMode,
    WaitQueue,
)
from dogwoodtack.placement.slot_share import UNWANTED_S, YIELD_S, SlotShare
from dogwoodtack.placement.tests.test_placer import make_placer

NOW = 100.0
AMPLE = Capacity(1000.0, 1, 0.1)
# One slot: a request waits for all the work ahead of it.
SINGLE = Capacity(1.0, 1, 0.1)


def make_queued(order, organisation="", work_s=0.1, start_by=NOW + 1.0, **fields):
    fields = {"priority": 1, "abandon_at": NOW + 4.0, "payload": None, **fields}
    return QueuedRequest(
        order=order,
        organisation=organisation,
        work_s=work_s,
        start_by=start_by,
        **fields,
    )


def make_queue(*requests, usage_s=None, capacity=AMPLE):
    queue = WaitQueue(UsageLedger())
    for name, work_s in (usage_s or {}).items():
        queue.usage.record(name, work_s, NOW)
    for one in requests:
        queue.admit(one, capacity, NOW, 0.5)
    return queue


def served_order(queue, now=NOW):
    return [one.order for one in queue.in_order(now)]


def congest(queue):
    """Keep the queue congested for so long that no late request is admitted."""
    queue._congested_since = NOW - 10.0


class OrderTest(unittest.TestCase):
    @params(
        ("late ones last", [dict(start_by=NOW - 1.0), dict(priority=9)]),
        (
            "organisation's priority before the route's",
            [
                dict(organisation_priority=2, priority=0),
                dict(organisation_priority=1, priority=2),
            ],
        ),
        (
            "route's priority before recent work",
            [dict(priority=2), dict(priority=1, organisation="busy")],
        ),
        ("least recent work", [dict(organisation="busy"), dict(organisation="idle")]),
    )
    def test_later_arrival_goes_first(self, case, fields):
        requests = [make_queued(order, **one) for order, one in enumerate(fields)]
        queue = make_queue(*requests, usage_s={"busy": 1.0})
        self.assertEqual(served_order(queue), [1, 0], case)

    def test_organisations_with_equal_work_take_turns(self):
        names = "aaabbb"
        requests = [make_queued(order, name) for order, name in enumerate(names)]
        queue = make_queue(*requests)
        self.assertEqual(served_order(queue), [0, 3, 1, 4, 2, 5])

    @params(
        (0.2, 0.0, [0, 1], "the busy one has waited for most of its time"),
        (0.2, 0.75, [1, 0], "it is too late"),
        (0.9, 0.85, [1, 0], "the other one has waited, too"),
    )
    def test_fresh_requests_wait_for_those_that_have_waited(
        self, left_s, after_s, expected, case
    ):
        """A busy organisation's requests were overtaken until they were too late."""
        queue = make_queue(
            make_queued(0, "busy", queued_at=NOW - 1.0, start_by=NOW + left_s),
            make_queued(1, "idle", queued_at=NOW),
            usage_s={"busy": 1.0},
        )
        self.assertEqual(served_order(queue, NOW + after_s), expected, case)

    def test_starved_kind_goes_first(self):
        queue = make_queue(
            make_queued(0, priority=0, kind="urgent"),
            make_queued(1, priority=2, kind="starved"),
        )
        for _ in range(20):
            queue.served.on_arrival("starved", NOW)
            queue.served.on_arrival("urgent", NOW)
            queue.served.on_grant("urgent", NOW)
        self.assertEqual(served_order(queue), [1, 0])


class AdmissionTest(unittest.TestCase):
    @params(
        # work of each of 8 requests that may wait 0.9 s, how many are rejected
        (0.05, 0),
        (0.2, 4),
        (0.5, 7),
    )
    def test_work_ahead_decides_and_not_its_number(self, work_s, rejected):
        queue = make_queue(make_queued(0, work_s=work_s))
        congest(queue)
        results = [
            queue.admit(make_queued(order, work_s=work_s), SINGLE, NOW, 0.5)
            for order in range(1, 8)
        ]
        count = sum(isinstance(one, Rejection) for one in results)
        self.assertEqual(count, rejected)

    def fill(self):
        """Return a queue that is full of a busy organisation's requests."""
        queue = make_queue(make_queued(0, "busy"), usage_s={"busy": 1.0})
        congest(queue)
        while queue.admit(make_queued(len(queue), "busy"), SINGLE, NOW, 0.5) is None:
            pass
        return queue

    def test_newcomer_pushes_out_the_last_of_the_busiest(self):
        queue = self.fill()
        last = len(queue) - 1
        self.assertEqual(queue.pop_unmeetable(NOW, lambda: 0.5), [])
        self.assertIsNone(queue.admit(make_queued(50, "idle"), SINGLE, NOW, 0.5))
        [(pushed_out, rejection)] = queue.pop_unmeetable(NOW, lambda: 0.5)
        self.assertEqual(pushed_out.order, last)
        self.assertIn("work ahead", rejection.detail)
        self.assertIn("organisation's work 1.00 s", rejection.detail)

    def test_newcomer_displaces_no_more_than_its_own_work(self):
        """All that waited was rejected when instances failed for a moment."""
        queue = self.fill()
        few = Capacity(0.2, 1, 0.1)
        self.assertIsNone(queue.admit(make_queued(50, "idle"), few, NOW, 0.5))
        self.assertEqual(len(queue.pop_unmeetable(NOW, lambda: 0.5)), 1)

    def test_repeat_of_a_rejected_request_has_no_better_place(self):
        queue = self.fill()
        for repeat in range(100, 150):
            found = queue.admit(make_queued(repeat, "busy"), SINGLE, NOW, 0.5)
            self.assertIsInstance(found, Rejection)

    def test_without_slots_one_request_waits(self):
        none = Capacity(0.0, 1, 0.1)
        queue = make_queue(make_queued(0), make_queued(1), capacity=none)
        self.assertEqual(served_order(queue), [0])

    def test_returns_are_spread_over_the_time_of_the_rejected_work(self):
        """All callers of a burst returned when there was room for the first."""
        queue = make_queue(make_queued(0))
        congest(queue)
        rng = random.Random(1)
        results = [
            queue.admit(make_queued(order), SINGLE, NOW, rng.random())
            for order in range(1, 60)
        ]
        times = sorted(one.retry_after_s for one in results if one is not None)
        self.assertGreater(len(times), 40)
        self.assertGreater(times[-1] - times[0], 1.5)
        together = max(
            sum(begin <= one < begin + 0.25 for one in times) for begin in times
        )
        self.assertLess(together, len(times) / 3)


class SlotShareTest(unittest.TestCase):
    @params(
        ("less than its share", 1, 6.0, 3, False),
        ("more than its share", 2, 6.0, 3, True),
        ("many slots", 60, 93.0, 3, False),
        ("only host", 9, 3.0, 1, False),
    )
    def test_yields_only_what_exceeds_its_share(self, case, held, slots, hosts, yields):
        found = SlotShare().must_yield(held, slots, hosts, NOW)
        self.assertIs(found, yields, case)

    def test_slot_that_nobody_wants_is_used(self):
        share = SlotShare()
        self.assertTrue(share.must_yield(2, 6.0, 3, NOW))
        self.assertFalse(share.must_yield(2, 6.0, 3, NOW + YIELD_S))
        self.assertFalse(share.must_yield(2, 6.0, 3, NOW + YIELD_S + 0.01))
        self.assertTrue(share.must_yield(2, 6.0, 3, NOW + YIELD_S + UNWANTED_S))


class PlacerTest(unittest.TestCase):
    def setUp(self):
        self.placer = make_placer("i-1")
        self.placer.fair_services = frozenset({"s"})

    def place(self, organisation="", priority=1, route="r", start_in_s=0.4):
        found = []
        requirements = Requirements(SelectionMode.CAUTIOUS)
        times = (NOW + start_in_s, NOW + 4.0, NOW)
        req = PlacementRequest("s", requirements, priority, *times, found.append)
        req = req._replace(organisation=organisation, route=route)
        self.placer.place(req, NOW)
        return found

    def test_grants_without_waiting_count_as_work(self):
        self.placer.record_service_time("s", 0.9, "slow")
        slow_s = self.placer.expected_work_s("s", "slow")
        self.assertGreater(slow_s, self.placer.expected_work_s("s", "new") - 1e-9)
        self.place("org-1", route="slow")
        self.assertEqual(self.placer.usage.totals(), {"org-1": slow_s})

    def test_other_services_know_neither_routes_nor_organisations(self):
        self.placer.fair_services = frozenset()
        self.placer.record_service_time("s", 0.9, "slow")
        mean_s = self.placer.service_time_s("s")
        self.assertEqual(self.placer.expected_work_s("s", "slow"), mean_s)
        self.place("org-1")
        self.assertEqual(self.placer.usage.totals(), {})

    def test_each_request_that_does_not_fit_is_told_at_once(self):
        for _ in range(2):
            self.place("idle")
        waiting = [self.place("busy", priority=2) for _ in range(40)]
        urgent = [self.place("idle", priority=0) for _ in range(5)]
        lengths = self.placer.lengths_by_priority()
        self.assertEqual(urgent, [[]] * 5, "urgent requests wait")
        rejected = sum(bool(one) for one in waiting)
        self.assertGreater(rejected, 20)
        self.assertEqual(lengths, {0: 5, 2: 40 - rejected})
        self.assertEqual(self.placer.rejections, {2: rejected})
        self.placer.reject_queued("no instance is reached")
        self.assertEqual(self.placer.lengths_by_priority(), {0: 0, 2: 0})

    def test_caller_of_an_expired_request_learns_what_was_ahead(self):
        for _ in range(2):
            self.place("idle")
        found = self.place("busy", start_in_s=0.3)
        self.placer.dispatch_queued(NOW + 4.0)
        self.assertIn("waited 4.00 s, ahead 0", found[0].detail)


if __name__ == "__main__":
    unittest.main()
