"""Which requests get a slot, which are queued and which are rejected."""

import random
import unittest
from unittest.mock import Mock

from nose2.tools import params

from dogwoodtack.catalog import Catalog
from dogwoodtack.errors import ErrorKind
from dogwoodtack.health import Sample, SampleKind
from dogwoodtack.limits import Limits, SlotRequest
from dogwoodtack.limits.budget import INITIAL_CREDIT_TOKENS
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
        self.draining = Mock()
        self.draining.is_draining.return_value = False
        self.put_service(instances=2, slots=2)
        self.limits = Limits(
            self.loop,
            self.catalog,
            self.health,
            self.floor,
            self.draining,
            random.Random(1),
        )
        self.granted = []
        self.rejected = []

    def put_service(self, instances, slots, **fields):
        listed = [
            {"name": f"i-{number}", "address": "127.0.0.1:1", "slots": slots}
            for number in range(instances)
        ]
        route = {"host": "x", "prefix": "/"}
        value = {"routes": [route], "instances": listed, **fields}
        self.catalog.put("s", 1, value)

    def acquire(
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
                self.rejected.append((customer, kind))
            else:
                self.granted.append(slot)

        return self.limits.acquire(req, on_slot)

    def complete_first(self, kind=SampleKind.OK, latency_s=0.02):
        slot = self.granted.pop(0)
        slot.release()
        now = self.loop.clock.now
        self.limits.record(Sample("s", slot.instance.name, True, kind, latency_s, now))

    def test_concurrency_never_exceeds_slots(self):
        for _ in range(10):
            self.acquire()
        names = [slot.instance.name for slot in self.granted]
        self.assertEqual(sorted(names), ["i-0", "i-0", "i-1", "i-1"])

    @params("is_removed", "is_draining")
    def test_no_instance_is_reported_at_once(self, why):
        self.floor.is_removed.return_value = why == "is_removed"
        self.draining.is_draining.return_value = why == "is_draining"
        self.acquire()
        self.assertEqual(self.rejected, [("", ErrorKind.NO_INSTANCE)])

    def test_waiters_are_rejected_when_the_last_instance_leaves(self):
        for _ in range(5):
            self.acquire()
        self.floor.is_removed.return_value = True
        self.complete_first()
        self.assertEqual(self.rejected, [("", ErrorKind.NO_INSTANCE)])

    def test_overlong_queue_rejects_at_once(self):
        for _ in range(500):
            self.acquire()
        self.assertTrue(self.rejected)
        self.assertEqual(set(self.rejected), {("", ErrorKind.OVERLOADED)})

    def test_waiter_is_rejected_well_before_its_deadline(self):
        for _ in range(5):
            self.acquire()
        self.loop.run_to(DEADLINE_S / 2)
        self.assertEqual(self.rejected, [("", ErrorKind.OVERLOADED)])

    def test_cancelled_waiter_gets_no_slot(self):
        for _ in range(4):
            self.acquire()
        self.acquire().cancel()
        self.complete_first()
        self.assertEqual((len(self.granted), self.rejected), (3, []))

    def test_modest_customer_evicts_waiter_of_greedy_one(self):
        for _ in range(500):
            self.acquire("greedy")
        self.rejected.clear()
        self.acquire("modest")
        self.assertNotIn("modest", [customer for customer, _ in self.rejected])

    def test_view_reports_the_load(self):
        for _ in range(5):
            self.acquire()
        seen = self.limits.view()["s"]
        self.assertEqual((seen["under_way"], seen["waiting"]), (4, 1))
        self.assertEqual(seen["window"], 4.0)

    @params((True, True), (False, False))
    def test_instance_on_probation_gets_idempotent_requests_only(
        self, is_idempotent, is_used
    ):
        self.health.is_on_probation.side_effect = lambda service, name: name == "i-0"
        names = set()
        for _ in range(50):
            self.acquire(is_idempotent=is_idempotent)
            names.add(self.granted[0].instance.name)
            self.complete_first()
        self.assertEqual("i-0" in names, is_used)

    @params((1, False), (4, True))
    def test_draining_instance_is_used_only_when_others_are_full(
        self, concurrent, is_used
    ):
        self.put_service(instances=2, slots=2, drains=["i-0"])
        names = set()
        for _ in range(25):
            for _ in range(concurrent):
                self.acquire()
            while self.granted:
                names.add(self.granted[0].instance.name)
                self.complete_first()
        self.assertEqual("i-0" in names, is_used)

    def test_retries_stop_when_budget_is_spent(self):
        for _ in range(40):
            self.acquire(is_retry=True)
            if self.granted:
                self.complete_first()
        self.assertEqual(len(self.rejected), 40 - INITIAL_CREDIT_TOKENS)

    def test_retry_uses_another_instance(self):
        self.acquire(is_retry=True, exclude=["i-0"])
        self.assertEqual(self.granted[0].instance.name, "i-1")

    def test_new_instance_gets_slow_start(self):
        self.acquire()
        self.complete_first()
        self.loop.run_to(5.0)
        self.put_service(instances=4, slots=100)
        names = []
        for _ in range(400):
            self.acquire()
            names.append(self.granted[0].instance.name)
            self.complete_first()
        share = (names.count("i-2") + names.count("i-3")) / len(names)
        self.assertLess(share, 0.2)

    def test_unhealthy_instance_gets_fewer_requests(self):
        self.put_service(instances=2, slots=100)
        self.health.weight.side_effect = lambda service, name: (
            0.1 if name == "i-0" else 1.0
        )
        names = []
        for _ in range(400):
            self.acquire()
            names.append(self.granted[0].instance.name)
            self.complete_first()
        self.assertLess(names.count("i-0") / len(names), 0.3)
