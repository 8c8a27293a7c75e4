"""Simulate overload in virtual time: `python -m lab.overload`.

Prints one table that compares the daemon's limits on 36 virtual entry hosts with plain
round robin and naive retries, on the same arrivals.
"""

import random
import statistics
from typing import NamedTuple

from absl import app, flags

from dogwoodtack.catalog import Catalog

from .overload_simulation import Backend, Call, FleetHost, NaiveHost, Site
from .virtual import VirtualLoop

__all__ = ["SCENARIOS", "SITES", "OverloadStats", "Scenario", "measure"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("seeds", 5, "Number of seeds.")
flags.DEFINE_integer("hosts", 0, "Entry hosts assigned to a service; 0 for 36.")
flags.DEFINE_float("virtual_s", 12.0, "Virtual seconds to measure.")

WARM_UP_S = 3.0
TAIL_S = 3.0
RESTART_DOWN_S = 1.0
COLD_START_S = 8.0
CALLER_ATTEMPTS = 4
SERVICE = "jobtrack"
GREEDY_CUSTOMER = "greedy"
OTHER_CUSTOMERS = 4

SITES = (
    Site("jobtrack", 36, 20, 2, 0.020, 1.0),
    Site("certdocs", 36, 6, 2, 0.020, 1.0),
    Site("enrol-core", 36, 25, 6, 0.040, 1.0),
)


class Scenario(NamedTuple):
    """Load and faults of one simulated run.

    Attributes:
        load: offered requests as a share of capacity.
        restarted_share: share of the instances that restart when measuring starts.
        caller_attempts: maximum attempts of a caller until one succeeds.
        greedy_share: share of the requests that come from one customer.
    """

    name: str
    load: float
    restarted_share: float = 0.0
    caller_attempts: int = 1
    greedy_share: float = 0.0


SCENARIOS = (
    Scenario("normal load 0.6x", 0.6),
    Scenario("overload 1.5x", 1.5),
    Scenario("overload 3x", 3.0),
    Scenario("retry storm", 0.8, restarted_share=0.5, caller_attempts=CALLER_ATTEMPTS),
    Scenario("half start cold", 0.6, restarted_share=0.5),
    Scenario("greedy customer", 2.0, greedy_share=0.8),
)


class OverloadStats(NamedTuple):
    """Results of one run.

    Attributes:
        goodput: successful responses relative to the capacity, or to the demand if
            that is smaller.
        p99_ms: 99th percentile of the latency of successful responses.
        rejection_p99_ms: 99th percentile of the time until a failed request was
            answered.
        amplification: attempts that reached a back end per request, since the start
            of the run.
        min_customer_success: lowest success ratio of any customer but the greedy one.
    """

    goodput: float
    p99_ms: float
    rejection_p99_ms: float
    amplification: float
    min_customer_success: float


class Simulation:
    """One site, scenario, policy and seed."""

    def __init__(self, site: Site, scenario: Scenario, naive: bool, seed: int) -> None:
        self._site = site
        self._scenario = scenario
        self._loop = VirtualLoop(0.0)
        self._rng = random.Random(seed)
        self._count_until = WARM_UP_S + FLAGS.virtual_s
        service_time_rng = random.Random(seed + 1000)
        self._backends = {
            f"i-{number}": Backend(self._loop, site, service_time_rng)
            for number in range(site.instances)
        }
        self._hosts = [self._make_host(naive, seed, n) for n in range(site.hosts)]
        self._success_latencies_s: list[float] = []
        self._failure_latencies_s: list[float] = []
        self._request_count = 0
        self._attempt_count = 0
        self._requests_by_customer: dict[str, int] = {}
        self._successes_by_customer: dict[str, int] = {}

    def _make_host(self, naive: bool, seed: int, number: int) -> FleetHost | NaiveHost:
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

    def run(self) -> OverloadStats:
        """Run the simulation and return its results."""
        self._arrive()
        self._loop.call_later(WARM_UP_S, self._restart_instances)
        self._loop.run_to(self._count_until + TAIL_S)
        demand = min(self._site.capacity, self._scenario.load * self._site.capacity)
        return OverloadStats(
            goodput=len(self._success_latencies_s) / FLAGS.virtual_s / demand,
            p99_ms=percentile_99(self._success_latencies_s) * 1000,
            rejection_p99_ms=percentile_99(self._failure_latencies_s) * 1000,
            amplification=self._attempt_count / self._request_count,
            min_customer_success=self._min_customer_success(),
        )

    def _min_customer_success(self) -> float:
        names = [name for name in self._requests_by_customer if name != GREEDY_CUSTOMER]
        return min(
            self._successes_by_customer.get(name, 0) / self._requests_by_customer[name]
            for name in names
        )

    def _arrive(self) -> None:
        rate = self._scenario.load * self._site.capacity
        self._loop.call_later(self._rng.expovariate(rate), self._arrive)
        customer = GREEDY_CUSTOMER
        if self._rng.random() >= self._scenario.greedy_share:
            customer = f"modest-{self._rng.randrange(OTHER_CUSTOMERS)}"
        self._send_request(customer, 1)

    def _send_request(self, customer: str, number: int) -> None:
        now = self._loop.clock.now
        is_counted = WARM_UP_S <= now < self._count_until

        def on_done(call: Call) -> None:
            self._request_count += 1
            self._attempt_count += call.reached_count
            if is_counted:
                self._count(call, self._loop.clock.now - now)
            if not call.is_successful and number < self._scenario.caller_attempts:
                self._send_request(customer, number + 1)

        call = Call(customer, now + self._site.deadline_s, on_done)
        self._rng.choice(self._hosts).handle(call)

    def _count(self, call: Call, took_s: float) -> None:
        self._requests_by_customer[call.customer] = (
            self._requests_by_customer.get(call.customer, 0) + 1
        )
        (
            self._success_latencies_s
            if call.is_successful
            else self._failure_latencies_s
        ).append(took_s)
        if call.is_successful:
            self._successes_by_customer[call.customer] = (
                self._successes_by_customer.get(call.customer, 0) + 1
            )

    def _restart_instances(self) -> None:
        count = int(self._scenario.restarted_share * self._site.instances)
        for backend in list(self._backends.values())[:count]:
            backend.restart(RESTART_DOWN_S, COLD_START_S)


def percentile_99(values: list[float]) -> float:
    """Return the 99th percentile, 0 for no values."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * 0.99)] if ordered else 0.0


def measure(site: Site, scenario: Scenario, naive: bool, seeds: range) -> OverloadStats:
    """Return the median of each result over seeds; for amplification, the maximum."""
    runs = [Simulation(site, scenario, naive, seed).run() for seed in seeds]
    medians = [statistics.median(column) for column in zip(*runs)]
    return OverloadStats(*medians)._replace(
        amplification=max(stats.amplification for stats in runs)
    )


def main(argv: list[str]) -> None:
    """Print the table."""
    print("| site | scenario | policy | goodput | p99 ms | rejection p99 ms ", end="")
    print("| attempts/request | lowest success of other customers |")
    print("|---|---|---|---|---|---|---|---|")
    for base_site in SITES:
        site = base_site._replace(hosts=FLAGS.hosts or base_site.hosts)
        for scenario in SCENARIOS:
            for naive in (False, True):
                stats = measure(site, scenario, naive, range(FLAGS.seeds))
                policy = "round-robin" if naive else "dogwoodtack"
                print(
                    f"| {site.name} | {scenario.name} | {policy} "
                    f"| {stats.goodput:.2f} | {stats.p99_ms:.0f} "
                    f"| {stats.rejection_p99_ms:.0f} | {stats.amplification:.2f} "
                    f"| {stats.min_customer_success:.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    app.run(main)
