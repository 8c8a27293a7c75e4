"""The ejection rules that the detection experiment compares on the same attempts.

The three baselines see every attempt of the fleet at the moment it ends, which no real
proxy does.  Only dogwoodtack's own rule has the delay of sending evidence between
entry hosts.
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
    BASELINE_ERROR_RATIO,
    MEAN_SERVICE_TIME_S,
    SERVICE_TIME_SIGMA,
    TIMEOUT_S,
    AttemptKind,
    Attempts,
    Fault,
    Site,
    request_rate,
)

__all__ = [
    "CAUTIONS",
    "Ejection",
    "SimulatedFleet",
    "run_all_rules",
    "lorden_bound_s",
    "dogwoodtack_ejections",
]

EVALUATION_INTERVAL_S = 0.5
REPEAT_LOCK_S = 64.0
CAUTIONS = (0.0, 0.25, 0.5, 0.75, 1.0)
CONSECUTIVE_FAILURES = (2, 3, 4, 5, 7, 10)
ERROR_RATE_WINDOWS_S = (5.0, 10.0, 30.0)
ERROR_RATE_THRESHOLDS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5)
MIN_ERROR_RATE_ATTEMPTS = 10
LATENCY_WINDOWS_S = (5.0, 10.0, 30.0)
LATENCY_FACTORS = (1.3, 1.5, 2.0, 3.0, 5.0)
MIN_LATENCY_ATTEMPTS = 5
SAMPLE_KINDS = {
    AttemptKind.OK: SampleKind.OK,
    AttemptKind.ERROR: SampleKind.ERROR,
    AttemptKind.TIMEOUT: SampleKind.TIMEOUT,
    AttemptKind.SHED: SampleKind.SHED,
}


class Ejection(NamedTuple):
    """A rule's decision to eject an instance; repeats are dropped for a while."""

    at: float
    instance: int


class SimulatedFleet(NamedTuple):
    """The simulated entry hosts.

    Attributes:
        hosts: their number.
        computes_weights: whether each host also weights the instances by its own
            samples.
    """

    hosts: int
    computes_weights: bool


class _LockKey(NamedTuple):
    """What a lock applies to: a rule, an instance, and times before or after onset."""

    rule: str
    instance: int
    is_after_onset: bool


class _EjectionLog:
    """Ejections by rule; after each, repeats of it are dropped for REPEAT_LOCK_S."""

    def __init__(self, onset_s: float = math.inf) -> None:
        self.ejections: dict[str, list[Ejection]] = defaultdict(list)
        self._onset_s = onset_s
        self._locked_until: dict[_LockKey, float] = defaultdict(float)

    def record(self, rule: str, at: float, instance: int) -> None:
        """Record an ejection unless it is locked.

        A false ejection before the onset of the fault locks none after the onset.
        """
        lock = _LockKey(rule, instance, at >= self._onset_s)
        if at < self._locked_until[lock]:
            return
        self._locked_until[lock] = at + REPEAT_LOCK_S
        self.ejections[rule].append(Ejection(at, instance))


def run_all_rules(
    site: Site,
    attempts: Attempts,
    fleet: SimulatedFleet | None,
    end_s: float,
    onset_s: float = math.inf,
) -> dict[str, list[Ejection]]:
    """Return the ejections of every rule and parameter setting.

    Args:
        fleet: the entry hosts; None evaluates only the baselines.
        end_s: end of the run in virtual seconds.
        onset_s: onset of the fault in virtual seconds.
    """
    ejection_log = _EjectionLog(onset_s)
    if fleet is not None:
        _apply_dogwoodtack(ejection_log, site, attempts, fleet, end_s)
    for number in range(site.instances):
        _apply_consecutive_failures(ejection_log, attempts, number)
        _apply_error_rate(ejection_log, attempts, number, end_s)
    _apply_latency(ejection_log, site, attempts, end_s)
    return dict(ejection_log.ejections)


def make_service(site: Site, caution: float) -> Service:
    """Return the service definition for a site."""
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


def dogwoodtack_ejections(
    site: Site, attempts: Attempts, fleet: SimulatedFleet, end_s: float, caution: float
) -> list[Ejection]:
    """Return the ejections of dogwoodtack's rule at one setting of caution."""
    ejection_log = _EjectionLog()
    _apply_dogwoodtack(ejection_log, site, attempts, fleet, end_s)
    return ejection_log.ejections[_dogwoodtack_rule_name(caution)]


def _dogwoodtack_rule_name(caution: float) -> str:
    return f"dogwoodtack {caution:g}"


class _CountingHost:
    """An entry host that only counts samples and computes no weights.

    It sends very slow responses with the next regular evidence, not at once.
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


def _apply_dogwoodtack(
    ejection_log: _EjectionLog,
    site: Site,
    attempts: Attempts,
    fleet: SimulatedFleet,
    end_s: float,
) -> None:
    """Run dogwoodtack's decision code, with evidence sent from hosts to the holder."""
    clock = VirtualClock(0.0)
    host_class = Health if fleet.computes_weights else _CountingHost
    nodes = [host_class(clock, f"{number:08x}") for number in range(fleet.hosts)]
    holder = Health(clock, "holder")
    service = make_service(site, 1.0)
    names = [instance.name for instance in service.instances]
    rows = zip(*(column.tolist() for column in attempts))
    next_tick = EVALUATION_INTERVAL_S
    for at, instance, host, is_idempotent, kind, latency_s in rows:
        while at >= next_tick:
            clock.now = next_tick
            _merge_evidence(nodes, holder, service.name)
            _record_ejections(ejection_log, holder, service, next_tick)
            next_tick += EVALUATION_INTERVAL_S
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


def _merge_evidence(
    nodes: list[Health | _CountingHost], holder: Health, service: str
) -> None:
    for node in nodes:
        evidence = node.take_evidence(service)
        if evidence is not None:
            holder.merge_evidence(service, evidence)


def _record_ejections(
    ejection_log: _EjectionLog, holder: Health, service: Service, now: float
) -> None:
    """Record the ejections at the current time for every setting of caution."""
    verdicts = holder.verdicts(service)
    if verdicts[0].score < score_threshold(CAUTIONS[0]):
        return
    explanations = {
        one.instance: holder.explain(service.name, one.instance) for one in verdicts
    }
    for caution in CAUTIONS:
        for name in find_unhealthy(explanations, score_threshold(caution)):
            ejection_log.record(_dogwoodtack_rule_name(caution), now, int(name))


def _apply_consecutive_failures(
    ejection_log: _EjectionLog, attempts: Attempts, number: int
) -> None:
    """Eject after a number of consecutive failures."""
    is_counted = (attempts.instance == number) & (attempts.kind != AttemptKind.SHED)
    at = attempts.at[is_counted]
    failures = (attempts.kind[is_counted] != AttemptKind.OK).astype(int)
    count = np.cumsum(failures)
    failures_before_run = np.maximum.accumulate(np.where(failures == 0, count, 0))
    run = count - failures_before_run
    for threshold in CONSECUTIVE_FAILURES:
        for hit in at[(run == threshold) & (failures == 1)]:
            ejection_log.record(f"consecutive {threshold}", float(hit), number)


def _apply_error_rate(
    ejection_log: _EjectionLog, attempts: Attempts, number: int, end_s: float
) -> None:
    """Eject when the error rate over a window reaches a threshold."""
    is_counted = (attempts.instance == number) & (attempts.kind != AttemptKind.SHED)
    at = attempts.at[is_counted]
    failures = np.concatenate(
        ([0], np.cumsum(attempts.kind[is_counted] != AttemptKind.OK))
    )
    ticks = np.arange(EVALUATION_INTERVAL_S, end_s, EVALUATION_INTERVAL_S)
    last = np.searchsorted(at, ticks, side="right")
    for window_s in ERROR_RATE_WINDOWS_S:
        first = np.searchsorted(at, ticks - window_s)
        total = last - first
        error_rate = (failures[last] - failures[first]) / np.maximum(total, 1)
        for threshold in ERROR_RATE_THRESHOLDS:
            hits = ticks[(total >= MIN_ERROR_RATE_ATTEMPTS) & (error_rate >= threshold)]
            for hit in hits:
                ejection_log.record(
                    f"error rate {threshold:g}/{window_s:g}s", float(hit), number
                )


def _apply_latency(
    ejection_log: _EjectionLog, site: Site, attempts: Attempts, end_s: float
) -> None:
    """Eject at a multiple of the median of all instances' median latencies."""
    ticks = np.arange(EVALUATION_INTERVAL_S, end_s, EVALUATION_INTERVAL_S)
    for window_s in LATENCY_WINDOWS_S:
        medians = np.full((site.instances, ticks.size), np.nan)
        for number in range(site.instances):
            is_counted = (attempts.instance == number) & (
                attempts.kind != AttemptKind.SHED
            )
            at = attempts.at[is_counted]
            latency_s = attempts.latency_s[is_counted]
            first = np.searchsorted(at, ticks - window_s)
            last = np.searchsorted(at, ticks, side="right")
            for index in range(ticks.size):
                start, end = first[index], last[index]
                if end - start >= MIN_LATENCY_ATTEMPTS:
                    median_index = (end - start) // 2
                    part = np.partition(latency_s[start:end], median_index)
                    medians[number, index] = part[median_index]
        known_medians = np.where(np.isnan(medians), np.inf, medians)
        fleet_median = np.sort(known_medians, axis=0)[site.instances // 2]
        for factor in LATENCY_FACTORS:
            with np.errstate(invalid="ignore"):
                hits = np.argwhere(medians >= factor * fleet_median)
            for number, index in hits[np.argsort(hits[:, 1], kind="stable")]:
                rule = f"latency {factor:g}x/{window_s:g}s"
                ejection_log.record(rule, float(ticks[index]), int(number))


def lorden_bound_s(
    site: Site, load: float, fault: Fault, false_per_day: float
) -> float | None:
    """Return Lorden's lower bound on the mean detection time, in seconds.

    The bound assumes that both distributions and the faulty instance are known, that
    every sample is available without delay, and that samples are independent.  It
    ignores queueing.

    Args:
        false_per_day: false ejections allowed per instance-day.

    Returns:
        the bound, or None if it does not apply to the fault.
    """
    rate = request_rate(site, load)
    threshold_nats = math.log(rate * 86400 / false_per_day)
    if fault.affects_all or fault.period_s or fault.is_cold_start:
        return None
    if fault.hang_ratio:
        return TIMEOUT_S + threshold_nats / math.log(1 / BASELINE_ERROR_RATIO) / rate
    information = 0.0
    if fault.error_ratio:
        baseline = BASELINE_ERROR_RATIO
        faulty = baseline + (1 - baseline) * fault.error_ratio
        information += faulty * math.log(faulty / baseline)
        if faulty < 1:
            information += (1 - faulty) * math.log((1 - faulty) / (1 - baseline))
    if fault.slow_factor > 1:
        information += math.log(fault.slow_factor) ** 2 / (2 * SERVICE_TIME_SIGMA**2)
        rate = min(rate, site.slots / (MEAN_SERVICE_TIME_S * fault.slow_factor))
    return threshold_nats / information / rate
