"""Unit tests of the concurrency window, retry budget, fair queue and loads."""

import random
import unittest

from hypothesis import given, settings, strategies as st
from nose2.tools import params

from dogwoodtack.health import Sample, SampleKind
from dogwoodtack.limits import SlotRequest
from dogwoodtack.limits.budget import (
    INITIAL_CREDIT_TOKENS,
    MAX_SAVED_TOKENS,
    RetryBudget,
)
from dogwoodtack.limits.fair_queue import FairQueue
from dogwoodtack.limits.instance import SLOW_START_S, InstanceLoad
from dogwoodtack.limits.service import ServiceLoad
from dogwoodtack.limits.waiter import Waiter
from dogwoodtack.limits.window import MIN_LIMIT, ConcurrencyWindow

RATIO = 0.1
MAX_AMPLIFICATION = 1.1


def make_waiter(customer):
    req = SlotRequest(None, customer, 0.0, frozenset(), False)
    return Waiter(req, lambda slot, kind: None)


class BudgetTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.lists(st.booleans(), max_size=400))
    def test_retries_never_exceed_ratio_and_credit(self, wants_retry):
        budget = RetryBudget()
        retries = 0
        for requests, wants in enumerate(wants_retry, start=1):
            budget.record_request(RATIO)
            retries += wants and budget.try_spend()
            allowed = max(INITIAL_CREDIT_TOKENS, (MAX_AMPLIFICATION - 1) * requests)
            self.assertLessEqual(retries, allowed + 1e-6)

    def test_unused_tokens_are_saved_up_to_a_limit(self):
        budget = RetryBudget()
        for _ in range(1000):
            budget.record_request(RATIO)
        retries = 0
        while budget.try_spend():
            retries += 1
        self.assertEqual(retries, MAX_SAVED_TOKENS)


class WindowTest(unittest.TestCase):
    def test_limit_decreases_once_per_latency(self):
        window = ConcurrencyWindow(40)
        for _ in range(10):
            window.on_overload(1.0, 0.05)
        self.assertEqual(window.limit, 32.0)

    @params((2.0, 0.0), (0.5, 0.02))
    def test_limit_below_one_causes_pauses(self, limit, pause_s):
        window = ConcurrencyWindow(40)
        window.limit = limit
        self.assertEqual(window.pause_s(0.02), pause_s)

    @settings(derandomize=True, database=None, max_examples=100)
    @given(st.lists(st.sampled_from(["shed", "response", "idle"]), max_size=300))
    def test_limit_stays_within_bounds(self, events):
        window = ConcurrencyWindow(12)
        for step, event in enumerate(events):
            if event == "shed":
                window.on_overload(step * 0.1, 0.05)
            else:
                window.on_response(step * 0.1, event == "response", 12)
            self.assertTrue(MIN_LIMIT <= window.limit <= 12)

    def test_limit_recovers_after_overload(self):
        window = ConcurrencyWindow(40)
        for step in range(50):
            window.on_overload(step * 0.1, 0.05)
        self.assertEqual(window.limit, MIN_LIMIT)
        for step in range(2000):
            window.on_response(5.0 + step * 0.02, True, 40)
        self.assertEqual(window.limit, 40)


class FairQueueTest(unittest.TestCase):
    def serve(self, queue, weights, grants):
        """Dequeue waiters while every customer always has one queued."""
        order = []
        for step in range(grants):
            now = step * 0.02
            for name in weights:
                if name not in queue._queues:
                    queue.push(make_waiter(name))
            served = queue.peek(now)
            queue.remove(served)
            name = served.req.customer
            queue.record_grant(name, weights[name], now)
            order.append(name)
        return order

    @params(((1, 1), 50), ((1, 3), 25), ((4, 1), 80))
    def test_grants_follow_the_weights(self, weights, percent):
        weights = {"a": weights[0], "b": weights[1]}
        order = self.serve(FairQueue(), weights, 1000)
        self.assertAlmostEqual(order.count("a") / 10, percent, delta=2)

    def test_modest_customer_passes_long_queue_of_another(self):
        queue = FairQueue()
        for _ in range(100):
            queue.push(make_waiter("greedy"))
        queue.record_grant("greedy", 1.0, 0.0)
        queue.push(make_waiter("modest"))
        self.assertEqual(queue.peek(0.0).req.customer, "modest")
        self.assertEqual(queue.ahead_of("modest", 0.0), 1)
        self.assertEqual(queue.ahead_of("greedy", 0.0), 101)

    def test_newest_waiter_of_highest_usage_is_evicted(self):
        queue = FairQueue()
        waiters = [make_waiter("greedy") for _ in range(5)]
        for one in waiters:
            queue.push(one)
            queue.record_grant("greedy", 1.0, 0.0)
        self.assertIs(queue.eviction_candidate("modest", 0.0), waiters[-1])
        self.assertIsNone(queue.eviction_candidate("greedy", 0.0))
        self.assertIsNone(queue.eviction_candidate("modest", 10_000.0 * 5))

    def test_negligible_usage_is_discarded(self):
        queue = FairQueue()
        for number in range(10_000):
            queue.record_grant(f"customer-{number}", 1.0, float(number))
        self.assertLess(len(queue._usages), 100)

    @settings(derandomize=True, database=None, max_examples=100)
    @given(st.integers(0, 10_000))
    def test_no_waiter_is_lost_and_each_customer_is_served_in_order(self, seed):
        rng = random.Random(seed)
        queue = FairQueue()
        expected = {"a": [], "b": [], "c": []}
        for step in range(100):
            name = rng.choice("abc")
            if rng.random() < 0.6:
                expected[name].append(make_waiter(name))
                queue.push(expected[name][-1])
            elif queue and rng.random() < 0.5:
                served = queue.peek(step)
                queue.remove(served)
                queue.record_grant(served.req.customer, rng.choice([0.5, 1.0]), step)
                self.assertIs(served, expected[served.req.customer].pop(0))
            elif expected[name]:
                cancelled = expected[name].pop(rng.randrange(len(expected[name])))
                queue.remove(cancelled)
            self.assertEqual(len(queue), sum(map(len, expected.values())))


class InstanceLoadTest(unittest.TestCase):
    def test_slow_start_after_unavailability(self):
        load = InstanceLoad()
        self.assertEqual(load.slow_start_weight(0.0), 1.0)
        load.mark_unavailable()
        load.mark_available(10.0)
        self.assertEqual(load.slow_start_weight(10.0), 0.1)
        self.assertLess(load.slow_start_weight(10.0 + SLOW_START_S / 2), 0.6)
        self.assertEqual(load.slow_start_weight(10.0 + SLOW_START_S), 1.0)

    def test_old_latency_decays(self):
        load = InstanceLoad()
        load.record_response(0.0, 1.0)
        self.assertAlmostEqual(load.expected_cost_s(0.0, 0.02), 1.0)
        self.assertAlmostEqual(load.expected_cost_s(30.0, 0.02), 0.02, places=4)


class ServiceLoadTest(unittest.TestCase):
    @params(
        ("one of twenty", 20, 1, True),
        ("four of twenty", 20, 4, False),
        ("one of two", 2, 1, True),
        ("both of two", 2, 2, False),
        ("the only one", 1, 1, False),
    )
    def test_one_unhealthy_instance_does_not_shrink_the_window(
        self, _name, instances, unhealthy, keeps
    ):
        load = ServiceLoad(0.0, 40)
        for step in range(200):
            kind = SampleKind.SHED if step % 2 else SampleKind.TIMEOUT
            name = f"i-{step % unhealthy}"
            load.record(Sample("s", name, True, kind, 0.02, step * 0.05), instances, 40)
        self.assertEqual(load.window.limit == 40.0, keeps)
