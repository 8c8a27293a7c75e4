"""Overload in virtual time: `python -m lab.overload`.

The daemon's own limits run on 36 virtual entry hosts beside a plain round-robin
with naive retries, on the same arrivals, and one table is printed.
"""

import random
import statistics
from typing import NamedTuple

from absl import app, flags

from dogwoodtack.catalog import Catalog

from .overload_simulation import Backend, Call, FleetHost, NaiveHost, Site
from .virtual import VirtualLoop

__all__ = ["SCENARIOS", "SITES", "Figures", "Scenario", "measure"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("seeds", 5, "How many seeds.")
flags.DEFINE_integer("hosts", 0, "Entry hosts that serve a service; 0 for 36.")
flags.DEFINE_float("virtual_s", 12.0, "Virtual seconds that are counted.")

WARM_S = 3.0
TAIL_S = 3.0
DOWN_S = 1.0
COLD_S = 8.0
STORM_S = 2.0
CALLER_TRIES = 4
SERVICE = "jobtrack"
GREEDY = "greedy"
MODEST_CUSTOMERS = 4

SITES = (
    Site("jobtrack", 36, 20, 2, 0.020, 1.0),
    Site("certdocs", 36, 6, 2, 0.020, 1.0),
    Site("enrol-core", 36, 25, 6, 0.040, 1.0),
)


class Scenario(NamedTuple):
    """What happens to a service.

    Attributes:
        load: offered requests as a share of capacity.
        restarted: share of the instances that restart at the start of counting.
        caller_tries: how often a caller asks in all while it gets no good answer.
        greedy: share of the requests that come from one customer.
    """

    name: str
    load: float
    restarted: float = 0.0
    caller_tries: int = 1
    greedy: float = 0.0


SCENARIOS = (
    Scenario("normal load 0.6x", 0.6),
    Scenario("overload 1.5x", 1.5),
    Scenario("overload 3x", 3.0),
    Scenario("retry storm", 0.8, restarted=0.5, caller_tries=CALLER_TRIES),
    Scenario("half start cold", 0.6, restarted=0.5),
    Scenario("greedy customer", 2.0, greedy=0.8),
)


class Figures(NamedTuple):
    """What one run came to.

    Attributes:
        goodput: good answers against the capacity, or the demand if smaller.
        p99_ms: latency that 99 of 100 good answers kept.
        refusal_p99_ms: time after which 99 of 100 refused callers knew.
        amplification: attempts that reached a back end, for each request since
            the start.
        modest: the worst served modest customer's share of good answers.
    """

    goodput: float
    p99_ms: float
    refusal_p99_ms: float
    amplification: float
    modest: float


class Run:
    """One site, scenario, policy and seed."""

    def __init__(self, site: Site, scenario: Scenario, naive: bool, seed: int) -> None:
        self._site = site
        self._scenario = scenario
        self._loop = VirtualLoop(0.0)
        self._rng = random.Random(seed)
        self._counted_to = WARM_S + FLAGS.virtual_s
        work_rng = random.Random(seed + 1000)
        self._backends = {
            f"i-{number}": Backend(self._loop, site, work_rng)
            for number in range(site.instances)
        }
        self._hosts = [self._host(naive, seed, n) for n in range(site.hosts)]
        self._good: list[float] = []
        self._bad: list[float] = []
        self._requests = 0
        self._attempts = 0
        self._asked: dict[str, int] = {}
        self._served: dict[str, int] = {}

    def _host(self, naive: bool, seed: int, number: int) -> FleetHost | NaiveHost:
        rng = random.Random(seed * 1000 + number)
        if naive:
            return NaiveHost(self._loop, self._backends, rng)
        catalog = Catalog()
        catalog.put(SERVICE, 1, self._service_value())
        return FleetHost(self._loop, catalog, self._backends, rng)

    def _service_value(self) -> dict[str, object]:
        instances = [
            {"name": name, "address": "127.0.0.1:1", "slots": self._site.slots}
            for name in self._backends
        ]
        route = {"host": "x", "prefix": "/"}
        return {"routes": [route], "instances": instances}

    def run(self) -> Figures:
        """Run to the end and return the figures."""
        self._arrive()
        self._loop.call_later(WARM_S, self._restart_some)
        self._loop.run_to(self._counted_to + TAIL_S)
        demand = min(self._site.capacity, self._scenario.load * self._site.capacity)
        return Figures(
            goodput=len(self._good) / FLAGS.virtual_s / demand,
            p99_ms=percentile_99(self._good) * 1000,
            refusal_p99_ms=percentile_99(self._bad) * 1000,
            amplification=self._attempts / self._requests,
            modest=self._worst_modest(),
        )

    def _worst_modest(self) -> float:
        names = [name for name in self._asked if name != GREEDY]
        return min(self._served.get(name, 0) / self._asked[name] for name in names)

    def _arrive(self) -> None:
        rate = self._scenario.load * self._site.capacity
        self._loop.call_later(self._rng.expovariate(rate), self._arrive)
        customer = GREEDY
        if self._rng.random() >= self._scenario.greedy:
            customer = f"modest-{self._rng.randrange(MODEST_CUSTOMERS)}"
        self._ask(customer, 1)

    def _ask(self, customer: str, number: int) -> None:
        now = self._loop.clock.now
        is_counted = WARM_S <= now < self._counted_to

        def on_done(call: Call) -> None:
            self._requests += 1
            self._attempts += call.reached
            if is_counted:
                self._count(call, self._loop.clock.now - now)
            if not call.good and number < self._scenario.caller_tries:
                self._ask(customer, number + 1)

        call = Call(customer, now + self._site.deadline_s, on_done)
        self._rng.choice(self._hosts).handle(call)

    def _count(self, call: Call, took_s: float) -> None:
        self._asked[call.customer] = self._asked.get(call.customer, 0) + 1
        (self._good if call.good else self._bad).append(took_s)
        if call.good:
            self._served[call.customer] = self._served.get(call.customer, 0) + 1

    def _restart_some(self) -> None:
        count = int(self._scenario.restarted * self._site.instances)
        for backend in list(self._backends.values())[:count]:
            backend.restart(DOWN_S, COLD_S)


def percentile_99(values: list[float]) -> float:
    """Return the 99th percentile, 0 where there is none."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * 0.99)] if ordered else 0.0


def measure(site: Site, scenario: Scenario, naive: bool, seeds: range) -> Figures:
    """Return each figure's median over seeds, the worst one for amplification."""
    runs = [Run(site, scenario, naive, seed).run() for seed in seeds]
    medians = [statistics.median(column) for column in zip(*runs)]
    return Figures(*medians)._replace(
        amplification=max(one.amplification for one in runs)
    )


def main(argv: list[str]) -> None:
    """Print the table."""
    print("| site | scenario | policy | goodput | p99 ms | refusal p99 ms ", end="")
    print("| attempts/request | modest customers served |")
    print("|---|---|---|---|---|---|---|---|")
    for known in SITES:
        site = known._replace(hosts=FLAGS.hosts or known.hosts)
        for scenario in SCENARIOS:
            for naive in (False, True):
                one = measure(site, scenario, naive, range(FLAGS.seeds))
                policy = "round-robin" if naive else "dogwoodtack"
                print(
                    f"| {site.name} | {scenario.name} | {policy} "
                    f"| {one.goodput:.2f} | {one.p99_ms:.0f} "
                    f"| {one.refusal_p99_ms:.0f} | {one.amplification:.2f} "
                    f"| {one.modest:.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    app.run(main)
