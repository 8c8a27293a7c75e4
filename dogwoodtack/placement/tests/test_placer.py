"""Tests of who is placed, who waits and who is refused when nothing is free."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.misc import Address
from dogwoodtack.placement import (
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

NOW = 100.0


def make_placer(*names):
    """Return a placer that knows instances of two slots each in its own zone."""
    registry = InstanceRegistry()
    address = Address("h", 1)
    listed = [Instance(name, "s", address, "a", 2, False, 0.0, 0) for name in names]
    registry.apply([InstanceChange(one.id, 1, one) for one in listed], 1)
    return Placer(registry, "a", random.Random(1), RetryRules())


def place(placer, mode, now=NOW, start_in_s=0.4, abandon_in_s=0.5):
    """Place a request and return the instance's name, the Refusal, or None."""
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


class DisplacedTest(unittest.TestCase):
    """Another instance answers at the address of one that the store still lists."""

    def setUp(self):
        self.placer = make_placer("i-1", "i-2")
        self.placer.health.record_replaced(self.placer.registry.get("i-1"))

    def test_nothing_is_sent_there(self):
        for mode in (SelectionMode.EXPLORATORY, SelectionMode.CAUTIOUS):
            self.assertEqual(place(self.placer, mode, NOW + 2.0), "i-2")

    def test_a_new_word_brings_it_back(self):
        moved = self.placer.registry.get("i-1")._replace(address=Address("h", 9))
        self.placer.registry.apply([InstanceChange("i-1", 2, moved)], 2)
        names = [
            place(self.placer, SelectionMode.EXPLORATORY, NOW + 2.0) for _ in range(3)
        ]
        self.assertIn("i-1", names)


class OtherZoneTest(unittest.TestCase):
    """A host of zone b has only instances of zone a, with a slot taken at each."""

    @params(
        # slots of each instance, whether zone a's hosts are heard, requests placed
        (2, True, 0),
        (2, False, 1),
        (6, True, 3),
        (6, False, 5),
    )
    def test_slots_are_left_to_hosts_that_are_there(self, slots, heard, count):
        registry = InstanceRegistry()
        one = Instance("i-1", "s", Address("h", 1), "a", slots, False, 0.0, 0)
        registry.apply([InstanceChange(one.id, 1, one)], 1)
        placer = Placer(registry, "b", random.Random(1), RetryRules())
        if heard:
            placer.apply_zone_report("a", {"i-1": 1}, {}, NOW)
        else:
            placer.occupancy.set_peer_count("h-2", "i-1", 1, NOW)
        names = [place(placer, SelectionMode.CAUTIOUS) for _ in range(slots)]
        self.assertEqual(names.count("i-1"), count)

    def test_a_zone_without_instances_reaches_the_only_slot(self):
        registry = InstanceRegistry()
        one = Instance("i-1", "s", Address("h", 1), "a", 1, False, 0.0, 0)
        registry.apply([InstanceChange(one.id, 1, one)], 1)
        placer = Placer(registry, "b", random.Random(1), RetryRules())
        placer.apply_zone_report("a", {}, {}, NOW)
        self.assertEqual(place(placer, SelectionMode.CAUTIOUS), "i-1")


class FullTest(unittest.TestCase):
    """Every sound slot is taken and work waits; a sick instance has free slots."""

    def setUp(self):
        self.placer = make_placer("i-sound", "i-sick")
        for _ in range(4):
            self.placer.health.observe("i-sick", Observation.ERROR, NOW)
            self.placer.health.observe("i-sound", Observation.SUCCESS, NOW)
        for _ in range(2):
            self.assertEqual(place(self.placer, SelectionMode.CAUTIOUS), "i-sound")
        self.waits = 0
        while place(self.placer, SelectionMode.CAUTIOUS) is None:
            self.waits += 1

    @params((SelectionMode.CAUTIOUS, Rejection), (SelectionMode.EXPLORATORY, str))
    def test_only_look_ups_are_sent_to_the_sick_one(self, mode, expected):
        self.assertGreater(self.waits, 0)
        self.assertIsInstance(place(self.placer, mode), expected)

    def test_what_waits_goes_to_the_slot_that_is_freed(self):
        self.placer.release("i-sound")
        self.placer.dispatch_queued(NOW + 0.01)
        self.assertEqual(self.placer.queue_lengths(), {"s": self.waits - 1})
        self.assertEqual(self.placer.occupancy.total_for("i-sound"), 2)


if __name__ == "__main__":
    unittest.main()
