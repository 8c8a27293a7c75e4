"""Window, retry budget, fair queue and slow start, each by itself."""

import random
import unittest

from hypothesis import given, settings, strategies as st
from nose2.tools import params

from dogwoodtack.health import Sample, SampleKind
from dogwoodtack.limits import SlotRequest
from dogwoodtack.limits.budget import LENT, SAVED, RetryBudget
from dogwoodtack.limits.fair_queue import FairQueue
from dogwoodtack.limits.instance import SLOW_START_S, InstanceLoad
from dogwoodtack.limits.service import ServiceLoad
from dogwoodtack.limits.waiter import Waiter
from dogwoodtack.limits.window import MIN_LIMIT, Window

RATIO = 0.1
MAX_AMPLIFICATION = 1.1


def waiter(customer):
    req = SlotRequest(None, customer, 0.0, frozenset(), False)
    return Waiter(req, lambda slot, kind: None)


class BudgetTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.lists(st.booleans(), max_size=400))
    def test_never_over_ratio_and_loan(self, wishes):
        budget = RetryBudget()
        retries = 0
        for firsts, wants in enumerate(wishes, start=1):
            budget.note_first(RATIO)
            retries += wants and budget.take()
            allowed = max(LENT, (MAX_AMPLIFICATION - 1) * firsts)
            self.assertLessEqual(retries, allowed + 1e-6)

    def test_quiet_times_are_saved_for_a_failing_back_end(self):
        budget = RetryBudget()
        for _ in range(1000):
            budget.note_first(RATIO)
        taken = 0
        while budget.take():
            taken += 1
        self.assertEqual(taken, SAVED)


class WindowTest(unittest.TestCase):
    def test_one_fall_for_each_latency(self):
        window = Window(40)
        for _ in range(10):
            window.on_shed(1.0, 0.05)
        self.assertEqual(window.limit, 32.0)

    @params((2.0, 0.0), (0.5, 0.02))
    def test_under_one_it_pauses(self, limit, pause_s):
        window = Window(40)
        window.limit = limit
        self.assertEqual(window.pause_s(0.02), pause_s)

    @settings(derandomize=True, database=None, max_examples=100)
    @given(st.lists(st.sampled_from(["shed", "answer", "idle"]), max_size=300))
    def test_stays_between_its_bounds(self, events):
        window = Window(12)
        for step, event in enumerate(events):
            if event == "shed":
                window.on_shed(step * 0.1, 0.05)
            else:
                window.on_answer(step * 0.1, event == "answer", 12)
            self.assertTrue(MIN_LIMIT <= window.limit <= 12)

    def test_comes_back_once_shedding_ends(self):
        window = Window(40)
        for step in range(50):
            window.on_shed(step * 0.1, 0.05)
        self.assertEqual(window.limit, MIN_LIMIT)
        for step in range(2000):
            window.on_answer(5.0 + step * 0.02, True, 40)
        self.assertEqual(window.limit, 40)


class FairQueueTest(unittest.TestCase):
    def serve(self, queue, weights, turns):
        """Take turns while every customer always has a waiter queued."""
        order = []
        for step in range(turns):
            now = step * 0.02
            for name in weights:
                if name not in queue._items:
                    queue.push(waiter(name))
            turn = queue.peek(now)
            queue.remove(turn)
            name = turn.req.customer
            queue.note_grant(name, weights[name], now)
            order.append(name)
        return order

    @params(((1, 1), 50), ((1, 3), 25), ((4, 1), 80))
    def test_turns_follow_the_weights(self, weights, percent):
        weights = {"a": weights[0], "b": weights[1]}
        order = self.serve(FairQueue(), weights, 1000)
        self.assertAlmostEqual(order.count("a") / 10, percent, delta=2)

    def test_a_modest_customer_passes_a_long_queue(self):
        queue = FairQueue()
        for _ in range(100):
            queue.push(waiter("greedy"))
        queue.note_grant("greedy", 1.0, 0.0)
        queue.push(waiter("modest"))
        self.assertEqual(queue.peek(0.0).req.customer, "modest")
        self.assertEqual(queue.ahead_of("modest", 0.0), 1)
        self.assertEqual(queue.ahead_of("greedy", 0.0), 101)

    def test_the_newest_of_the_greediest_goes(self):
        queue = FairQueue()
        waiters = [waiter("greedy") for _ in range(5)]
        for one in waiters:
            queue.push(one)
            queue.note_grant("greedy", 1.0, 0.0)
        self.assertIs(queue.most_greedy("modest", 0.0), waiters[-1])
        self.assertIsNone(queue.most_greedy("greedy", 0.0))
        self.assertIsNone(queue.most_greedy("modest", 10_000.0 * 5))

    def test_customers_of_the_past_are_forgotten(self):
        queue = FairQueue()
        for number in range(10_000):
            queue.note_grant(f"customer-{number}", 1.0, float(number))
        self.assertLess(len(queue._usages), 100)

    @settings(derandomize=True, database=None, max_examples=100)
    @given(st.integers(0, 10_000))
    def test_none_is_lost_and_order_holds_within_a_customer(self, seed):
        rng = random.Random(seed)
        queue = FairQueue()
        expected = {"a": [], "b": [], "c": []}
        for step in range(100):
            name = rng.choice("abc")
            if rng.random() < 0.6:
                expected[name].append(waiter(name))
                queue.push(expected[name][-1])
            elif queue and rng.random() < 0.5:
                turn = queue.peek(step)
                queue.remove(turn)
                queue.note_grant(turn.req.customer, rng.choice([0.5, 1.0]), step)
                self.assertIs(turn, expected[turn.req.customer].pop(0))
            elif expected[name]:
                gone = expected[name].pop(rng.randrange(len(expected[name])))
                queue.remove(gone)
            self.assertEqual(len(queue), sum(map(len, expected.values())))


class InstanceLoadTest(unittest.TestCase):
    def test_slow_start_after_a_return(self):
        load = InstanceLoad()
        self.assertEqual(load.ramp(0.0), 1.0)
        load.note_away()
        load.note_present(10.0)
        self.assertEqual(load.ramp(10.0), 0.1)
        self.assertLess(load.ramp(10.0 + SLOW_START_S / 2), 0.6)
        self.assertEqual(load.ramp(10.0 + SLOW_START_S), 1.0)

    def test_old_slowness_fades(self):
        load = InstanceLoad()
        load.on_answer(0.0, 1.0)
        self.assertAlmostEqual(load.cost(0.0, 0.02), 1.0)
        self.assertAlmostEqual(load.cost(30.0, 0.02), 0.02, places=4)


class ServiceLoadTest(unittest.TestCase):
    @params(
        ("one of twenty", 20, 1, True),
        ("four of twenty", 20, 4, False),
        ("one of two", 2, 1, True),
        ("both of two", 2, 2, False),
        ("the only one", 1, 1, False),
    )
    def test_one_sick_instance_does_not_shrink_the_window(
        self, _name, instances, sick, keeps
    ):
        load = ServiceLoad(0.0, 40)
        for step in range(200):
            kind = SampleKind.SHED if step % 2 else SampleKind.TIMEOUT
            name = f"i-{step % sick}"
            load.record(Sample("s", name, True, kind, 0.02, step * 0.05), instances, 40)
        self.assertEqual(load.window.limit == 40.0, keeps)
