"""Simulation of several zones of entry hosts and their instances on a virtual clock.

The hosts run the real placer and exchange peer reports and zone reports as the fleet
does, with the same delays.  Instances process as many requests as they have slots and
queue the rest, and some fail for seconds at a time.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from typing import NamedTuple

from dogwoodtack.fleet import InstanceReport
from dogwoodtack.fleet.fleet import REPORT_DELAY_S, ZONE_REPORT_INTERVAL_S
from dogwoodtack.fleet.peers import HEARTBEAT_INTERVAL_S
from dogwoodtack.fleet.report_batch import ReportBatch
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
from dogwoodtack.placement.balancing import BalancingSetting
from dogwoodtack.position import StorePosition

START = 100.0
SERVICE = "s"
IN_ZONE_DELAY_S = 0.0002
DISPATCH_INTERVAL_S = 0.1
FAILURE_TIME_S = 0.002
SHED_RATIO = 0.55
MAX_ATTEMPTS = 4
SLOW_FACTOR = 2.5
SWING_PERIOD_S = 20.0


class Load(NamedTuple):
    """A load to replay.

    Attributes:
        instances: number of instances in each zone.
        slots: slots of each instance.
        requests_per_s: requests per second in each zone.
        service_time_s: mean service time of a request.
        faulty_ratio: share of instances that repeatedly fail for seconds.
        hosts: number of serving hosts in each zone.
        objective_s: latency objective of a request.
        abandon_after_s: time after which a response is worthless.
        duration_s: how long requests arrive.
        peak_factor: factor on `requests_per_s` in the middle third of the replay.
        rate_limit_per_s: limit that some instances name; None if none does.
        limited_ratio: share of the instances that name it.
        lost_ratio: share of the messages between hosts that are lost.
        non_idempotent_ratio: share of the requests that aren't idempotent.
        failure_ratio: share of its requests that an unhealthy instance fails.
        unhealthy_span_s: shortest and longest time for which one is unhealthy.
        unhealthy_period_s: time in which each faulty instance becomes so once or twice.
        shedding_ratio: share of the instances that shed work though a slot is free.
        refuses_when_full: whether instances refuse what they have no slot for.
        slow_ratio: share of the instances that take SLOW_FACTOR as long.
        swing: by which share the demand of a zone rises and falls.
        zone_delay_s: delay of messages between zones.
        balancing: the hosts' setting.
    """

    instances: tuple[int, ...] = (9, 7, 6)
    slots: int = 2
    requests_per_s: tuple[float, ...] = (20.0, 20.0, 20.0)
    service_time_s: float = 0.26
    faulty_ratio: float = 0.3
    hosts: int = 3
    objective_s: float = 0.8
    abandon_after_s: float = 2.5
    duration_s: float = 30.0
    peak_factor: float = 1.0
    rate_limit_per_s: float | None = None
    limited_ratio: float = 0.4
    lost_ratio: float = 0.0
    non_idempotent_ratio: float = 0.67
    failure_ratio: float = 0.8
    unhealthy_span_s: tuple[float, float] = (2.0, 5.0)
    unhealthy_period_s: float = 9.0
    shedding_ratio: float = 0.0
    refuses_when_full: bool = False
    slow_ratio: float = 0.0
    swing: float = 0.0
    zone_delay_s: float = 0.0005
    balancing: BalancingSetting = BalancingSetting.AUTO


class Server:
    """An instance with slots, a queue, and spans of time in which it fails."""

    def __init__(self, world, zone, number, is_faulty):
        self.world = world
        self.zone = zone
        self.name = f"i-{zone}{number}"
        self.queue = []
        self.busy = 0
        self.is_unhealthy = False
        self.unhealthy_s = 0.0
        self.arrivals = []
        self.failures = []
        self.unhealthy_spans = []
        self.is_shedding = False
        self.slowness = 1.0
        self.rate_limit_per_s = None
        if is_faulty:
            world.at(
                START + world.rng.uniform(0.0, world.load.unhealthy_period_s),
                self.become_unhealthy,
            )

    def become_unhealthy(self):
        self.is_unhealthy = True
        span_s = self.world.rng.uniform(*self.world.load.unhealthy_span_s)
        self.unhealthy_spans.append((self.world.now, self.world.now + span_s))
        remaining_s = START + self.world.load.duration_s - self.world.now
        self.unhealthy_s += max(0.0, min(span_s, remaining_s))
        self.world.at(self.world.now + span_s, self.become_healthy)

    def become_healthy(self):
        self.is_unhealthy = False
        period_s = self.world.load.unhealthy_period_s
        pause_s = self.world.rng.uniform(0.5, 1.5) * period_s / 2
        self.world.at(self.world.now + pause_s, self.become_unhealthy)

    def receive(self, on_end):
        self.arrivals.append(self.world.now)
        is_full = self.busy >= self.world.load.slots
        is_refused = self.world.load.refuses_when_full and is_full
        if is_refused or (self.is_shedding and self.world.rng.random() < SHED_RATIO):
            self.world.count["refused"] += is_refused
            self.world.at(self.world.now + FAILURE_TIME_S, on_end, Observation.SHED)
            return
        self.accept(on_end)

    def accept(self, on_end):
        if self.busy >= self.world.load.slots:
            self.queue.append(on_end)
            return
        self.busy += 1
        self.world.at(self.world.now, self.run, on_end)

    def run(self, on_end):
        rng = self.world.rng
        load = self.world.load
        is_failing = self.is_unhealthy and rng.random() < load.failure_ratio
        mean_s = getattr(on_end, "service_time_s", load.service_time_s)
        service_time_s = mean_s * rng.uniform(0.4, 1.6)
        service_time_s *= self.slowness
        self.world.at(
            self.world.now + (FAILURE_TIME_S if is_failing else service_time_s),
            self.end,
            on_end,
            is_failing,
        )

    def end(self, on_end, is_failing):
        self.busy -= 1
        if is_failing:
            self.failures.append(self.world.now)
        if self.queue:
            self.accept(self.queue.pop(0))
        on_end(Observation.ERROR if is_failing else Observation.SUCCESS)

    def idle_spans(self, min_s, sound_after_s):
        """Return the spans without a request while it was sound the whole time."""
        end = START + self.world.load.duration_s
        times = [START] + [at for at in self.arrivals if at < end] + [end]
        gaps = [gap for gap in itertools.pairwise(times) if gap[1] - gap[0] >= min_s]
        for begin, until in self.unhealthy_spans:
            parts = ((max(a, until + sound_after_s), b) for a, b in gaps)
            gaps = [(a, min(b, begin)) for a, b in gaps] + list(parts)
        return [gap for gap in gaps if gap[1] - gap[0] >= min_s]


class Host:
    """A serving entry host with the real placer and its report batch."""

    def __init__(self, world, zone, number, registry):
        self.world = world
        self.zone = zone
        self.name = f"h-{zone}{number}"
        self.placer = Placer(registry, zone, world.rng, RetryRules())
        self.placer.competing_hosts = world.load.hosts
        self.placer.retry_budget_hosts = world.load.hosts * len(world.load.instances)
        self.placer.rate_limits.set_hosts(
            self.name,
            [f"h-{zone}{number}" for number in range(world.load.hosts)],
            world.zones,
        )
        self.placer.balancing.setting = world.load.balancing
        self.batch = ReportBatch()

    def request(self, arrived_at, requirements, attempts_left):
        load = self.world.load
        placement = PlacementRequest(
            service=SERVICE,
            requirements=requirements,
            priority=1 if requirements.mode is SelectionMode.CAUTIOUS else 2,
            start_by=self.placer.start_by(SERVICE, arrived_at, load.objective_s),
            abandon_at=arrived_at + load.abandon_after_s - load.service_time_s / 2,
            arrived_at=arrived_at,
            on_decision=lambda found: self.on_decision(
                found, arrived_at, requirements, attempts_left
            ),
        )
        self.placer.place(placement, self.world.now)

    def on_decision(self, found, arrived_at, requirements, attempts_left):
        queued_s = self.world.now - arrived_at
        if isinstance(found, Rejection):
            self.world.count["rejected"] += 1
            self.world.count["rejected_late"] += queued_s > self.world.load.objective_s
            return
        self.world.waits_s.append(queued_s)
        server = self.world.servers[found.id]
        count = self.world.count
        count["attempts"] += 1
        count["over_slots"] += server.busy >= self.world.load.slots
        count["other_zone"] += server.zone != self.zone
        self.report(found.id, None)
        started_at = self.world.now

        def on_end(observation):
            self.on_end(
                found.id,
                started_at,
                arrived_at,
                requirements,
                attempts_left,
                observation,
            )

        server.receive(on_end)

    def on_end(
        self, name, started_at, arrived_at, requirements, attempts_left, observation
    ):
        world = self.world
        now = world.now
        self.placer.release(name)
        self.placer.health.observe(name, observation, now)
        self.placer.record_outcome(name, observation, now)
        per_s = world.servers[name].rate_limit_per_s
        self.placer.rate_limits.on_response(name, per_s, started_at, now)
        self.report(name, observation)
        is_shed = observation is Observation.SHED
        if observation is Observation.SUCCESS:
            self.placer.record_service_time(SERVICE, now - started_at)
            self.placer.speeds.record(SERVICE, "", name, now - started_at)
            world.times_s.append(now - arrived_at)
            is_on_time = now - arrived_at <= world.load.objective_s
            world.count["on_time" if is_on_time else "late"] += 1
        elif is_shed and len(requirements.exclude) + 1 >= MAX_ATTEMPTS:
            world.count["given_up"] += 1
        elif is_shed or attempts_left > 1:
            exclude = requirements.exclude | {name}
            self.request(
                arrived_at,
                Requirements(SelectionMode.CAUTIOUS, exclude=exclude),
                attempts_left - (not is_shed),
            )
        else:
            world.count["failed"] += 1
        self.placer.dispatch_queued(now)

    def report(self, name, observation):
        count = self.placer.occupancy.own.get(name, 0)
        is_urgent = self.batch.add(InstanceReport(name, count, observation))
        if is_urgent or self.placer.rate_limits.is_limited(name, self.world.now):
            self.flush()
        elif not self.batch.is_due:
            self.batch.is_due = True
            self.world.at(self.world.now + REPORT_DELAY_S, self.flush)

    def flush(self):
        reports = self.batch.pop_all()
        names = {report.instance_id for report in reports}
        limits = self.placer.rate_limits.reports(self.world.now, names)
        when = self.world.now + IN_ZONE_DELAY_S
        for peer in self.zone_peers():
            if reports and not self.world.is_lost():
                self.world.at(when, peer.on_peer_report, self.name, reports, limits)

    def zone_peers(self):
        return [
            host
            for host in self.world.hosts
            if host.zone == self.zone and host is not self
        ]

    def send_heartbeat(self):
        """Send the part of a heartbeat that concerns rate limits."""
        now = self.world.now
        limits = self.placer.rate_limits.reports(now)
        for peer in self.zone_peers():
            if not self.world.is_lost():
                self.world.at(
                    now + IN_ZONE_DELAY_S, peer.on_peer_report, self.name, [], limits
                )
        self.world.at(now + HEARTBEAT_INTERVAL_S, self.send_heartbeat)

    def on_peer_report(self, name, reports, limits):
        now = self.world.now
        self.placer.rate_limits.on_reports(name, limits, now)
        for one in reports:
            self.placer.occupancy.set_peer_count(
                name, one.instance_id, one.in_flight, now
            )
            if one.observation is not None:
                self.placer.health.add_peer_report(
                    one.instance_id, one.observation, now
                )
                self.placer.record_outcome(one.instance_id, one.observation, now)
        self.placer.dispatch_queued(now)

    def report_zone(self):
        """Send the zone's report to all hosts of the other zones."""
        now = self.world.now
        summary = (
            self.placer.occupancy.own_zone_counts(),
            self.placer.unhealthy_percentages(now),
            self.placer.rate_limits.reports(now),
        )
        for host in self.world.hosts:
            if host.zone != self.zone and not self.world.is_lost():
                self.world.at(
                    now + self.world.load.zone_delay_s,
                    host.on_zone_report,
                    self.zone,
                    *summary,
                )
        self.world.at(now + ZONE_REPORT_INTERVAL_S, self.report_zone)

    def on_zone_report(self, zone, in_flight, unhealthy_percent, limits):
        self.placer.rate_limits.on_reports(None, limits, self.world.now)
        self.placer.apply_zone_report(
            zone, in_flight, unhealthy_percent, self.world.now
        )
        self.placer.dispatch_queued(self.world.now)

    def dispatch(self):
        self.placer.dispatch_queued(self.world.now)
        self.world.at(self.world.now + DISPATCH_INTERVAL_S, self.dispatch)


class World:
    """All hosts and instances of a replay.

    Attributes:
        host_class: class of its hosts.
    """

    host_class = Host

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.now = START
        self.count = Counter()
        # Seconds that placed requests waited for a slot.
        self.waits_s = []
        # Seconds from arrival to response.
        self.times_s = []
        self._order = itertools.count()
        self._events = []
        zones = self.zones = "abcdefgh"[: len(load.instances)]
        servers = [
            Server(self, zone, number, self.rng.random() < load.faulty_ratio)
            for zone, count in zip(zones, load.instances)
            for number in range(count)
        ]
        self.servers = {one.name: one for one in servers}
        if load.shedding_ratio:
            for one in servers[:: round(1 / load.shedding_ratio)]:
                one.is_shedding = True
        if load.slow_ratio:
            for one in servers[1 :: round(1 / load.slow_ratio)]:
                one.slowness = SLOW_FACTOR
        self.hosts = [
            self.host_class(self, zone, number, self._make_registry())
            for zone in zones
            for number in range(load.hosts)
        ]
        for zone, requests_per_s in zip(zones, load.requests_per_s):
            hosts = [host for host in self.hosts if host.zone == zone]
            self._plan_arrivals(hosts, requests_per_s)
            self.at(
                START + self.rng.uniform(0.0, ZONE_REPORT_INTERVAL_S),
                hosts[0].report_zone,
            )
        for host in self.hosts:
            self.at(START + self.rng.uniform(0.0, DISPATCH_INTERVAL_S), host.dispatch)
        if load.rate_limit_per_s is not None:
            self._set_rate_limits(servers)

    def _set_rate_limits(self, servers):
        load = self.load
        for one in servers[:: round(1 / load.limited_ratio)]:
            one.rate_limit_per_s = load.rate_limit_per_s
        for number, host in enumerate(self.hosts):
            offset_s = HEARTBEAT_INTERVAL_S * number / len(self.hosts)
            self.at(START + offset_s, host.send_heartbeat)

    def is_lost(self):
        """Return whether the next message between hosts is lost."""
        return bool(self.load.lost_ratio) and self.rng.random() < self.load.lost_ratio

    def _make_registry(self):
        address = Address("h", 1)
        slots = self.load.slots
        instances = [
            Instance(one.name, SERVICE, address, one.zone, slots, False, 0.0, 0)
            for one in self.servers.values()
        ]
        registry = InstanceRegistry()
        seen_at = StorePosition(1, 1)
        registry.apply(
            [InstanceChange(one.id, seen_at, one) for one in instances], seen_at
        )
        return registry

    def _plan_arrivals(self, hosts, requests_per_s):
        third = self.load.duration_s / 3
        for part in range(3):
            factor = self.load.peak_factor if part == 1 else 1.0
            for _ in range(round(requests_per_s * factor * third)):
                when = START + third * (part + self._share_of_third(hosts[0].zone))
                self.at(when, self._on_arrival, self.rng.choice(hosts), when)

    def _share_of_third(self, zone):
        """Return when in a third of the replay a request arrives, 0 to 1."""
        swing, third = self.load.swing, self.load.duration_s / 3
        phase = self.zones.index(zone) / len(self.zones)
        while swing:
            share = self.rng.random()
            turn = share * third / SWING_PERIOD_S + phase
            level = 1.0 + swing * math.sin(2.0 * math.pi * turn)
            if self.rng.random() * (1.0 + swing) < level:
                return share
        return self.rng.random()

    def _on_arrival(self, host, when):
        is_non_idempotent = self.rng.random() < self.load.non_idempotent_ratio
        requirements = Requirements(
            SelectionMode.CAUTIOUS if is_non_idempotent else SelectionMode.EXPLORATORY
        )
        self.count["requests"] += 1
        host.placer.balancing.record_request(SERVICE, not is_non_idempotent, when)
        host.request(when, requirements, 1 if is_non_idempotent else 2)

    def at(self, when, fn, *args):
        heapq.heappush(self._events, (when, next(self._order), fn, args))

    def run(self):
        """Run the replay and return the counts.

        `capacity` is how many requests the healthy instances could serve.
        """
        end = START + self.load.duration_s + self.load.abandon_after_s + 2.0
        while self._events and self._events[0][0] <= end:
            self.now, _, fn, args = heapq.heappop(self._events)
            fn(*args)
        unhealthy_s = sum(one.unhealthy_s for one in self.servers.values())
        healthy_s = len(self.servers) * self.load.duration_s - unhealthy_s
        self.count["capacity"] = round(
            healthy_s * self.load.slots / self.load.service_time_s
        )
        return self.count


def replay_zones(load, seed):
    """Replay a load and return the counts by name."""
    return World(load, seed).run()
