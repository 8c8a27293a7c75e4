"""The rules that the detection experiment compares, on the same attempts.

The three baselines get every attempt of the whole fleet at the moment it ends,
which no real proxy has; only the decision code of this project pays for passing
evidence between entry hosts.
"""

import math
from collections import defaultdict
from typing import NamedTuple

import numpy as np

from dogwoodtack.catalog import Service, parse_service
from dogwoodtack.clock import VirtualClock
from dogwoodtack.health import (
    Health,
    Sample,
    SampleKind,
    find_unhealthy,
    score_threshold,
)
from dogwoodtack.health.evidence import Evidence, Outbox, bucket_of

from .detect_simulation import (
    MEAN_WORK_S,
    ORDINARY_ERROR_SHARE,
    TIMEOUT_S,
    WORK_SIGMA,
    Attempts,
    Fault,
    Kind,
    Site,
    rate_of,
)

__all__ = ["CAUTIONS", "Ejection", "Fleet", "all_rules", "ideal_s", "own_ejections"]

TICK_S = 0.5
LOCK_S = 64.0
CAUTIONS = (0.0, 0.25, 0.5, 0.75, 1.0)
RUN_LENGTHS = (2, 3, 4, 5, 7, 10)
RATE_WINDOWS_S = (5.0, 10.0, 30.0)
RATE_LIMITS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5)
RATE_LEAST = 10
LATENCY_WINDOWS_S = (5.0, 10.0, 30.0)
LATENCY_FACTORS = (1.3, 1.5, 2.0, 3.0, 5.0)
LATENCY_LEAST = 5
SAMPLE_KINDS = {
    Kind.OK: SampleKind.OK,
    Kind.ERROR: SampleKind.ERROR,
    Kind.TIMEOUT: SampleKind.TIMEOUT,
    Kind.SHED: SampleKind.SHED,
}


class Ejection(NamedTuple):
    """A rule's wish to eject an instance; the next ones wait out a lock."""

    at: float
    instance: int


class Fleet(NamedTuple):
    """The entry hosts.

    Attributes:
        hosts: how many there are.
        is_full: whether each one also weighs the instances for itself.
    """

    hosts: int
    is_full: bool


class _Lock(NamedTuple):
    """What a lock holds for: a rule, an instance, and the time after the onset."""

    rule: str
    instance: int
    is_after: bool


class _Book:
    """Ejections by rule, with the lock after each of them."""

    def __init__(self, onset_s: float = math.inf) -> None:
        self.ejections: dict[str, list[Ejection]] = defaultdict(list)
        self._onset_s = onset_s
        self._free_at: dict[_Lock, float] = defaultdict(float)

    def note(self, rule: str, at: float, instance: int) -> None:
        """Note a wish; a false one before the onset locks nothing after it."""
        lock = _Lock(rule, instance, at >= self._onset_s)
        if at < self._free_at[lock]:
            return
        self._free_at[lock] = at + LOCK_S
        self.ejections[rule].append(Ejection(at, instance))


def all_rules(
    site: Site,
    attempts: Attempts,
    fleet: Fleet | None,
    end_s: float,
    onset_s: float = math.inf,
) -> dict[str, list[Ejection]]:
    """Return what every rule and parameter would eject.

    Without a fleet only the baselines are tried.
    """
    book = _Book(onset_s)
    if fleet is not None:
        _own_rule(book, site, attempts, fleet, end_s)
    for number in range(site.instances):
        _run_rule(book, attempts, number)
        _rate_rule(book, attempts, number, end_s)
    _latency_rule(book, site, attempts, end_s)
    return dict(book.ejections)


def service_of(site: Site, caution: float) -> Service:
    """Return the service as an operator would declare it."""
    instances = [
        {"name": f"{number:02}", "address": "127.0.0.1:9000", "slots": site.slots}
        for number in range(site.instances)
    ]
    value = {
        "routes": [{"host": site.name}],
        "instances": instances,
        "caution": caution,
    }
    return parse_service(site.name, value)


def own_ejections(
    site: Site, attempts: Attempts, fleet: Fleet, end_s: float, caution: float
) -> list[Ejection]:
    """Return what this project's rule would eject at one setting of caution."""
    book = _Book()
    _own_rule(book, site, attempts, fleet, end_s)
    return book.ejections[_own_name(caution)]


def _own_name(caution: float) -> str:
    return f"dogwoodtack {caution:g}"


class _Node:
    """An entry host that only counts; it does not weigh instances itself.

    Its very slow answers are passed on with the good ones, not at once.
    """

    def __init__(self, clock: VirtualClock, source: str) -> None:
        self._clock = clock
        self._outbox = Outbox(source)

    def record(self, sample: Sample) -> None:
        if sample.kind is not SampleKind.SHED:
            bucket = bucket_of(sample.latency_s)
            self._outbox.add(sample.instance, sample.is_idempotent, sample.kind, bucket)

    def take_evidence(self, service: str) -> Evidence | None:
        return self._outbox.take(self._clock.now)


def _own_rule(
    book: _Book, site: Site, attempts: Attempts, fleet: Fleet, end_s: float
) -> None:
    """Drive the project's decision code, evidence passed on included."""
    clock = VirtualClock(0.0)
    make = Health if fleet.is_full else _Node
    nodes = [make(clock, f"{number:08x}") for number in range(fleet.hosts)]
    holder = Health(clock, "holder")
    service = service_of(site, 1.0)
    names = [instance.name for instance in service.instances]
    rows = zip(*(column.tolist() for column in attempts))
    tick_at = TICK_S
    for at, instance, host, is_idempotent, kind, latency_s in rows:
        while at >= tick_at:
            clock.now = tick_at
            _pass_on(nodes, holder, service.name)
            _eject(book, holder, service, tick_at)
            tick_at += TICK_S
        if at >= end_s:
            return
        clock.now = at
        nodes[host].record(
            Sample(
                site.name,
                names[instance],
                is_idempotent,
                SAMPLE_KINDS[kind],
                latency_s,
                at,
            )
        )


def _pass_on(nodes: list[Health | _Node], holder: Health, service: str) -> None:
    for node in nodes:
        evidence = node.take_evidence(service)
        if evidence is not None:
            holder.merge_evidence(service, evidence)


def _eject(book: _Book, holder: Health, service: Service, now: float) -> None:
    """Note what every setting of caution would eject now."""
    verdicts = holder.verdicts(service)
    if verdicts[0].score < score_threshold(CAUTIONS[0]):
        return
    explanations = {
        one.instance: holder.explain(service.name, one.instance) for one in verdicts
    }
    for caution in CAUTIONS:
        for name in find_unhealthy(explanations, score_threshold(caution)):
            book.note(_own_name(caution), now, int(name))


def _run_rule(book: _Book, attempts: Attempts, number: int) -> None:
    """N consecutive failures."""
    mine = (attempts.instance == number) & (attempts.kind != Kind.SHED)
    at = attempts.at[mine]
    bad = (attempts.kind[mine] != Kind.OK).astype(int)
    count = np.cumsum(bad)
    before = np.maximum.accumulate(np.where(bad == 0, count, 0))
    run = count - before
    for length in RUN_LENGTHS:
        for hit in at[(run == length) & (bad == 1)]:
            book.note(f"consecutive {length}", float(hit), number)


def _rate_rule(book: _Book, attempts: Attempts, number: int, end_s: float) -> None:
    """The share of failures over a window reaches a limit."""
    mine = (attempts.instance == number) & (attempts.kind != Kind.SHED)
    at = attempts.at[mine]
    bad = np.concatenate(([0], np.cumsum(attempts.kind[mine] != Kind.OK)))
    ticks = np.arange(TICK_S, end_s, TICK_S)
    last = np.searchsorted(at, ticks, side="right")
    for window_s in RATE_WINDOWS_S:
        first = np.searchsorted(at, ticks - window_s)
        total = last - first
        share = (bad[last] - bad[first]) / np.maximum(total, 1)
        for limit in RATE_LIMITS:
            hits = ticks[(total >= RATE_LEAST) & (share >= limit)]
            for hit in hits:
                book.note(f"error rate {limit:g}/{window_s:g}s", float(hit), number)


def _latency_rule(book: _Book, site: Site, attempts: Attempts, end_s: float) -> None:
    """The median latency over a window reaches k times the instances' median."""
    ticks = np.arange(TICK_S, end_s, TICK_S)
    for window_s in LATENCY_WINDOWS_S:
        medians = np.full((site.instances, ticks.size), np.nan)
        for number in range(site.instances):
            mine = (attempts.instance == number) & (attempts.kind != Kind.SHED)
            at = attempts.at[mine]
            latency_s = attempts.latency_s[mine]
            first = np.searchsorted(at, ticks - window_s)
            last = np.searchsorted(at, ticks, side="right")
            for index in range(ticks.size):
                low, high = first[index], last[index]
                if high - low >= LATENCY_LEAST:
                    middle = (high - low) // 2
                    part = np.partition(latency_s[low:high], middle)
                    medians[number, index] = part[middle]
        seen = np.where(np.isnan(medians), np.inf, medians)
        common = np.sort(seen, axis=0)[site.instances // 2]
        for factor in LATENCY_FACTORS:
            with np.errstate(invalid="ignore"):
                hits = np.argwhere(medians >= factor * common)
            for number, index in hits[np.argsort(hits[:, 1], kind="stable")]:
                rule = f"latency {factor:g}x/{window_s:g}s"
                book.note(rule, float(ticks[index]), int(number))


def ideal_s(site: Site, load: float, fault: Fault, false_a_day: float) -> float | None:
    """Return Lorden's bound on the mean detection time, in seconds.

    It knows both distributions and the instance, pools every sample without
    delay and takes them as independent; queueing is left out.  None means that
    the bound does not apply.

    Args:
        false_a_day: false ejections allowed per instance-day.
    """
    rate = rate_of(site, load)
    nats = math.log(rate * 86400 / false_a_day)
    if fault.is_whole or fault.period_s or fault.is_cold_start:
        return None
    if fault.hang_ratio:
        return TIMEOUT_S + nats / math.log(1 / ORDINARY_ERROR_SHARE) / rate
    information = 0.0
    if fault.error_ratio:
        usual = ORDINARY_ERROR_SHARE
        sick = usual + (1 - usual) * fault.error_ratio
        information += sick * math.log(sick / usual)
        if sick < 1:
            information += (1 - sick) * math.log((1 - sick) / (1 - usual))
    if fault.slow_factor > 1:
        information += math.log(fault.slow_factor) ** 2 / (2 * WORK_SIGMA**2)
        rate = min(rate, site.slots / (MEAN_WORK_S * fault.slow_factor))
    return nats / information / rate
