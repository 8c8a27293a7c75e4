"""Simulated load patterns on the placer, with a virtual clock and seeded randomness."""

import heapq
import itertools
import random
import unittest
from typing import NamedTuple

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
from dogwoodtack.position import StorePosition

OBJECTIVE_S = 0.8
DEADLINE_S = 4.0
DISPATCH_INTERVAL_S = 0.05
SEEN_AT = StorePosition(1, 1)


class Site(NamedTuple):
    """The simulated site.

    Attributes:
        instances: number of instances, with two slots each.
        unhealthy: how many of them always fail most of their requests, at once.
        service_time_s: mean service time of a request, in seconds.
        requests_per_s: arrival rate.
        non_idempotent_share: share of requests that are not idempotent.
    """

    instances: int
    unhealthy: int
    service_time_s: float
    requests_per_s: float
    non_idempotent_share: float = 0.67


class ResultCounts(NamedTuple):
    """Number of requests by result."""

    on_time: int
    late: int
    failed: int
    rejected: int
    rejected_late: int

    @property
    def served_share(self) -> float:
        total = self.on_time + self.late + self.failed + self.rejected
        return (self.on_time + self.late) / total


def simulate(site, seed=1, length_s=20.0):
    """Simulate a site with one host and return the counts of its requests."""
    rng = random.Random(seed)
    registry = InstanceRegistry()
    registry.apply(
        [
            InstanceChange(
                f"i-{n}",
                SEEN_AT,
                Instance(f"i-{n}", "s", Address("h", n), "a", 2, False, 0.0, 0),
            )
            for n in range(site.instances)
        ],
        SEEN_AT,
    )
    placer = Placer(registry, "a", rng, RetryRules())
    unhealthy = {f"i-{n}" for n in range(site.unhealthy)}
    counts = dict.fromkeys(ResultCounts._fields, 0)
    order = itertools.count()
    events = []

    def at(time, fn, *args):
        heapq.heappush(events, (time, next(order), fn, args))

    def arrive(now):
        is_non_idempotent = rng.random() < site.non_idempotent_share
        requirements = Requirements(
            SelectionMode.CAUTIOUS if is_non_idempotent else SelectionMode.EXPLORATORY
        )
        place(now, now, requirements, 1 if is_non_idempotent else 2)

    def place(now, arrived, requirements, attempts_left):
        def on_decision(found):
            if isinstance(found, Rejection):
                counts["rejected"] += 1
                counts["rejected_late"] += clock[0] - arrived > OBJECTIVE_S
                return
            start_request(found.id, arrived, attempts_left)

        req = PlacementRequest(
            service="s",
            requirements=requirements,
            priority=1,
            start_by=placer.start_by("s", arrived, OBJECTIVE_S),
            abandon_at=arrived + DEADLINE_S,
            arrived_at=arrived,
            on_decision=on_decision,
        )
        placer.place(req, now)

    def start_request(name, arrived, attempts_left):
        is_failing = name in unhealthy and rng.random() < 0.8
        service_time_s = (
            0.002 if is_failing else site.service_time_s * rng.uniform(0.5, 1.5)
        )
        at(
            clock[0] + service_time_s,
            finish_request,
            name,
            arrived,
            attempts_left,
            is_failing,
            service_time_s,
        )

    def finish_request(now, name, arrived, attempts_left, is_failing, service_time_s):
        placer.release(name)
        placer.health.observe(
            name, Observation.ERROR if is_failing else Observation.SUCCESS, now
        )
        if not is_failing:
            placer.record_service_time("s", service_time_s)
            counts["on_time" if now - arrived <= OBJECTIVE_S else "late"] += 1
        elif attempts_left > 1:
            requirements = Requirements(
                SelectionMode.CAUTIOUS, exclude=frozenset({name})
            )
            place(now, arrived, requirements, attempts_left - 1)
        else:
            counts["failed"] += 1
        placer.dispatch_queued(now)

    def dispatch(now):
        placer.dispatch_queued(now)
        at(now + DISPATCH_INTERVAL_S, dispatch)

    clock = [100.0]
    for _ in range(int(site.requests_per_s * length_s)):
        at(100.0 + rng.uniform(0.0, length_s), arrive)
    at(100.0, dispatch)
    while events:
        now, _, fn, args = heapq.heappop(events)
        if now > 100.0 + length_s + DEADLINE_S + 1.0:
            break
        clock[0] = now
        fn(now, *args)
    return ResultCounts(**counts)


class SimulationTest(unittest.TestCase):
    @params(1, 2, 3)
    def test_light_load_is_served_on_time(self, seed):
        results = simulate(Site(10, 0, 0.25, 30.0), seed)
        self.assertEqual(results.failed + results.rejected, 0)
        self.assertGreater(results.on_time / (results.on_time + results.late), 0.99)

    @params(1, 2, 3)
    def test_unhealthy_instances_get_few_requests_at_full_load(self, seed):
        """Unhealthy instances fail at once, so they have the only free slots.

        A placer that uses any free slot would send them most requests.  Here half
        the requests are not idempotent; six healthy instances serve 48 requests a
        second, and 44 arrive.
        """
        results = simulate(Site(8, 2, 0.25, 44.0, non_idempotent_share=0.5), seed)
        total = sum(results[:4])
        self.assertLess(results.failed / total, 0.03)
        self.assertGreater(results.served_share, 0.93)

    @params((1.2, 1), (1.2, 2), (1.5, 1), (1.5, 2), (3.0, 1), (3.0, 2))
    def test_overload_keeps_goodput_and_rejects_early(self, times, seed):
        """More requests arrive than the slots can serve, for a long time."""
        site = Site(10, 0, 0.25, times * 80.0)
        results = simulate(site, seed)
        served_per_s = (results.on_time + results.late) / 20.0
        self.assertGreater(served_per_s, 0.85 * 80.0)
        self.assertGreater(results.on_time / (results.on_time + results.late), 0.8)
        self.assertLess(results.rejected_late, 0.02 * results.rejected)
