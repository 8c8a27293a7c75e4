"""Replay of one organisation's requests at the hosts of a fleet, without a network.

The hosts run the real rules of limits and silence.  Messages have the delays of the
fleet: 10 ms in a zone, 250 ms between zones.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from dogwoodtack.fairness import UsageLedger
from dogwoodtack.fleet.reach import FleetReach
from dogwoodtack.fleet.usage_exchange import UsageExchange
from dogwoodtack.quotas import Quotas
from dogwoodtack.routing import Organisation

ZONES = "abc"
SERVING = 3
FRONT = 6
REPORT_DELAY_S = 0.01
ZONE_INTERVAL_S = 0.25
TAKE_OVER_S = 1.3
USUAL_RATIO = 1 / 1.6
WINDOW_S = 5.0
START = 1000.0
WARM_UP_S = 5.0


class Load(NamedTuple):
    """A load to replay.

    Attributes:
        rate_per_s: the organisation's limit.
        burst: its burst.
        surge: factor on the usual demand from `surge_at_s` to `surge_end_s`.
        zone_weights: shares of the zones in the demand, by period of 2 s.
        hosts: hosts of each zone.
        cut_ratio: share of the hosts that are cut off from all others at `cut_at_s`.
        killed: hosts of each zone that are killed at `cut_at_s`, in order of rank.
        restart_at_s: when all hosts restart; None for never.
        new_rate_per_s: limit and burst from `cut_at_s` on; None if they stay.
        duration_s: how long requests arrive.
    """

    rate_per_s: float
    burst: float
    surge: float = 1.0
    surge_at_s: float = 3.0
    surge_end_s: float = 9.0
    zone_weights: tuple[tuple[float, ...], ...] = ((1.0, 1.0, 1.0),)
    hosts: int = 8
    cut_ratio: float = 0.0
    cut_at_s: float = 4.0
    killed: int = 0
    restart_at_s: float | None = None
    new_rate_per_s: float | None = None
    duration_s: float = 12.0


class Host:
    def __init__(self, world, zone, rank):
        self.world, self.zone, self.rank = world, zone, rank
        self.name = f"h-{zone}{rank}"
        self.is_cut = self.is_dead = self.is_due = False
        self.runs = itertools.count()
        self.begin()

    def begin(self):
        world = self.world
        self.run = next(self.runs)
        self.quotas = world.make_quotas(self)
        self.reach = FleetReach(self.zone)
        run = f"{self.name}/{self.run}"
        self.usage = UsageExchange(self, self.reach, self.quotas, UsageLedger(), run)
        self.interval_s = 0.4 if self.rank < FRONT else 2.0
        for zone, rank in itertools.product(ZONES, range(world.load.hosts)):
            if (zone, rank) != (self.zone, self.rank):
                self.reach.add_record(f"h-{zone}{rank}", zone)
        self.quotas.set_reach(self.reach.share(world.now), world.now)
        self.quotas.set_limits([world.organisation], world.now)
        world.at(world.now + world.rng.uniform(0, 0.1), self.heartbeat, self.run)
        world.at(world.now, self.update_reach, self.run)

    def heartbeat(self, run):
        world = self.world
        if run != self.run or self.is_dead:
            return
        world.at(world.now + self.interval_s, self.heartbeat, run)
        usage = self.usage.report(world.now)
        for host in world.zones[self.zone]:
            if world.hears(host, self):
                host.reach.on_heartbeat(self.name, self.interval_s, True, world.now)
                host.usage.on_host_report(self.name, usage, True, world.now)

    def report(self):
        world = self.world
        self.is_due = False
        usage = self.usage.changes(world.now)
        for host in world.zones[self.zone][:SERVING]:
            if world.hears(host, self):
                host.reach.on_report(self.name, world.now)
                host.usage.on_host_report(self.name, usage, False, world.now)

    def report_zone(self):
        world = self.world
        usage = self.usage.zone_report(world.now)
        counts = self.reach.local_counts(world.now)
        for host in world.hosts:
            if host.zone != self.zone and world.hears(host, self):
                host.reach.on_zone_report(self.zone, counts, world.now)
                host.usage.on_zone_report(self.zone, usage, counts, world.now)

    def update_reach(self, run):
        if run == self.run:
            self.quotas.set_reach(self.reach.share(self.world.now), self.world.now)
            self.world.at(self.world.now + 0.1, self.update_reach, run)

    def request(self):
        world = self.world
        retry_after_s = self.quotas.try_admit("org", world.now)
        if retry_after_s is not None:
            world.refused.append(world.now)
            return
        world.admitted.append(world.now)
        if not self.is_due:
            self.is_due = True
            world.at(world.now + REPORT_DELAY_S, self.report)


class World:
    """The hosts and the callers of a replay."""

    def __init__(self, load, seed, make_quotas=None):
        self.load = load
        self.rng = random.Random(seed)
        self.make_quotas = make_quotas or (lambda host: Quotas(self.rng))
        self.now = START
        self.events, self.order = [], itertools.count()
        self.admitted, self.refused, self.offered = [], [], []
        self.organisation = Organisation("org", (), 1, load.rate_per_s, load.burst)
        self.zones = {
            zone: [Host(self, zone, rank) for rank in range(load.hosts)]
            for zone in ZONES
        }
        self.hosts = [host for zone in self.zones.values() for host in zone]
        for zone in ZONES:
            self.at(START + self.rng.uniform(0, ZONE_INTERVAL_S), self.gateway, zone)
        self.begin_at = START + WARM_UP_S
        self.cut_at = self.begin_at + load.cut_at_s
        self.at(self.cut_at, self.disturb)
        if load.restart_at_s is not None:
            self.at(self.begin_at + load.restart_at_s, self.restart)
        self.at(START, self.arrive)

    def at(self, when, fn, *args):
        heapq.heappush(self.events, (when, next(self.order), fn, args))

    def hears(self, host, sender):
        ended = host.is_cut or sender.is_cut or host.is_dead or sender.is_dead
        return host is not sender and not ended

    def gateway(self, zone):
        self.at(self.now + ZONE_INTERVAL_S, self.gateway, zone)
        is_known = self.now > self.cut_at + TAKE_OVER_S
        for host in self.zones[zone]:
            if not (is_known and (host.is_cut or host.is_dead)):
                if not (host.is_cut or host.is_dead):
                    host.report_zone()
                return

    def disturb(self):
        load = self.load
        cut = self.rng.sample(self.hosts, round(load.cut_ratio * len(self.hosts)))
        for host in cut:
            host.is_cut = True
        for zone in self.zones.values():
            for host in zone[: load.killed]:
                host.is_dead = True
        if load.new_rate_per_s is not None:
            rate = load.new_rate_per_s
            self.organisation = Organisation("org", (), 1, rate, rate)
            for host in self.hosts:
                self.at(
                    self.now + self.rng.uniform(0, 0.3),
                    host.quotas.set_limits,
                    [self.organisation],
                    self.now,
                )

    def restart(self):
        for host in self.hosts:
            host.begin()

    def arrive(self):
        load, since = self.load, self.now - self.begin_at
        is_surge = load.surge_at_s <= since < load.surge_end_s
        demand = load.rate_per_s * USUAL_RATIO * (load.surge if is_surge else 1.0)
        self.at(self.now + self.rng.expovariate(demand), self.arrive)
        host = self.choose_host(since)
        if host is not None:
            self.offered.append(self.now)
            host.request()

    def choose_host(self, since):
        """Return where a caller connects; a host that was cut off names itself."""
        weights = self.load.zone_weights[int(since / 2) % len(self.load.zone_weights)]
        hosts = self.zones[self.rng.choices(ZONES, weights)[0]]
        is_noticed = self.now > self.cut_at + 1.0
        if is_noticed and self.rng.random() < self.load.cut_ratio:
            return self.rng.choice([one for one in self.hosts if one.is_cut])
        serving = hosts[:SERVING]
        if is_noticed:
            live = [one for one in hosts if not (one.is_cut or one.is_dead)]
            serving = live[:SERVING] or hosts[:SERVING]
        host = self.rng.choice(serving)
        return None if host.is_dead else host

    def run(self):
        end = self.begin_at + self.load.duration_s
        while self.events[0][0] <= end:
            self.now, _, fn, args = heapq.heappop(self.events)
            fn(*args)
        return self


def most_in_window(times, since=0.0):
    """Return the most of the sorted times that lie within a window."""
    times = [when for when in times if when >= since]
    first = most = 0
    for index, when in enumerate(times):
        while times[first] <= when - WINDOW_S:
            first += 1
        most = max(most, index - first + 1)
    return most


def bound(rate_per_s, burst):
    """Return how many requests may run in a window."""
    return (rate_per_s * WINDOW_S + burst) * 1.1 + 20.0
