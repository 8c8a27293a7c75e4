"""Tests of which requests are placed, queued or rejected."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.misc import Address
from dogwoodtack.placement import (
    BalancingSetting,
    Instance,
    InstanceChange,
    InstanceRegistry,
    Observation,
    PlacementRequest,
    Placer,
    Rejection,
    Requirements,
    RetryRules,
    SelectionMode,
)
from dogwoodtack.position import StorePosition

NOW = 100.0
SEEN_AT = StorePosition(1, 1)


def make_placer(*names):
    """Return a placer with instances of two slots each in its own zone."""
    registry = InstanceRegistry()
    address = Address("h", 1)
    listed = [Instance(name, "s", address, "a", 2, False, 0.0, 0) for name in names]
    registry.apply([InstanceChange(one.id, SEEN_AT, one) for one in listed], SEEN_AT)
    return Placer(registry, "a", random.Random(1), RetryRules())


def place(placer, mode, now=NOW, start_in_s=0.4, abandon_in_s=0.5):
    """Place a request; return the instance's id, the Rejection, or None if queued."""
    found = []
    req = PlacementRequest(
        service="s",
        requirements=Requirements(mode),
        priority=1,
        start_by=now + start_in_s,
        abandon_at=now + abandon_in_s,
        arrived_at=now,
        on_decision=found.append,
    )
    placer.place(req, now)
    if not found or isinstance(found[0], Rejection):
        return found[0] if found else None
    return found[0].id


class ReplacedInstanceTest(unittest.TestCase):
    """Another instance answers at the address of one that the store still lists."""

    def setUp(self):
        self.placer = make_placer("i-1", "i-2")
        self.placer.health.record_replaced(self.placer.registry.get("i-1"))

    def test_replaced_instance_gets_no_requests(self):
        for mode in (SelectionMode.EXPLORATORY, SelectionMode.CAUTIOUS):
            self.assertEqual(place(self.placer, mode, NOW + 2.0), "i-2")

    def test_changed_entry_makes_it_usable_again(self):
        moved = self.placer.registry.get("i-1")._replace(address=Address("h", 9))
        moved_at = StorePosition(1, 2)
        self.placer.registry.apply([InstanceChange("i-1", moved_at, moved)], moved_at)
        names = [
            place(self.placer, SelectionMode.EXPLORATORY, NOW + 2.0) for _ in range(3)
        ]
        self.assertIn("i-1", names)


class OtherZoneTest(unittest.TestCase):
    """A host of zone b has only an instance of zone a, with one slot in use."""

    @params(
        # slots of the instance, whether zone a's hosts send reports, requests placed
        (2, True, 0),
        (2, False, 1),
        (6, True, 3),
        (6, False, 5),
    )
    def test_slots_are_reserved_if_the_zone_sends_reports(self, slots, reports, count):
        registry = InstanceRegistry()
        one = Instance("i-1", "s", Address("h", 1), "a", slots, False, 0.0, 0)
        registry.apply([InstanceChange(one.id, SEEN_AT, one)], SEEN_AT)
        placer = Placer(registry, "b", random.Random(1), RetryRules())
        if reports:
            placer.apply_zone_report("a", {"i-1": 1}, {}, NOW)
        else:
            placer.occupancy.set_peer_count("h-2", "i-1", 1, NOW)
        names = [place(placer, SelectionMode.CAUTIOUS) for _ in range(slots)]
        self.assertEqual(names.count("i-1"), count)

    def test_only_slot_of_another_zone_is_not_reserved(self):
        registry = InstanceRegistry()
        one = Instance("i-1", "s", Address("h", 1), "a", 1, False, 0.0, 0)
        registry.apply([InstanceChange(one.id, SEEN_AT, one)], SEEN_AT)
        placer = Placer(registry, "b", random.Random(1), RetryRules())
        placer.apply_zone_report("a", {}, {}, NOW)
        self.assertEqual(place(placer, SelectionMode.CAUTIOUS), "i-1")


class EvenPlacementTest(unittest.TestCase):
    """Requests that run once only, of a service whose load is even."""

    def setUp(self):
        self.placer = make_placer("i-1", "i-2", "i-3")
        self.placer.balancing.setting = BalancingSetting.EVEN
        for name in ("i-1", "i-2", "i-3"):
            self.placer.health.observe(name, Observation.SUCCESS, NOW)

    def place_many(self, count, now):
        names = [place(self.placer, SelectionMode.CAUTIOUS, now) for _ in range(count)]
        for name in names:
            self.placer.release(name)
        return names

    def test_each_instance_gets_its_turn(self):
        self.assertEqual(len(set(self.place_many(3, NOW + 0.1))), 3)

    def test_instance_that_fails_at_once_does_not_look_idle(self):
        """It ends its requests in milliseconds, so that it never has any in flight."""
        names = []
        for number in range(30):
            now = NOW + 0.1 * number
            names.append(place(self.placer, SelectionMode.CAUTIOUS, now))
            if names[-1] == "i-1":
                self.placer.release("i-1")
            if number >= 3 and names[number - 3] != "i-1":
                self.placer.release(names[number - 3])
        self.assertLess(names.count("i-1"), 15)

    def test_instance_that_only_this_host_cannot_reach_is_avoided(self):
        """Peers' successes there show nothing of this host's path."""
        for second in (0.1, 0.2):
            self.placer.health.observe("i-1", Observation.NO_RESPONSE, NOW + second)
        for number in range(5):
            now = NOW + 0.3 + 0.1 * number
            self.placer.health.add_peer_report("i-1", Observation.SUCCESS, now)
            self.assertNotIn("i-1", self.place_many(2, now))


class FullQueueTest(unittest.TestCase):
    """The healthy instance and the queue are full; an unhealthy instance is free."""

    def setUp(self):
        self.placer = make_placer("i-healthy", "i-unhealthy")
        for _ in range(4):
            self.placer.health.observe("i-unhealthy", Observation.ERROR, NOW)
            self.placer.health.observe("i-healthy", Observation.SUCCESS, NOW)
        for _ in range(2):
            self.assertEqual(place(self.placer, SelectionMode.CAUTIOUS), "i-healthy")
        self.queued = 0
        while place(self.placer, SelectionMode.CAUTIOUS) is None:
            self.queued += 1

    @params((SelectionMode.CAUTIOUS, Rejection), (SelectionMode.EXPLORATORY, str))
    def test_only_exploratory_requests_reach_the_unhealthy_one(self, mode, expected):
        self.assertGreater(self.queued, 0)
        self.assertIsInstance(place(self.placer, mode), expected)

    def test_queued_request_gets_the_released_slot(self):
        self.placer.release("i-healthy")
        self.placer.dispatch_queued(NOW + 0.01)
        self.assertEqual(self.placer.queue_lengths(), {"s": self.queued - 1})
        self.assertEqual(self.placer.occupancy.total_for("i-healthy"), 2)


if __name__ == "__main__":
    unittest.main()
