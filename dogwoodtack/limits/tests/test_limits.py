"""Who gets a slot, who waits and who is told at once that it gets none."""

import random
import unittest
from unittest.mock import Mock

from nose2.tools import params

from dogwoodtack.catalog import Catalog
from dogwoodtack.errors import ErrorKind
from dogwoodtack.health import Sample, SampleKind
from dogwoodtack.limits import Limits, SlotRequest
from dogwoodtack.limits.budget import LENT
from lab.virtual import VirtualLoop

DEADLINE_S = 1.0


class LimitsTest(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop(0.0)
        self.catalog = Catalog()
        self.health = Mock()
        self.health.weight.return_value = 1.0
        self.health.is_on_probation.return_value = False
        self.floor = Mock()
        self.floor.is_removed.return_value = False
        self.leaving = Mock()
        self.leaving.is_leaving.return_value = False
        self.put(instances=2, slots=2)
        self.limits = Limits(
            self.loop,
            self.catalog,
            self.health,
            self.floor,
            self.leaving,
            random.Random(1),
        )
        self.granted = []
        self.refused = []

    def put(self, instances, slots, **fields):
        listed = [
            {"name": f"i-{number}", "address": "127.0.0.1:1", "slots": slots}
            for number in range(instances)
        ]
        route = {"host": "x", "prefix": "/"}
        value = {"routes": [route], "instances": listed, **fields}
        self.catalog.put("s", 1, value)

    def ask(
        self,
        customer="",
        is_retry=False,
        exclude=(),
        left_s=DEADLINE_S,
        is_idempotent=True,
    ):
        req = SlotRequest(
            self.catalog.get("s"),
            customer,
            self.loop.clock.now + left_s,
            frozenset(exclude),
            is_retry,
            is_idempotent,
        )

        def on_slot(slot, kind):
            if slot is None:
                self.refused.append((customer, kind))
            else:
                self.granted.append(slot)

        return self.limits.acquire(req, on_slot)

    def end(self, kind=SampleKind.OK, latency_s=0.02):
        slot = self.granted.pop(0)
        slot.release()
        now = self.loop.clock.now
        self.limits.record(Sample("s", slot.instance.name, True, kind, latency_s, now))

    def test_never_more_than_the_slots(self):
        for _ in range(10):
            self.ask()
        names = [slot.instance.name for slot in self.granted]
        self.assertEqual(sorted(names), ["i-0", "i-0", "i-1", "i-1"])

    @params("is_removed", "is_leaving")
    def test_no_instance_is_said_at_once(self, why):
        self.floor.is_removed.return_value = why == "is_removed"
        self.leaving.is_leaving.return_value = why == "is_leaving"
        self.ask()
        self.assertEqual(self.refused, [("", ErrorKind.NO_INSTANCE)])

    def test_waiters_learn_when_the_last_instance_goes(self):
        for _ in range(5):
            self.ask()
        self.floor.is_removed.return_value = True
        self.end()
        self.assertEqual(self.refused, [("", ErrorKind.NO_INSTANCE)])

    def test_too_long_a_queue_is_refused_at_once(self):
        for _ in range(500):
            self.ask()
        self.assertTrue(self.refused)
        self.assertEqual(set(self.refused), {("", ErrorKind.OVERLOADED)})

    def test_a_waiter_is_given_up_well_before_its_deadline(self):
        for _ in range(5):
            self.ask()
        self.loop.run_to(DEADLINE_S / 2)
        self.assertEqual(self.refused, [("", ErrorKind.OVERLOADED)])

    def test_a_cancelled_waiter_gets_nothing(self):
        for _ in range(4):
            self.ask()
        self.ask().cancel()
        self.end()
        self.assertEqual((len(self.granted), self.refused), (3, []))

    def test_a_modest_customer_displaces_a_greedy_one(self):
        for _ in range(500):
            self.ask("greedy")
        self.refused.clear()
        self.ask("modest")
        self.assertNotIn("modest", [customer for customer, _ in self.refused])

    def test_operators_see_the_load(self):
        for _ in range(5):
            self.ask()
        seen = self.limits.view()["s"]
        self.assertEqual((seen["under_way"], seen["waiting"]), (4, 1))
        self.assertEqual(seen["window"], 4.0)

    @params((True, True), (False, False))
    def test_an_instance_on_trial_gets_lookups_only(self, is_idempotent, gets_some):
        self.health.is_on_probation.side_effect = lambda service, name: name == "i-0"
        names = set()
        for _ in range(50):
            self.ask(is_idempotent=is_idempotent)
            names.add(self.granted[0].instance.name)
            self.end()
        self.assertEqual("i-0" in names, gets_some)

    @params((1, False), (4, True))
    def test_a_drain_that_waits_gets_what_no_other_can_take(self, at_once, gets_some):
        self.put(instances=2, slots=2, drains=["i-0"])
        names = set()
        for _ in range(25):
            for _ in range(at_once):
                self.ask()
            while self.granted:
                names.add(self.granted[0].instance.name)
                self.end()
        self.assertEqual("i-0" in names, gets_some)

    def test_retries_end_with_the_budget(self):
        for _ in range(40):
            self.ask(is_retry=True)
            if self.granted:
                self.end()
        self.assertEqual(len(self.refused), 40 - LENT)

    def test_a_retry_goes_elsewhere(self):
        self.ask(is_retry=True, exclude=["i-0"])
        self.assertEqual(self.granted[0].instance.name, "i-1")

    def test_a_new_instance_begins_slowly(self):
        self.ask()
        self.end()
        self.loop.run_to(5.0)
        self.put(instances=4, slots=100)
        names = []
        for _ in range(400):
            self.ask()
            names.append(self.granted[0].instance.name)
            self.end()
        share = (names.count("i-2") + names.count("i-3")) / len(names)
        self.assertLess(share, 0.2)

    def test_a_sick_instance_gets_less(self):
        self.put(instances=2, slots=100)
        self.health.weight.side_effect = lambda service, name: (
            0.1 if name == "i-0" else 1.0
        )
        names = []
        for _ in range(400):
            self.ask()
            names.append(self.granted[0].instance.name)
            self.end()
        self.assertLess(names.count("i-0") / len(names), 0.3)
