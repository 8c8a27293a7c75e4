"""Several zones of entry hosts before their instances, on a virtual clock.

The hosts run the real placer and exchange news and digests as the fleet does, with
their delays; instances work on as many requests as they have slots, queue the rest,
and some fail for seconds at a time.
"""

import heapq
import itertools
import random
from collections import Counter
from typing import NamedTuple

from dogwoodtack.fleet import InstanceReport
from dogwoodtack.fleet.fleet import DIGEST_S, NEWS_DELAY_S
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

START = 100.0
SERVICE = "s"
IN_ZONE_S = 0.0002
OTHER_ZONE_S = 0.0005
PUMP_S = 0.1
FAILURE_S = 0.002
FAILING_SHARE = 0.8
UNSAFE_SHARE = 0.67
SICK_SPAN_S = (2.0, 5.0)
SICK_EVERY_S = 9.0


class Load(NamedTuple):
    """What is replayed.

    Attributes:
        instances: how many instances each zone has.
        slots: of each instance.
        per_s: requests a second in each zone.
        work_s: mean work of a request.
        sickly: share of the instances that fail for seconds again and again.
        hosts: serving hosts of each zone.
        objective_s: time in which an answer is worth most.
        give_up_s: time after which an answer is worth nothing.
        length_s: how long requests arrive.
        peak: factor on `per_s` in the middle third.
    """

    instances: tuple[int, ...] = (9, 7, 6)
    slots: int = 2
    per_s: tuple[float, ...] = (20.0, 20.0, 20.0)
    work_s: float = 0.26
    sickly: float = 0.3
    hosts: int = 3
    objective_s: float = 0.8
    give_up_s: float = 2.5
    length_s: float = 30.0
    peak: float = 1.0


class Server:
    """One instance: some slots, a queue, and times in which it fails."""

    def __init__(self, world, zone, number, is_sickly):
        self.world = world
        self.zone = zone
        self.name = f"i-{zone}{number}"
        self.queue = []
        self.busy = 0
        self.is_sick = False
        self.sick_s = 0.0
        if is_sickly:
            world.at(START + world.rng.uniform(0.0, SICK_EVERY_S), self.fall)

    def fall(self):
        self.is_sick = True
        span_s = self.world.rng.uniform(*SICK_SPAN_S)
        left_s = START + self.world.load.length_s - self.world.now
        self.sick_s += max(0.0, min(span_s, left_s))
        self.world.at(self.world.now + span_s, self.rise)

    def rise(self):
        self.is_sick = False
        pause_s = self.world.rng.uniform(0.5, 1.5) * SICK_EVERY_S / 2
        self.world.at(self.world.now + pause_s, self.fall)

    def take(self, on_end):
        if self.busy >= self.world.load.slots:
            self.queue.append(on_end)
            return
        self.busy += 1
        self.world.at(self.world.now, self.run, on_end)

    def run(self, on_end):
        rng = self.world.rng
        is_failing = self.is_sick and rng.random() < FAILING_SHARE
        work_s = self.world.load.work_s * rng.uniform(0.4, 1.6)
        self.world.at(
            self.world.now + (FAILURE_S if is_failing else work_s),
            self.end,
            on_end,
            is_failing,
        )

    def end(self, on_end, is_failing):
        self.busy -= 1
        if self.queue:
            self.take(self.queue.pop(0))
        on_end(is_failing)


class Host:
    """One serving entry host: the real placer, and its share of the news."""

    def __init__(self, world, zone, number, book):
        self.world = world
        self.zone = zone
        self.name = f"h-{zone}{number}"
        self.placer = Placer(book, zone, world.rng, RetryRules())
        self.placer.competing_hosts = world.load.hosts
        self.placer.retry_budget_hosts = world.load.hosts * len(world.load.instances)
        self.batch = ReportBatch()

    def request(self, arrived, want, tries):
        load = self.world.load
        ask = PlacementRequest(
            service=SERVICE,
            requirements=want,
            priority=1 if want.mode is SelectionMode.CAUTIOUS else 2,
            start_by=self.placer.start_by(SERVICE, arrived, load.objective_s),
            abandon_at=arrived + load.give_up_s - load.work_s / 2,
            arrived_at=arrived,
            on_decision=lambda found: self.on_place(found, arrived, want, tries),
        )
        self.placer.place(ask, self.world.now)

    def on_place(self, found, arrived, want, tries):
        held_s = self.world.now - arrived
        if isinstance(found, Rejection):
            self.world.count["refused"] += 1
            self.world.count["refused_late"] += held_s > self.world.load.objective_s
            return
        server = self.world.servers[found.id]
        count = self.world.count
        count["starts"] += 1
        count["over_slots"] += server.busy >= self.world.load.slots
        count["other_zone"] += server.zone != self.zone
        self.tell(found.id, None)
        begun = self.world.now

        def on_end(is_failing):
            self.on_end(found.id, begun, arrived, want, tries, is_failing)

        server.take(on_end)

    def on_end(self, name, begun, arrived, want, tries, is_failing):
        world = self.world
        now = world.now
        sign = Observation.ERROR if is_failing else Observation.SUCCESS
        self.placer.release(name)
        self.placer.health.observe(name, sign, now)
        self.tell(name, sign)
        if not is_failing:
            self.placer.record_service_time(SERVICE, now - begun)
            is_on_time = now - arrived <= world.load.objective_s
            world.count["on_time" if is_on_time else "late"] += 1
        elif tries > 1:
            exclude = want.exclude | {name}
            self.request(
                arrived,
                Requirements(SelectionMode.CAUTIOUS, exclude=exclude),
                tries - 1,
            )
        else:
            world.count["failed"] += 1
        self.placer.dispatch_queued(now)

    def tell(self, name, sign):
        count = self.placer.occupancy.own.get(name, 0)
        if self.batch.add(InstanceReport(name, count, sign)):
            self.flush()
        elif not self.batch.is_due:
            self.batch.is_due = True
            self.world.at(self.world.now + NEWS_DELAY_S, self.flush)

    def flush(self):
        news = self.batch.take()
        when = self.world.now + IN_ZONE_S
        for peer in self.world.hosts:
            if peer.zone == self.zone and peer is not self and news:
                self.world.at(when, peer.hear, self.name, news)

    def hear(self, name, sightings):
        now = self.world.now
        for one in sightings:
            self.placer.occupancy.set_peer_count(
                name, one.instance_id, one.in_flight, now
            )
            if one.sign is not None:
                self.placer.health.add_peer_report(one.instance_id, one.sign, now)
        self.placer.dispatch_queued(now)

    def digest(self):
        """Speak for the zone to all hosts of the others."""
        now = self.world.now
        facts = (
            self.placer.occupancy.own_zone_counts(),
            self.placer.unhealthy_percentages(now),
        )
        for host in self.world.hosts:
            if host.zone != self.zone:
                self.world.at(now + OTHER_ZONE_S, host.hear_zone, self.zone, *facts)
        self.world.at(now + DIGEST_S, self.digest)

    def hear_zone(self, zone, in_flight, sick):
        self.placer.apply_zone_report(zone, in_flight, sick, self.world.now)
        self.placer.dispatch_queued(self.world.now)

    def pump(self):
        self.placer.dispatch_queued(self.world.now)
        self.world.at(self.world.now + PUMP_S, self.pump)


class World:
    """All hosts and instances of a replay."""

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.now = START
        self.count = Counter()
        self._order = itertools.count()
        self._events = []
        zones = "abcdefgh"[: len(load.instances)]
        servers = [
            Server(self, zone, number, self.rng.random() < load.sickly)
            for zone, count in zip(zones, load.instances)
            for number in range(count)
        ]
        self.servers = {one.name: one for one in servers}
        self.hosts = [
            Host(self, zone, number, self._book())
            for zone in zones
            for number in range(load.hosts)
        ]
        for zone, per_s in zip(zones, load.per_s):
            hosts = [host for host in self.hosts if host.zone == zone]
            self._plan_arrivals(hosts, per_s)
            self.at(START + self.rng.uniform(0.0, DIGEST_S), hosts[0].digest)
        for host in self.hosts:
            self.at(START + self.rng.uniform(0.0, PUMP_S), host.pump)

    def _book(self):
        address = Address("h", 1)
        slots = self.load.slots
        listed = [
            Instance(one.name, SERVICE, address, one.zone, slots, False, 0.0, 0)
            for one in self.servers.values()
        ]
        book = InstanceRegistry()
        book.apply([InstanceChange(one.id, 1, one) for one in listed], 1)
        return book

    def _plan_arrivals(self, hosts, per_s):
        third = self.load.length_s / 3
        for part in range(3):
            factor = self.load.peak if part == 1 else 1.0
            for _ in range(round(per_s * factor * third)):
                when = START + third * (part + self.rng.random())
                self.at(when, self._arrive, self.rng.choice(hosts), when)

    def _arrive(self, host, when):
        is_unsafe = self.rng.random() < UNSAFE_SHARE
        want = Requirements(
            SelectionMode.CAUTIOUS if is_unsafe else SelectionMode.EXPLORATORY
        )
        self.count["asked"] += 1
        host.request(when, want, 1 if is_unsafe else 2)

    def at(self, when, fn, *args):
        heapq.heappush(self._events, (when, next(self._order), fn, args))

    def play(self):
        """Play to the end and return the counts.

        `room` is how many requests the sound instances had room for.
        """
        end = START + self.load.length_s + self.load.give_up_s + 2.0
        while self._events and self._events[0][0] <= end:
            self.now, _, fn, args = heapq.heappop(self._events)
            fn(*args)
        sick_s = sum(one.sick_s for one in self.servers.values())
        sound_s = len(self.servers) * self.load.length_s - sick_s
        self.count["room"] = round(sound_s * self.load.slots / self.load.work_s)
        return self.count


def replay_zones(load, seed):
    """Play a load and return the counts by name."""
    return World(load, seed).play()
