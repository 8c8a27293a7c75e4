"""Load patterns replayed on the placer, with a virtual clock and seeded chance."""

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

OBJECTIVE_S = 0.8
DEADLINE_S = 4.0
PUMP_S = 0.05


class Site(NamedTuple):
    """A site to replay on.

    Attributes:
        instances: how many there are, two slots each.
        sick: how many of them fail at once, for good.
        work_s: mean work of a request.
        per_s: requests a second.
        unsafe_share: share of requests that may run once.
    """

    instances: int
    sick: int
    service_time_s: float
    per_s: float
    unsafe_share: float = 0.67


class Tally(NamedTuple):
    """What became of the requests."""

    on_time: int
    late: int
    failed: int
    refused: int
    refused_late: int

    @property
    def served_share(self) -> float:
        total = self.on_time + self.late + self.failed + self.refused
        return (self.on_time + self.late) / total


def replay(site, seed=1, length_s=20.0):
    """Play a site with one host and return a Tally."""
    rng = random.Random(seed)
    registry = InstanceRegistry()
    registry.apply(
        [
            InstanceChange(
                f"i-{n}",
                1,
                Instance(f"i-{n}", "s", Address("h", n), "a", 2, False, 0.0, 0),
            )
            for n in range(site.instances)
        ],
        1,
    )
    placer = Placer(registry, "a", rng, RetryRules())
    sick = {f"i-{n}" for n in range(site.sick)}
    counts = dict.fromkeys(Tally._fields, 0)
    order = itertools.count()
    events = []

    def at(time, fn, *args):
        heapq.heappush(events, (time, next(order), fn, args))

    def arrive(now):
        is_unsafe = rng.random() < site.unsafe_share
        requirements = Requirements(
            SelectionMode.CAUTIOUS if is_unsafe else SelectionMode.EXPLORATORY
        )
        place(now, now, requirements, 1 if is_unsafe else 2)

    def place(now, arrived, requirements, tries):
        def on_decision(found):
            if isinstance(found, Rejection):
                counts["refused"] += 1
                counts["refused_late"] += clock[0] - arrived > OBJECTIVE_S
                return
            begin(found.id, arrived, tries)

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

    def begin(name, arrived, tries):
        is_failing = name in sick and rng.random() < 0.8
        service_time_s = (
            0.002 if is_failing else site.service_time_s * rng.uniform(0.5, 1.5)
        )
        at(
            clock[0] + service_time_s,
            end,
            name,
            arrived,
            tries,
            is_failing,
            service_time_s,
        )

    def end(now, name, arrived, tries, is_failing, service_time_s):
        placer.release(name)
        placer.health.observe(
            name, Observation.ERROR if is_failing else Observation.SUCCESS, now
        )
        if not is_failing:
            placer.record_service_time("s", service_time_s)
            counts["on_time" if now - arrived <= OBJECTIVE_S else "late"] += 1
        elif tries > 1:
            requirements = Requirements(
                SelectionMode.CAUTIOUS, exclude=frozenset({name})
            )
            place(now, arrived, requirements, tries - 1)
        else:
            counts["failed"] += 1
        placer.dispatch_queued(now)

    def pump(now):
        placer.dispatch_queued(now)
        at(now + PUMP_S, pump)

    clock = [100.0]
    for _ in range(int(site.per_s * length_s)):
        at(100.0 + rng.uniform(0.0, length_s), arrive)
    at(100.0, pump)
    while events:
        now, _, fn, args = heapq.heappop(events)
        if now > 100.0 + length_s + DEADLINE_S + 1.0:
            break
        clock[0] = now
        fn(now, *args)
    return Tally(**counts)


class ReplayTest(unittest.TestCase):
    @params(1, 2, 3)
    def test_calm_load_is_served_in_time(self, seed):
        tally = replay(Site(10, 0, 0.25, 30.0), seed)
        self.assertEqual(tally.failed + tally.refused, 0)
        self.assertGreater(tally.on_time / (tally.on_time + tally.late), 0.99)

    @params(1, 2, 3)
    def test_sick_instances_do_not_draw_unsafe_work_at_full_load(self, seed):
        """Sick instances fail at once, so they hold the only free slots.

        Whoever takes any free slot sends them most of the work.  Half the work
        here may run once; six instances serve 48 a second, and 44 arrive.
        """
        tally = replay(Site(8, 2, 0.25, 44.0, unsafe_share=0.5), seed)
        total = sum(tally[:4])
        self.assertLess(tally.failed / total, 0.03)
        self.assertGreater(tally.served_share, 0.93)

    @params((1.2, 1), (1.2, 2), (1.5, 1), (1.5, 2), (3.0, 1), (3.0, 2))
    def test_overload_keeps_goodput_and_refuses_early(self, times, seed):
        """More arrives than the slots hold, for a long time."""
        site = Site(10, 0, 0.25, times * 80.0)
        tally = replay(site, seed)
        served_per_s = (tally.on_time + tally.late) / 20.0
        self.assertGreater(served_per_s, 0.85 * 80.0)
        self.assertGreater(tally.on_time / (tally.on_time + tally.late), 0.8)
        self.assertLess(tally.refused_late, 0.02 * tally.refused)
