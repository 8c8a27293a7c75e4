"""Tests of the instance book, the retry budget, the queue and the choice."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.misc import Address
from dogwoodtack.placement import (
    Candidate,
    Capacity,
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


def make_instance(name="i-1", service="jobs", zone="a", slots=2, draining=False):
    address = Address("127.0.0.1", 9000 + int(name.rsplit("-", 1)[1]))
    return Instance(name, service, address, zone, slots, draining, 0.0, 0)


class InstanceBookTest(unittest.TestCase):
    def test_a_late_word_does_not_undo_a_newer_one(self):
        registry = InstanceRegistry()
        ready = make_instance()
        leaving = make_instance(draining=True)
        registry.apply([InstanceChange("i-1", 5, leaving)], 5)
        self.assertEqual(registry.apply([InstanceChange("i-1", 3, ready)], 3), [])
        self.assertTrue(registry.get("i-1").is_draining)
        self.assertEqual(registry.revision, 5)

    def test_an_instance_that_is_gone_stays_gone(self):
        registry = InstanceRegistry()
        registry.apply([InstanceChange("i-1", 5, make_instance())], 5)
        registry.apply([InstanceChange("i-1", 7, None)], 7)
        self.assertEqual(
            registry.apply([InstanceChange("i-1", 6, make_instance())], 7), []
        )
        self.assertEqual(registry.for_service("jobs"), [])

    def test_a_whole_list_ends_what_it_does_not_name(self):
        registry = InstanceRegistry()
        both = [InstanceChange(f"i-{n}", 5, make_instance(f"i-{n}")) for n in (1, 2)]
        registry.apply(both, 5)
        self.assertEqual(
            registry.find_removed({"i-1"}, 9), [InstanceChange("i-2", 9, None)]
        )
        self.assertEqual(registry.find_removed({"i-1"}, 5), [])

    def test_since_gives_a_follower_what_it_lacks(self):
        registry = InstanceRegistry()
        for n in (1, 2, 3):
            registry.apply([InstanceChange(f"i-{n}", n, make_instance(f"i-{n}"))], n)
        self.assertEqual(
            [word.id for word in registry.changes_since(2)], ["i-2", "i-3"]
        )


class RetryBudgetTest(unittest.TestCase):
    @params(
        # requests, hosts, least and most repeats that may be sent
        (0, 0, 0, 0),
        (100, 0, 10, 20),
        (100, 1, 30, 76),
        (1000, 9, 150, 207),
    )
    def test_repeats_in_a_window(self, requests, hosts, least, most):
        budget = RetryBudget(RetryRules(0.2, 10.0, 56.0))
        for _ in range(requests):
            budget.record_request(100.0)
        taken = 0
        while budget.try_spend(100.0, hosts):
            taken += 1
        self.assertGreaterEqual(taken, least)
        self.assertLessEqual(taken, most)

    def test_all_hosts_together_keep_the_budget(self):
        """Load pattern: every request of a window fails, at every host."""
        rules = RetryRules(0.2, 10.0, 56.0)
        serving = [RetryBudget(rules) for _ in range(9)]
        others = [RetryBudget(rules) for _ in range(23)]
        for turn in range(1112):
            serving[turn % 9].record_request(100.0)
        for budget in others:
            budget.record_request(100.0)
        repeats = 0
        for hosts, budgets in ((9, serving), (0, others)):
            for budget in budgets:
                while budget.try_spend(100.0, hosts):
                    repeats += 1
        self.assertLessEqual(repeats, 0.2 * (1112 + 23) + 56)

    def test_look_ups_leave_a_part_for_unsafe_work(self):
        """Load pattern: all instances shed, and look-ups fail as often."""
        budget = RetryBudget(RetryRules(0.2, 10.0, 56.0))
        for _ in range(200):
            budget.record_request(100.0)
        whole = budget.remaining(100.0, 3)
        while budget.try_spend(100.0, 3, is_idempotent=True):
            pass
        left = budget.remaining(100.0, 3)
        self.assertGreaterEqual(left, 0.2 * whole)
        self.assertLess(left, 0.4 * whole)

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


def make_ticket(order, priority=1, start_by=100.5, abandon_at=102.0):
    return QueuedRequest(order, priority, start_by, abandon_at, None)


class WaitingRoomTest(unittest.TestCase):
    def test_order_is_on_time_first_then_priority_then_arrival(self):
        room = WaitQueue()
        plenty = Capacity(1000, 1, 0.1)
        tickets = [
            make_ticket(0, start_by=99.0),
            make_ticket(1, priority=2),
            make_ticket(2, priority=1),
            make_ticket(3, priority=1),
        ]
        for ticket in tickets:
            self.assertIsNone(room.admit(ticket, plenty, 100.0, 0.0))
        self.assertEqual([one.order for one in room.in_order(100.0)], [2, 3, 1, 0])

    @params(
        ("a wave may pass", 0.0, 0.5 + LATE_WAIT_LIMIT_S),
        ("it has pressed for long", LATE_WAIT_LIMIT_S, 0.5),
    )
    def test_work_that_cannot_start_soon_is_refused_when_it_comes(
        self, why, pressed_s, longest_wait_s
    ):
        """Load pattern: far more arrives than the slots hold."""
        room = WaitQueue()
        pace = Capacity(slots=4, hosts=1, service_time_s=0.4)
        self.press(room, pace, pressed_s)
        verdicts = [
            room.admit(make_ticket(n), pace, 100.0, n / 50) for n in range(100, 150)
        ]
        refused = [one for one in verdicts if isinstance(one, Rejection)]
        self.assertLessEqual(len(room) * 0.4 / 4, longest_wait_s + 0.1, why)
        self.assertEqual(len(refused) + verdicts.count(None), 50)
        times = {round(one.retry_after_s, 3) for one in refused}
        self.assertGreater(len(times), 20, "they would come back together")
        self.assertTrue(all(0.1 <= one <= 3.5 for one in times))

    def press(self, room, pace, span_s):
        """Let a ticket that is in time wait all the while until 100 s."""
        if span_s:
            start = 100.0 - span_s
            room.admit(make_ticket(0, start_by=101.0), pace, start, 0.0)
            room.remove_expired(start)

    def test_late_work_leaves_once_the_load_has_pressed_for_long(self):
        room = WaitQueue()
        plenty = Capacity(1000, 1, 0.1)
        late = make_ticket(0, start_by=100.1, abandon_at=103.0)
        room.admit(late, plenty, 100.0, 0.0)
        self.assertEqual(room.remove_expired(100.5), [], "nothing else waits")
        room.admit(make_ticket(1, start_by=103.0), plenty, 100.5, 0.0)
        self.assertEqual(room.remove_expired(100.6), [], "a wave may pass")
        self.assertEqual(room.remove_expired(100.5 + LATE_WAIT_LIMIT_S), [late])

    def test_nothing_can_be_done_without_slots(self):
        room = WaitQueue()
        room.admit(make_ticket(0), Capacity(0, 1, 0.3), 100.0, 0.0)
        refusal = room.admit(make_ticket(1), Capacity(0, 1, 0.3), 100.0, 0.0)
        self.assertIsInstance(refusal, Rejection)

    def test_expired_tickets_leave(self):
        room = WaitQueue()
        late = make_ticket(0, abandon_at=101.0)
        room.admit(late, Capacity(4, 1, 0.3), 100.0, 0.0)
        self.assertEqual(room.remove_expired(100.9), [])
        self.assertEqual(room.remove_expired(101.0), [late])
        self.assertEqual(len(room), 0)


def make_candidate(name, local=True, **facts):
    instance = make_instance(name, zone="a" if local else "b")
    facts = {
        "in_flight": 0,
        "unhealthy_probability": 0.02,
        "since_seen_s": 0.1,
        **facts,
    }
    return Candidate(instance=instance, is_local=local, **facts)


CAUTIOUS = Requirements(SelectionMode.CAUTIOUS)
EXPLORATORY = Requirements(SelectionMode.EXPLORATORY)


class ChooseTest(unittest.TestCase):
    @params(
        (
            "the sound one",
            CAUTIOUS,
            [("i-1", {"unhealthy_probability": 0.4}), ("i-2", {})],
            "i-2",
        ),
        ("one with room", CAUTIOUS, [("i-1", {"in_flight": 2}), ("i-2", {})], "i-2"),
        ("the own zone", CAUTIOUS, [("i-1", {"local": False}), ("i-2", {})], "i-2"),
        (
            "another zone rather than a doubtful one",
            CAUTIOUS,
            [("i-1", {"unhealthy_probability": 0.3}), ("i-2", {"local": False})],
            "i-2",
        ),
        ("the one in use", CAUTIOUS, [("i-1", {"in_flight": 1}), ("i-2", {})], "i-1"),
        ("nobody sick", CAUTIOUS, [("i-1", {"unhealthy_probability": 0.9})], None),
        (
            "the unheard one",
            EXPLORATORY,
            [("i-1", {}), ("i-2", {"since_seen_s": 2.0})],
            "i-2",
        ),
        (
            "a sick one now and then",
            EXPLORATORY,
            [
                ("i-1", {"unhealthy_probability": 0.9, "since_seen_s": 5.0}),
                ("i-2", {"in_flight": 2}),
            ],
            "i-1",
        ),
        (
            "a sick one that has just answered well",
            EXPLORATORY,
            [
                ("i-1", {"unhealthy_probability": 0.9, "last_succeeded": True}),
                ("i-2", {"in_flight": 2}),
            ],
            "i-1",
        ),
        (
            "not the slots that are left to another zone",
            CAUTIOUS,
            [
                ("i-1", {"in_flight": 2}),
                ("i-2", {"in_flight": 1, "local": False, "reserved_slots": 1}),
            ],
            None,
        ),
        (
            "no sick one that was just heard of",
            EXPLORATORY,
            [
                ("i-1", {"unhealthy_probability": 0.9, "since_seen_s": 0.2}),
                ("i-2", {"in_flight": 2}),
            ],
            None,
        ),
        (
            "not the one that had its try",
            Requirements(SelectionMode.CAUTIOUS, exclude=frozenset({"i-1"})),
            [("i-1", {}), ("i-2", {"unhealthy_probability": 0.3})],
            "i-2",
        ),
    )
    def test_choice(self, why, requirements, candidates, expected):
        fit = [make_candidate(name, **facts) for name, facts in candidates]
        for seed in range(5):
            found = select_candidate(fit, requirements, random.Random(seed))
            self.assertEqual(found and found.instance.id, expected, why)

    @params((1, 0), (2, 1), (3, 1), (6, 2), (16, 4))
    def test_slots_left_to_the_own_zone(self, slots, kept):
        self.assertEqual(reserved_slots(slots), kept)

    def test_last_resort_takes_a_sick_one(self):
        fit = [make_candidate("i-1", unhealthy_probability=0.9)]
        found = select_candidate(fit, CAUTIOUS, random.Random(1), allow_unhealthy=True)
        self.assertEqual(found.instance.id, "i-1")


class OccupancyTest(unittest.TestCase):
    def test_own_peers_and_zones_add_up(self):
        load = Occupancy()
        load.increment("i-1")
        load.set_peer_count("h-2", "i-1", 1, 100.0)
        load.set_zone_counts("b", {"i-1": 1}, 100.0)
        self.assertEqual(load.total_for("i-1"), 3)
        self.assertEqual(load.own_zone_counts(), {"i-1": 2})
        load.decrement("i-1")
        load.drop_stale(102.0)
        self.assertEqual(load.total_for("i-1"), 0)
