"""Tests of who is placed, who waits and who is refused when nothing is free."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.misc import Address
from dogwoodtack.placement import (
    Ask,
    Change,
    Instance,
    InstanceBook,
    Manner,
    Placer,
    Refusal,
    RetryRules,
    Sign,
    Want,
)

NOW = 100.0


def make_placer(*names):
    """Return a placer that knows instances of two slots each in its own zone."""
    book = InstanceBook()
    address = Address("h", 1)
    listed = [Instance(name, "s", address, "a", 2, False, 0.0, 0) for name in names]
    book.apply([Change(one.id, 1, one) for one in listed], 1)
    return Placer(book, "a", random.Random(1), RetryRules())


def place(placer, manner, now=NOW, start_in_s=0.4, give_up_in_s=0.5):
    """Place a request and return the instance's name, the Refusal, or None."""
    found = []
    ask = Ask(
        service="s",
        want=Want(manner),
        priority=1,
        start_by=now + start_in_s,
        give_up_at=now + give_up_in_s,
        arrived_at=now,
        on_place=found.append,
    )
    placer.place(ask, now)
    if not found or isinstance(found[0], Refusal):
        return found[0] if found else None
    return found[0].id


class DisplacedTest(unittest.TestCase):
    """Another instance answers at the address of one that the store still lists."""

    def setUp(self):
        self.placer = make_placer("i-1", "i-2")
        self.placer.beliefs.note_displaced(self.placer.book.get("i-1"))

    def test_nothing_is_sent_there(self):
        for manner in (Manner.SCOUT, Manner.CAREFUL):
            self.assertEqual(place(self.placer, manner, NOW + 2.0), "i-2")

    def test_a_new_word_brings_it_back(self):
        moved = self.placer.book.get("i-1")._replace(address=Address("h", 9))
        self.placer.book.apply([Change("i-1", 2, moved)], 2)
        names = [place(self.placer, Manner.SCOUT, NOW + 2.0) for _ in range(3)]
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
        book = InstanceBook()
        one = Instance("i-1", "s", Address("h", 1), "a", slots, False, 0.0, 0)
        book.apply([Change(one.id, 1, one)], 1)
        placer = Placer(book, "b", random.Random(1), RetryRules())
        if heard:
            placer.on_zone("a", {"i-1": 1}, {}, NOW)
        else:
            placer.occupancy.on_peer("h-2", "i-1", 1, NOW)
        names = [place(placer, Manner.CAREFUL) for _ in range(slots)]
        self.assertEqual(names.count("i-1"), count)

    def test_a_zone_without_instances_reaches_the_only_slot(self):
        book = InstanceBook()
        one = Instance("i-1", "s", Address("h", 1), "a", 1, False, 0.0, 0)
        book.apply([Change(one.id, 1, one)], 1)
        placer = Placer(book, "b", random.Random(1), RetryRules())
        placer.on_zone("a", {}, {}, NOW)
        self.assertEqual(place(placer, Manner.CAREFUL), "i-1")


class FullTest(unittest.TestCase):
    """Every sound slot is taken and work waits; a sick instance has free slots."""

    def setUp(self):
        self.placer = make_placer("i-sound", "i-sick")
        for _ in range(4):
            self.placer.beliefs.observe("i-sick", Sign.ERROR, NOW)
            self.placer.beliefs.observe("i-sound", Sign.GOOD, NOW)
        for _ in range(2):
            self.assertEqual(place(self.placer, Manner.CAREFUL), "i-sound")
        self.waits = 0
        while place(self.placer, Manner.CAREFUL) is None:
            self.waits += 1

    @params((Manner.CAREFUL, Refusal), (Manner.SCOUT, str))
    def test_only_look_ups_are_sent_to_the_sick_one(self, manner, expected):
        self.assertGreater(self.waits, 0)
        self.assertIsInstance(place(self.placer, manner), expected)

    def test_what_waits_goes_to_the_slot_that_is_freed(self):
        self.placer.finish("i-sound")
        self.placer.pump(NOW + 0.01)
        self.assertEqual(self.placer.waiting(), {"s": self.waits - 1})
        self.assertEqual(self.placer.occupancy.on("i-sound"), 2)


if __name__ == "__main__":
    unittest.main()
