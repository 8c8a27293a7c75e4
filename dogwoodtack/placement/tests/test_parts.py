"""Tests of the registry, the retry budget, the queue, selection and occupancy."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.misc import Address
from dogwoodtack.placement import (
    Candidate,
    Capacity,
    EntryVersion,
    Instance,
    InstanceChange,
    InstanceRegistry,
    Occupancy,
    QueuedRequest,
    Rejection,
    Requirements,
    RetryBudget,
    RetryRules,
    SelectionMode,
    WaitQueue,
    select_candidate,
)
from dogwoodtack.placement.selection import reserved_slots
from dogwoodtack.placement.wait_queue import LATE_WAIT_LIMIT_S
from dogwoodtack.position import StorePosition


def make_instance(name="i-1", service="jobs", zone="a", slots=2, draining=False):
    address = Address("127.0.0.1", 9000 + int(name.rsplit("-", 1)[1]))
    return Instance(name, service, address, zone, slots, draining, 0.0, 0)


def make_change(
    revision, instance, era=1, name="i-1", entry_version=EntryVersion(1000, 1)
):
    position = StorePosition(era, revision)
    return InstanceChange(name, position, instance, entry_version)


def apply_each(registry, *changes):
    """Apply changes one after the other; return which of them were new."""
    return [bool(registry.apply([change], change.position)) for change in changes]


class InstanceRegistryTest(unittest.TestCase):
    def test_older_change_does_not_undo_a_newer_one(self):
        registry = InstanceRegistry()
        draining = make_change(5, make_instance(draining=True))
        ready = make_change(3, make_instance())
        self.assertEqual(apply_each(registry, draining, ready), [True, False])
        self.assertTrue(registry.get("i-1").is_draining)
        self.assertEqual(registry.position, StorePosition(1, 5))

    def test_removed_instance_stays_removed(self):
        registry = InstanceRegistry()
        ready, late = make_change(5, make_instance()), make_change(6, make_instance())
        gone = make_change(7, None)
        self.assertEqual(apply_each(registry, ready, gone, late), [True, True, False])
        self.assertEqual(registry.for_service("jobs"), [])

    def test_full_snapshot_removes_what_it_does_not_list(self):
        registry = InstanceRegistry()
        for n in (1, 2):
            name = f"i-{n}"
            apply_each(registry, make_change(5, make_instance(name), name=name))
        self.assertEqual(
            registry.find_removed({"i-1"}, StorePosition(1, 9)),
            [make_change(9, None, name="i-2")],
        )
        self.assertEqual(registry.find_removed({"i-1"}, StorePosition(1, 5)), [])
        self.assertEqual(len(registry.find_removed({"i-1"}, StorePosition(2, 1))), 1)

    def test_changes_since_a_position(self):
        registry = InstanceRegistry()
        for n in (1, 2, 3):
            name = f"i-{n}"
            apply_each(registry, make_change(n, make_instance(name), name=name))
        self.assertEqual(
            [change.id for change in registry.changes_since(StorePosition(1, 2))],
            ["i-2", "i-3"],
        )

    @params(
        # what was known in era 1, its entry's version, what the restored store shows,
        # its entry's version, whether that is taken
        (None, (1000, 5), "ready", (1000, 5), False),
        (None, (1000, 5), "ready", (1000, 6), True),
        (None, (1000, 5), "ready", (2000, 1), True),
        ("draining", (1000, 5), "ready", (1000, 4), False),
        ("ready", (2000, 1), "draining", (1000, 9), False),
        ("ready", (1000, 5), "draining", (1000, 6), True),
        ("ready", (1000, 5), None, (0, 0), True),
        # Entries without a start time say nothing of their age.
        (None, (0, 0), "ready", (0, 0), True),
    )
    def test_restored_entry_of_before_the_known_state(
        self, known, known_version, shown, shown_version, is_taken
    ):
        """The store comes back at a lower revision, from before the known state."""

        def make(state):
            return state and make_instance(draining=state == "draining")

        registry = InstanceRegistry()
        before = make_change(100, make(known), 1, "i-1", EntryVersion(*known_version))
        restored = make_change(92, make(shown), 2, "i-1", EntryVersion(*shown_version))
        self.assertEqual(apply_each(registry, before, restored), [True, is_taken])
        self.assertEqual(registry.get("i-1"), make(shown if is_taken else known))
        self.assertEqual(registry.position, StorePosition(2, 92))

    @params("ready", "draining", None)
    def test_state_confirmed_in_a_new_era_is_passed_on(self, state):
        """Peers may have read an older state from the restored store."""
        instance = state and make_instance(draining=state == "draining")
        registry = InstanceRegistry()
        confirmed = make_change(40, instance, 2, entry_version=EntryVersion(1000, 9))
        changes = make_change(100, instance), confirmed
        self.assertEqual(apply_each(registry, *changes), [True, False])
        self.assertEqual(registry.changes_since(StorePosition(2, 40)), [confirmed])

    def test_version_of_an_entry_that_did_not_change_otherwise(self):
        """Heartbeats change only the version; a removal does not know it."""
        registry = InstanceRegistry()
        apply_each(
            registry,
            make_change(1, make_instance()),
            make_change(2, make_instance(), entry_version=EntryVersion(1000, 7)),
            make_change(3, None, entry_version=EntryVersion()),
        )
        late = make_change(
            1, make_instance(), era=2, entry_version=EntryVersion(1000, 7)
        )
        self.assertEqual(apply_each(registry, late), [False])
        (known,) = registry.changes_since(StorePosition(1, 3))
        self.assertEqual(known.entry_version, EntryVersion(1000, 7))


class RetryBudgetTest(unittest.TestCase):
    @params(
        # requests, hosts, lowest and highest number of retries
        (0, 0, 0, 0),
        (100, 0, 10, 20),
        (100, 1, 30, 76),
        (1000, 9, 150, 207),
    )
    def test_retries_in_a_window(self, requests, hosts, lowest, highest):
        budget = RetryBudget(RetryRules(0.2, 10.0, 56.0))
        for _ in range(requests):
            budget.record_request(100.0)
        spent = 0
        while budget.try_spend(100.0, hosts):
            spent += 1
        self.assertGreaterEqual(spent, lowest)
        self.assertLessEqual(spent, highest)

    def test_all_hosts_together_keep_the_budget(self):
        """Load pattern: every request of a window fails, at every host."""
        rules = RetryRules(0.2, 10.0, 56.0)
        serving = [RetryBudget(rules) for _ in range(9)]
        others = [RetryBudget(rules) for _ in range(23)]
        for index in range(1112):
            serving[index % 9].record_request(100.0)
        for budget in others:
            budget.record_request(100.0)
        retries = 0
        for hosts, budgets in ((9, serving), (0, others)):
            for budget in budgets:
                while budget.try_spend(100.0, hosts):
                    retries += 1
        self.assertLessEqual(retries, 0.2 * (1112 + 23) + 56)

    def test_idempotent_retries_leave_a_share_for_others(self):
        """Load pattern: all instances shed, and idempotent requests fail as often."""
        budget = RetryBudget(RetryRules(0.2, 10.0, 56.0))
        for _ in range(200):
            budget.record_request(100.0)
        full_budget = budget.remaining(100.0, 3)
        while budget.try_spend(100.0, 3, is_idempotent=True):
            pass
        left = budget.remaining(100.0, 3)
        self.assertGreaterEqual(left, 0.2 * full_budget)
        self.assertLess(left, 0.4 * full_budget)

    def test_the_window_slides(self):
        budget = RetryBudget(RetryRules(0.2, 10.0, 0.0))
        for _ in range(100):
            budget.record_request(100.0)
        while budget.try_spend(100.0, 1):
            pass
        self.assertFalse(budget.try_spend(105.0, 1))
        for _ in range(100):
            budget.record_request(111.0)
        self.assertTrue(budget.try_spend(111.0, 1))


def make_queued(order, priority=1, start_by=100.5, abandon_at=102.0):
    return QueuedRequest(order, priority, start_by, abandon_at, None)


class WaitQueueTest(unittest.TestCase):
    def test_order_is_on_time_first_then_priority_then_arrival(self):
        queue = WaitQueue()
        ample = Capacity(1000, 1, 0.1)
        arrivals = [
            make_queued(0, start_by=99.0),
            make_queued(1, priority=2),
            make_queued(2, priority=1),
            make_queued(3, priority=1),
        ]
        for queued in arrivals:
            self.assertIsNone(queue.admit(queued, ample, 100.0, 0.0))
        self.assertEqual([one.order for one in queue.in_order(100.0)], [2, 3, 1, 0])

    @params(
        ("short burst", 0.0, 0.5 + LATE_WAIT_LIMIT_S),
        ("lasting congestion", LATE_WAIT_LIMIT_S, 0.5),
    )
    def test_requests_that_cannot_start_soon_are_rejected_on_arrival(
        self, case, congested_s, longest_wait_s
    ):
        """Load pattern: far more requests arrive than the slots can serve."""
        queue = WaitQueue()
        capacity = Capacity(slots=4, hosts=1, service_time_s=0.4)
        self.congest(queue, capacity, congested_s)
        results = [
            queue.admit(make_queued(n), capacity, 100.0, n / 50)
            for n in range(100, 150)
        ]
        rejected = [one for one in results if isinstance(one, Rejection)]
        self.assertLessEqual(len(queue) * 0.4 / 4, longest_wait_s + 0.1, case)
        self.assertEqual(len(rejected) + results.count(None), 50)
        times = {round(one.retry_after_s, 3) for one in rejected}
        self.assertGreater(len(times), 20, "callers would retry together")
        self.assertTrue(all(0.1 <= one <= 3.5 for one in times))

    def congest(self, queue, capacity, span_s):
        """Keep an on-time request queued from `span_s` before 100 s until then."""
        if span_s:
            start = 100.0 - span_s
            queue.admit(make_queued(0, start_by=101.0), capacity, start, 0.0)
            queue.remove_expired(start)

    def test_late_requests_expire_after_lasting_congestion(self):
        queue = WaitQueue()
        ample = Capacity(1000, 1, 0.1)
        late = make_queued(0, start_by=100.1, abandon_at=103.0)
        queue.admit(late, ample, 100.0, 0.0)
        self.assertEqual(queue.remove_expired(100.5), [], "no other request waits")
        queue.admit(make_queued(1, start_by=103.0), ample, 100.5, 0.0)
        self.assertEqual(queue.remove_expired(100.6), [], "short burst")
        self.assertEqual(queue.remove_expired(100.5 + LATE_WAIT_LIMIT_S), [late])

    def test_without_slots_a_second_request_is_rejected(self):
        queue = WaitQueue()
        queue.admit(make_queued(0), Capacity(0, 1, 0.3), 100.0, 0.0)
        rejection = queue.admit(make_queued(1), Capacity(0, 1, 0.3), 100.0, 0.0)
        self.assertIsInstance(rejection, Rejection)

    def test_abandoned_requests_expire(self):
        queue = WaitQueue()
        late = make_queued(0, abandon_at=101.0)
        queue.admit(late, Capacity(4, 1, 0.3), 100.0, 0.0)
        self.assertEqual(queue.remove_expired(100.9), [])
        self.assertEqual(queue.remove_expired(101.0), [late])
        self.assertEqual(len(queue), 0)


def make_candidate(name, local=True, **fields):
    instance = make_instance(name, zone="a" if local else "b")
    fields = {
        "in_flight": 0,
        "unhealthy_probability": 0.02,
        "since_seen_s": 0.1,
        **fields,
    }
    return Candidate(instance=instance, is_local=local, **fields)


CAUTIOUS = Requirements(SelectionMode.CAUTIOUS)
EXPLORATORY = Requirements(SelectionMode.EXPLORATORY)


class SelectCandidateTest(unittest.TestCase):
    @params(
        (
            "the healthy one",
            CAUTIOUS,
            [("i-1", {"unhealthy_probability": 0.4}), ("i-2", {})],
            "i-2",
        ),
        (
            "one with a free slot",
            CAUTIOUS,
            [("i-1", {"in_flight": 2}), ("i-2", {})],
            "i-2",
        ),
        ("the local one", CAUTIOUS, [("i-1", {"local": False}), ("i-2", {})], "i-2"),
        (
            "another zone rather than a possibly unhealthy one",
            CAUTIOUS,
            [("i-1", {"unhealthy_probability": 0.3}), ("i-2", {"local": False})],
            "i-2",
        ),
        (
            "the one already in use",
            CAUTIOUS,
            [("i-1", {"in_flight": 1}), ("i-2", {})],
            "i-1",
        ),
        ("no unhealthy one", CAUTIOUS, [("i-1", {"unhealthy_probability": 0.9})], None),
        (
            "the one without a recent observation",
            EXPLORATORY,
            [("i-1", {}), ("i-2", {"since_seen_s": 2.0})],
            "i-2",
        ),
        (
            "an unhealthy one after some time",
            EXPLORATORY,
            [
                ("i-1", {"unhealthy_probability": 0.9, "since_seen_s": 5.0}),
                ("i-2", {"in_flight": 2}),
            ],
            "i-1",
        ),
        (
            "an unhealthy one that has just succeeded",
            EXPLORATORY,
            [
                ("i-1", {"unhealthy_probability": 0.9, "last_succeeded": True}),
                ("i-2", {"in_flight": 2}),
            ],
            "i-1",
        ),
        (
            "not the slots that are reserved for another zone",
            CAUTIOUS,
            [
                ("i-1", {"in_flight": 2}),
                ("i-2", {"in_flight": 1, "local": False, "reserved_slots": 1}),
            ],
            None,
        ),
        (
            "no unhealthy one with a recent observation",
            EXPLORATORY,
            [
                ("i-1", {"unhealthy_probability": 0.9, "since_seen_s": 0.2}),
                ("i-2", {"in_flight": 2}),
            ],
            None,
        ),
        (
            "not an excluded one",
            Requirements(SelectionMode.CAUTIOUS, exclude=frozenset({"i-1"})),
            [("i-1", {}), ("i-2", {"unhealthy_probability": 0.3})],
            "i-2",
        ),
    )
    def test_selection(self, case, requirements, specs, expected):
        candidates = [make_candidate(name, **fields) for name, fields in specs]
        for seed in range(5):
            found = select_candidate(candidates, requirements, random.Random(seed))
            self.assertEqual(found and found.instance.id, expected, case)

    @params((1, 0), (2, 1), (3, 1), (6, 2), (16, 4))
    def test_slots_reserved_for_the_own_zone(self, slots, expected):
        self.assertEqual(reserved_slots(slots), expected)

    def test_unhealthy_instance_is_selected_if_allowed(self):
        candidates = [make_candidate("i-1", unhealthy_probability=0.9)]
        found = select_candidate(
            candidates, CAUTIOUS, random.Random(1), allow_unhealthy=True
        )
        self.assertEqual(found.instance.id, "i-1")


class OccupancyTest(unittest.TestCase):
    def test_counts_of_host_peers_and_zones_add_up(self):
        occupancy = Occupancy()
        occupancy.increment("i-1")
        occupancy.set_peer_count("h-2", "i-1", 1, 100.0)
        occupancy.set_zone_counts("b", {"i-1": 1}, 100.0)
        self.assertEqual(occupancy.total_for("i-1"), 3)
        self.assertEqual(occupancy.own_zone_counts(), {"i-1": 2})
        occupancy.decrement("i-1")
        occupancy.drop_stale(102.0)
        self.assertEqual(occupancy.total_for("i-1"), 0)
