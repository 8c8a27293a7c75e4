"""Replays of bursts of single kinds and organisations, on hosts that share slots."""

import unittest
from collections import Counter
from typing import NamedTuple

from nose2.tools import params

from dogwoodtack.fleet.tests import zones
from dogwoodtack.fleet.tests.zones import SERVICE, START, Load
from dogwoodtack.placement import (
    PlacementRequest,
    Rejection,
    Requirements,
    SelectionMode,
)

ORGANISATIONS = 79
ZIPF_EXPONENT = 1.2
SMALLEST_TENTH = frozenset(f"org-{rank}" for rank in range(72, 80))
# What a host that is full or rejects may take until callers count it as refused late.
LATE_REFUSAL_SHARE = 1 / 8


class Kind(NamedTuple):
    """A kind of request and its load.

    Attributes:
        name: name of its route.
        per_s: usual requests a second of all zones.
        work_s: mean service time.
        priority: priority of the route.
        objective_s: latency objective.
        deadline_s: time after which a response is worthless.
        factor: factor on its rate in the burst.
        burst_s: when the burst begins and ends, in seconds from the start.
    """

    name: str
    per_s: float
    work_s: float
    priority: int
    objective_s: float
    deadline_s: float
    factor: float = 1.0
    burst_s: tuple[float, float] = (0.0, 0.0)


class Scene(NamedTuple):
    """A load by kinds and organisations.

    Attributes:
        load: the instances and hosts; its rates are not used.
        kinds: the kinds of request.
        burster: rank of the organisation that bursts, None if there are none.
        factor: factor on that organisation's rate in the burst.
        burst_s: when the burst begins and ends, in seconds from the start.
        is_fair: whether the service is shared fairly.
    """

    load: Load
    kinds: tuple[Kind, ...]
    burster: int | None = None
    factor: float = 1.0
    burst_s: tuple[float, float] = (0.0, 0.0)
    is_fair: bool = True


class Caller(NamedTuple):
    kind: Kind
    organisation: str
    in_burst: bool


class _Attempt:
    """The end of a request at an instance, and how long it holds the slot."""

    def __init__(self, on_end, work_s):
        self.on_end = on_end
        self.work_s = work_s

    def __call__(self, is_failing):
        self.on_end(is_failing)


class FairServer(zones.Server):
    def run(self, attempt):
        rng = self.world.rng
        is_failing = self.is_unhealthy and rng.random() < zones.FAILURE_RATIO
        work_s = attempt.work_s * rng.uniform(0.4, 1.6)
        self.world.at(
            self.world.now + (zones.FAILURE_TIME_S if is_failing else work_s),
            self.end,
            attempt,
            is_failing,
        )


class FairHost(zones.Host):
    """A host that places requests of several kinds and organisations."""

    def __init__(self, world, *args):
        super().__init__(world, *args)
        if world.scene.is_fair:
            self.placer.fair_services = frozenset({SERVICE})

    def place(self, caller):
        kind, now = caller.kind, self.world.now
        self.world.counts["arrived", caller] += 1
        req = PlacementRequest(
            service=SERVICE,
            requirements=Requirements(SelectionMode.CAUTIOUS),
            priority=kind.priority,
            start_by=self.placer.start_by(SERVICE, now, kind.objective_s, kind.name),
            abandon_at=now + kind.deadline_s - kind.work_s / 2,
            arrived_at=now,
            on_decision=lambda found: self.on_found(found, caller, now),
            organisation=caller.organisation,
            route=kind.name,
        )
        self.placer.place(req, now)

    def on_found(self, found, caller, arrived_at):
        world = self.world
        counts, objective_s = world.counts, caller.kind.objective_s
        if isinstance(found, Rejection):
            counts["rejected", caller] += 1
            waited_s = world.now - arrived_at
            if waited_s > LATE_REFUSAL_SHARE * objective_s:
                counts["rejected late", caller] += 1
            return
        self.report(found.id, None)
        started_at = world.now

        def on_end(is_failing):
            self.on_served(found.id, started_at, is_failing, caller)
            if not is_failing:
                is_on_time = world.now - arrived_at <= objective_s
                counts["on time" if is_on_time else "late", caller] += 1

        world.servers[found.id].receive(_Attempt(on_end, caller.kind.work_s))

    def on_served(self, name, started_at, is_failing, caller):
        now = self.world.now
        ended = zones.Observation.ERROR if is_failing else zones.Observation.SUCCESS
        self.placer.release(name)
        self.placer.health.observe(name, ended, now)
        self.report(name, ended)
        if not is_failing:
            self.placer.record_service_time(SERVICE, now - started_at, caller.kind.name)
        self.placer.dispatch_queued(now)

    def report_zone(self):
        super().report_zone()
        self.send_usage()

    def flush(self):
        super().flush()
        for peer in self.zone_peers():
            self.send_totals(peer, self.name, self.placer.usage.totals(), 0.0002)

    def send_usage(self):
        """Send the sum of the zone's totals, as its gateway does."""
        totals = Counter()
        for host in [self, *self.zone_peers()]:
            totals.update(host.placer.usage.totals())
        for host in self.world.hosts:
            if host.zone != self.zone:
                self.send_totals(host, self.zone, dict(totals), 0.0014)

    def send_totals(self, host, source, totals, delay_s):
        self.world.at(self.world.now + delay_s, host.on_usage_totals, source, totals)

    def on_usage_totals(self, source, totals):
        for organisation, total_s in totals.items():
            self.placer.usage.on_total(source, organisation, total_s, self.world.now)


class FairWorld(zones.World):
    host_class = FairHost
    server_class = FairServer

    def __init__(self, scene, seed):
        self.scene = scene
        self.counts = Counter()
        super().__init__(scene.load, seed)

    def _plan_arrivals(self, hosts, requests_per_s):
        scene = self.scene
        weights = [1.0]
        if scene.burster is not None:
            ranks = range(1, ORGANISATIONS + 1)
            weights = [rank**-ZIPF_EXPONENT for rank in ranks]
        share = 1.0 / (len(self.zones) * sum(weights))
        for kind in scene.kinds:
            for rank, weight in enumerate(weights, 1):
                name = "" if scene.burster is None else f"org-{rank}"
                per_s = kind.per_s * weight * share
                self._plan(hosts, kind, name, per_s, (0.0, scene.load.duration_s))
                if kind.factor > 1.0:
                    extra = per_s * (kind.factor - 1.0)
                    self._plan(hosts, kind, name, extra, kind.burst_s)
                if rank == scene.burster:
                    extra = per_s * (scene.factor - 1.0)
                    self._plan(hosts, kind, name, extra, scene.burst_s)

    def _plan(self, hosts, kind, organisation, per_s, span):
        begin, end = span
        when = begin + self.rng.expovariate(per_s)
        while when < end:
            in_burst = any(
                since <= when < until
                for since, until in (kind.burst_s, self.scene.burst_s)
            )
            caller = Caller(kind, organisation, in_burst)
            self.at(START + when, self.rng.choice(hosts).place, caller)
            when += self.rng.expovariate(per_s)

    def total(self, result, matches=lambda caller: True):
        return sum(
            count
            for (known, caller), count in self.counts.items()
            if known == result and matches(caller)
        )

    def share(self, result, matches=lambda caller: True):
        """Return the share of the matching requests that had a result."""
        results = ("on time", "late") if result == "served" else (result,)
        arrived = self.total("arrived", matches)
        return sum(self.total(one, matches) for one in results) / max(1, arrived)


def replay(scene, seed):
    world = FairWorld(scene, seed)
    world.run()
    return world


EXHIBITS = Scene(
    Load(instances=(5, 5, 5), slots=3, faulty_ratio=0.0, duration_s=12.0, hosts=3),
    (
        Kind("uploads", 53.0, 0.18, 2, 2.7, 8.7, 2.3, (4.0, 10.0)),
        Kind("withdrawals", 36.0, 0.12, 0, 0.576, 4.6, 1.6, (4.0, 7.0)),
    ),
)
# 276 slots at 0.85, in the proportion of look-ups and filings.
DOCKET = Scene(
    Load(instances=(31, 31, 30), slots=3, faulty_ratio=0.0, duration_s=12.0),
    (
        Kind("status", 275.0, 0.237, 1, 0.876, 4.4),
        Kind("filings", 715.0, 0.237, 1, 0.878, 6.6),
    ),
    burster=3,
    factor=7.0,
    burst_s=(4.0, 10.0),
)


class ExhibitsTest(unittest.TestCase):
    @params(1, 2, 3)
    def test_sound_instances_serve_the_burst_on_time(self, seed):
        world = replay(EXHIBITS, seed)
        self.assertGreater(world.share("on time"), 0.99)


if __name__ == "__main__":
    unittest.main()
