"""Replay of many hosts that choose instances at once, from reports of some age.

Each host knows its own requests in flight, and those of the others as of the last
report, which all hosts get at the same moment.  Full instances refuse requests, which
then go elsewhere.
"""

import heapq
import itertools
import random
from collections import Counter
from typing import NamedTuple

SERVICE_TIME_S = 0.27
REFUSAL_S = 0.002
NETWORK_S = 0.001
RETRY_S = 0.02
MAX_ATTEMPTS = 4
DURATION_S = 6.0
WARMUP_S = 1.5


class Setup(NamedTuple):
    """A replay's load.

    Attributes:
        choosers: hosts that choose.
        report_s: seconds between two reports.
        per_s: requests per second of all hosts.
        instances: number of instances.
        slots: slots of each instance.
    """

    choosers: int
    report_s: float
    per_s: float
    instances: int = 58
    slots: int = 4


class View(NamedTuple):
    """What a host knows when it chooses.

    Attributes:
        host: number of the host.
        own: its own requests in flight, by instance.
        reported: requests in flight of the others as of the last report.
        excluded: instances that have refused this request.
        setup: the replay's load.
        rng: random numbers.
    """

    host: int
    own: Counter
    reported: list[int]
    excluded: frozenset
    setup: Setup
    rng: random.Random

    def load(self, number):
        """Return the known load of an instance."""
        return self.reported[number] + self.own[number]

    def free(self):
        """Return the instances that may have a free slot."""
        return [
            number
            for number in range(self.setup.instances)
            if number not in self.excluded and self.load(number) < self.setup.slots
        ]


class Figures(NamedTuple):
    """Results of a replay.

    Attributes:
        busiest_ratio: mean of the busiest instance's load divided by the mean load.
        refused_share: refusals by full instances, divided by all arrivals there.
        given_up_share: requests that were refused four times, of all requests.
        wait_p99_ms: 99% of the others are accepted within this time.
    """

    busiest_ratio: float
    refused_share: float
    given_up_share: float
    wait_p99_ms: float


class Replay:
    """A replay of one way to choose.

    Args:
        setup: the load.
        choose: returns an instance's number for a View, or None to wait.
        seed: of all random numbers.
    """

    def __init__(self, setup, choose, seed):
        self.setup = setup
        self.choose = choose
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.busy = [0] * setup.instances
        self.own = [Counter() for _ in range(setup.choosers)]
        self.sent = [0] * setup.instances
        # All requests in flight, and each host's own, as of the last report.
        self.last_sent = list(self.sent)
        self.last_own = [{} for _ in range(setup.choosers)]
        self.arrivals = self.refused = self.given_up = 0
        self.waits = []
        self.ratios = []

    def at(self, delay_s, fn, *args):
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), fn, args))

    def report(self):
        self.last_sent = list(self.sent)
        self.last_own = [dict(own) for own in self.own]
        self.at(self.setup.report_s, self.report)

    def sample(self):
        if self.now >= WARMUP_S and any(self.busy):
            self.ratios.append(max(self.busy) * len(self.busy) / sum(self.busy))
        self.at(0.05, self.sample)

    def _count(self, host, number, change):
        self.own[host][number] += change
        self.sent[number] += change

    def arrive(self):
        self.at(self.rng.expovariate(self.setup.per_s), self.arrive)
        host = self.rng.randrange(self.setup.choosers)
        self.place(host, self.now, frozenset())

    def place(self, host, since, excluded):
        if len(excluded) >= MAX_ATTEMPTS:
            self.given_up += 1
            return
        own = self.last_own[host]
        reported = [
            sent - own.get(number, 0) for number, sent in enumerate(self.last_sent)
        ]
        view = View(host, self.own[host], reported, excluded, self.setup, self.rng)
        number = self.choose(view)
        if number is None:
            self.at(
                RETRY_S * self.rng.uniform(0.5, 1.5), self.place, host, since, excluded
            )
            return
        self._count(host, number, 1)
        self.at(NETWORK_S, self.receive, host, since, excluded, number)

    def receive(self, host, since, excluded, number):
        self.arrivals += 1
        if self.busy[number] >= self.setup.slots:
            self.refused += 1
            self.at(REFUSAL_S, self.end_refused, host, since, excluded, number)
            return
        self.busy[number] += 1
        self.waits.append(self.now - since)
        self.at(SERVICE_TIME_S * self.rng.uniform(0.4, 1.6), self.end, host, number)

    def end_refused(self, host, since, excluded, number):
        self._count(host, number, -1)
        self.place(host, since, frozenset({*excluded, number}))

    def end(self, host, number):
        self.busy[number] -= 1
        self._count(host, number, -1)

    def run(self):
        """Run the replay and return its figures."""
        self.at(0.0, self.arrive)
        self.at(0.0, self.report)
        self.at(0.0, self.sample)
        while self.events[0][0] < DURATION_S:
            self.now, _, fn, args = heapq.heappop(self.events)
            fn(*args)
        self.waits.sort()
        return Figures(
            sum(self.ratios) / len(self.ratios),
            self.refused / max(1, self.arrivals),
            self.given_up / (self.given_up + len(self.waits)),
            self.waits[int(0.99 * len(self.waits))] * 1000,
        )


def packed(view):
    """Choose the fullest instance with a free slot, as the packed mode does."""
    free = view.free()
    return max(
        free,
        key=lambda one: 0.02 * view.load(one) / view.setup.slots
        - 0.01 * view.rng.random(),
        default=None,
    )


def least(view):
    """Choose the instance with the least known load."""
    return min(
        view.free(), key=lambda one: (view.load(one), view.rng.random()), default=None
    )


def least_reported(view):
    """Choose by the reports alone, without the own sends since then."""
    free = view.free()
    return min(
        free, key=lambda one: (view.reported[one], view.rng.random()), default=None
    )


def of_random(count):
    """Return a way that chooses the least loaded of some random instances."""

    def choose(view):
        free = view.free()
        some = view.rng.sample(free, min(count, len(free)))
        return min(some, key=view.load, default=None)

    return choose


def in_host_order(view):
    """Choose the least loaded, in an order that differs by host where several are."""
    return min(
        view.free(),
        key=lambda one: (view.load(one), hash((view.host, one)) % 1009),
        default=None,
    )


def by_share(view):
    """Choose by the own requests alone, each host using its part of the slots."""
    numbers = [one for one in range(view.setup.instances) if one not in view.excluded]
    return min(numbers, key=lambda one: (view.own[one], view.rng.random()))


def by_free_slots(view):
    """Choose at random, in proportion to the free slots."""
    free = view.free()
    if not free:
        return None
    weights = [view.setup.slots - view.load(one) for one in free]
    return view.rng.choices(free, weights)[0]


def with_reserve(choose):
    """Return a way that waits rather than use the last free slot of an instance."""

    def choose_with_reserve(view):
        setup = view.setup._replace(slots=view.setup.slots - 1)
        return choose(view._replace(setup=setup))

    return choose_with_reserve


WAYS = {
    "fullest first (packed)": packed,
    "least loaded": least,
    "least loaded, reports only": least_reported,
    "two random": of_random(2),
    "three random": of_random(3),
    "order by host": in_host_order,
    "shares of slots": by_share,
    "by free slots": by_free_slots,
    "two random, one slot kept": with_reserve(of_random(2)),
    "least loaded, one slot kept": with_reserve(least),
}
