"""Simulated attempts at a service under faults, for the detection experiment.

Entry hosts choose instances at random and nothing reacts to a verdict, so that all
rules are evaluated on the same attempts.
"""

import enum
import heapq
from collections import deque
from typing import NamedTuple

import numpy as np

__all__ = ["Attempts", "Fault", "AttemptKind", "SITES", "Site", "make_attempts"]

MEAN_SERVICE_TIME_S = 0.1
SERVICE_TIME_SIGMA = 0.6
TIMEOUT_S = 3.0
IDEMPOTENT_RATIO = 0.8
BASELINE_ERROR_RATIO = 0.003
ERROR_SERVICE_TIME_RATIO = 0.1
QUEUE_LENGTH_PER_SLOT = 2
COLD_START_S = 20.0
SHED_LATENCY_S = 0.001


class AttemptKind(enum.IntEnum):
    """Outcome of an attempt."""

    OK = 0
    ERROR = 1
    TIMEOUT = 2
    SHED = 3


class Site(NamedTuple):
    """Size of one service."""

    name: str
    instances: int
    slots: int


SITES = {
    site.name: site
    for site in (
        Site("jobtrack", 20, 2),
        Site("certdocs", 6, 2),
        Site("enrol-core", 25, 6),
        Site("pack-store", 6, 6),
    )
}


class Fault(NamedTuple):
    """A fault from the onset on; ratios are shares of requests.

    Attributes:
        name: name in the tables.
        error_ratio: share that gets an error response.
        hang_ratio: share that is accepted and gets no response.
        slow_factor: factor on the service time.
        period_s: period of flapping: the instance is faulty for the first half of each
            period; 0 if it is always faulty.
        affects_all: whether all instances have the fault, not only the first.
        is_cold_start: whether the instance joins at the onset and is slow until it
            has warmed up.
    """

    name: str
    error_ratio: float = 0.0
    hang_ratio: float = 0.0
    slow_factor: float = 1.0
    period_s: float = 0.0
    affects_all: bool = False
    is_cold_start: bool = False


class Attempts(NamedTuple):
    """Attempts ordered by their end, one array per column.

    Attributes:
        at: end of the attempt in virtual seconds.
        instance: index of the instance.
        host: index of the entry host.
        is_idempotent: whether the request is idempotent.
        kind: an `AttemptKind`.
        latency_s: duration in seconds.
    """

    at: np.ndarray
    instance: np.ndarray
    host: np.ndarray
    is_idempotent: np.ndarray
    kind: np.ndarray
    latency_s: np.ndarray


def request_rate(site: Site, load: float) -> float:
    """Return the requests per second of one instance at a share of its capacity."""
    return load * site.slots / MEAN_SERVICE_TIME_S


def make_attempts(
    site: Site,
    load: float,
    fault: Fault,
    hosts: int,
    onset_s: float,
    end_s: float,
    rng: np.random.Generator,
) -> Attempts:
    """Simulate one run and return its attempts."""
    parts = []
    for number in range(site.instances):
        instance_fault = fault if number == 0 or fault.affects_all else Fault("none")
        parts.append(
            _simulate_instance(number, site, load, instance_fault, onset_s, end_s, rng)
        )
    columns = [np.concatenate(column) for column in zip(*parts)]
    order = np.argsort(columns[0], kind="stable")
    at, instance, kind, latency_s = (column[order] for column in columns)
    return Attempts(
        at=at,
        instance=instance,
        host=rng.integers(0, hosts, at.size),
        is_idempotent=rng.random(at.size) < IDEMPOTENT_RATIO,
        kind=kind,
        latency_s=latency_s,
    )


def _is_fault_active(fault: Fault, onset_s: float, arrivals: np.ndarray) -> np.ndarray:
    is_faulty = arrivals >= onset_s
    if fault.period_s:
        is_faulty &= (arrivals - onset_s) % fault.period_s < fault.period_s / 2
    if fault.is_cold_start:
        is_faulty &= arrivals < onset_s + COLD_START_S
    return is_faulty


def _simulate_instance(
    number: int,
    site: Site,
    load: float,
    fault: Fault,
    onset_s: float,
    end_s: float,
    rng: np.random.Generator,
) -> tuple[np.ndarray, ...]:
    """Return end times, instance indexes, kinds and latencies."""
    rate = request_rate(site, load)
    count = rng.poisson(rate * end_s)
    arrivals = np.sort(rng.random(count) * end_s)
    if fault.is_cold_start:
        arrivals = arrivals[arrivals >= onset_s]
        count = arrivals.size
    mu = np.log(MEAN_SERVICE_TIME_S) - SERVICE_TIME_SIGMA**2 / 2
    service_times_s = rng.lognormal(mu, SERVICE_TIME_SIGMA, count)
    is_faulty = _is_fault_active(fault, onset_s, arrivals)
    service_times_s[is_faulty] *= fault.slow_factor
    error = rng.random(count) < BASELINE_ERROR_RATIO
    error |= is_faulty & (rng.random(count) < fault.error_ratio)
    service_times_s[error] *= ERROR_SERVICE_TIME_RATIO
    hang = is_faulty & (rng.random(count) < fault.hang_ratio)
    kinds, latencies = _serve(site.slots, arrivals, service_times_s, error, hang)
    return arrivals + latencies, np.full(count, number), kinds, latencies


def _serve(
    slots: int,
    arrivals: np.ndarray,
    service_times_s: np.ndarray,
    error: np.ndarray,
    hang: np.ndarray,
) -> tuple[np.ndarray, np.ndarray]:
    """Serve requests first come, first served and return kinds and latencies.

    A request that times out leaves the queue or frees its slot at once.
    """
    free_at = [0.0] * slots
    queued_starts: deque[float] = deque()
    max_queued = QUEUE_LENGTH_PER_SLOT * slots
    kinds = np.where(error, AttemptKind.ERROR, AttemptKind.OK)
    kinds[hang] = AttemptKind.TIMEOUT
    latencies = np.full(arrivals.size, TIMEOUT_S)
    rows = zip(arrivals.tolist(), service_times_s.tolist(), hang.tolist())
    for index, (arrival, service_time_s, hangs) in enumerate(rows):
        if hangs:
            continue
        while queued_starts and queued_starts[0] <= arrival:
            queued_starts.popleft()
        if len(queued_starts) >= max_queued:
            kinds[index] = AttemptKind.SHED
            latencies[index] = SHED_LATENCY_S
            continue
        start = max(arrival, free_at[0])
        if start >= arrival + TIMEOUT_S:
            kinds[index] = AttemptKind.TIMEOUT
            continue
        end = start + service_time_s
        if end > arrival + TIMEOUT_S:
            end = arrival + TIMEOUT_S
            kinds[index] = AttemptKind.TIMEOUT
        heapq.heapreplace(free_at, end)
        if start > arrival:
            queued_starts.append(start)
        latencies[index] = end - arrival
    return kinds, latencies
