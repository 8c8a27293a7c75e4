"""This node's view of each instance's health, from the outcomes of real requests."""

from typing import Any

from ..catalog import Service
from ..clock import Clock
from .ejection_backoff import EjectionBackoff
from .evidence import Evidence, bucket_of, decode
from .instance import InstanceHealth
from .messages import Explanation, Sample, SampleKind, Verdict
from .monitor import (
    EVIDENCE_TEST_INTERVAL_S,
    FAILURE_TEST_INTERVAL_S,
    OnVerdictChange,
    ServiceMonitor,
)

__all__ = ["FULL_WEIGHT", "Health"]

FULL_WEIGHT = 1.0


class Health:
    """Passive health checking of every service's instances.

    Args:
        clock: source of monotonic time.
        source: this node's name in the evidence that it sends.
        on_change: called as `on_change(service, verdict, explanation)` when an
            instance becomes unhealthy or healthy again.
    """

    def __init__(
        self, clock: Clock, source: str, on_change: OnVerdictChange | None = None
    ) -> None:
        self._clock = clock
        self._source = source
        self._on_change = on_change
        self._monitors: dict[str, ServiceMonitor] = {}

    def _monitor(self, service: str) -> ServiceMonitor:
        monitor = self._monitors.get(service)
        if monitor is None:
            now = self._clock.monotonic()
            monitor = ServiceMonitor(service, self._source, self._on_change, now)
            self._monitors[service] = monitor
        return monitor

    def _instance(self, service: str, instance: str) -> InstanceHealth | None:
        monitor = self._monitors.get(service)
        return monitor.pool.instances().get(instance) if monitor else None

    def set_caution(self, service: str, caution: float) -> None:
        """Set the caution from which a service's score threshold is derived."""
        self._monitor(service).caution = caution

    # Evidence.

    def record(self, sample: Sample) -> None:
        """Record one attempt's outcome as evidence; shed attempts are ignored."""
        if sample.kind is SampleKind.SHED:
            return
        monitor = self._monitor(sample.service)
        is_ok = sample.kind is SampleKind.OK
        bucket = bucket_of(sample.latency_s)
        is_bad = monitor.pool.add(
            sample.at,
            self._source,
            sample.instance,
            sample.is_idempotent,
            0 if is_ok else 1,
            {bucket: 1} if is_ok else {},
        )
        monitor.outbox.add(sample.instance, sample.is_idempotent, sample.kind, bucket)
        if is_bad:
            monitor.outbox.mark_urgent()
            monitor.test_within(FAILURE_TEST_INTERVAL_S)

    def has_urgent_evidence(self, service: str) -> bool:
        """Return whether a service's evidence should be sent without delay."""
        monitor = self._monitors.get(service)
        return monitor is not None and monitor.outbox.is_urgent

    def take_evidence(self, service: str) -> Evidence | None:
        """Return a service's new evidence as a JSON value, or None if none is due.

        Failed and very slow attempts are due half a second after evidence was last
        taken, all others four seconds after it.
        """
        monitor = self._monitors.get(service)
        return monitor.outbox.take(self._clock.monotonic()) if monitor else None

    def merge_evidence(self, service: str, evidence: Any) -> None:
        """Merge what another entry host's `take_evidence` returned.

        Raises:
            WireError: the evidence is malformed; none of it was merged.
        """
        source, rows = decode(evidence)
        if source == self._source:
            return
        now = self._clock.monotonic()
        monitor = self._monitor(service)
        is_bad = False
        for row in rows:
            is_bad |= monitor.pool.add(
                now, source, row.instance, row.is_idempotent, row.failed, row.latencies
            )
        monitor.test_within(
            FAILURE_TEST_INTERVAL_S if is_bad else EVIDENCE_TEST_INTERVAL_S
        )

    # Conclusions.

    def verdicts(self, service: Service) -> list[Verdict]:
        """Return a verdict on each instance of a service, worst first.

        Calls are cheap: the tests run again only when they are due.
        """
        monitor = self._monitor(service.name)
        monitor.caution = service.caution
        now = self._clock.monotonic()
        monitor.set_instances({one.name for one in service.instances}, now)
        return monitor.verdicts(now)

    def explain(self, service: str, instance: str) -> Explanation:
        """Return the strongest evidence against an instance in the last test."""
        state = self._instance(service, instance)
        return state.explanation if state else Explanation()

    def weight(self, service: str, instance: str) -> float:
        """Return an instance's load balancing weight, from 0 to 1."""
        monitor = self._monitors.get(service)
        if monitor is None:
            return FULL_WEIGHT
        weights = monitor.weights(self._clock.monotonic())
        return weights.get(instance, FULL_WEIGHT)

    def lower_weight(self, service: str, instance: str, for_s: float) -> None:
        """Lower the weight of an unhealthy instance that the floor keeps in rotation.

        Args:
            service: the service's name.
            instance: the instance's name.
            for_s: seconds for which the weight stays at its lowest value.
        """
        now = self._clock.monotonic()
        monitor = self._monitor(service)
        monitor.pool.instance(instance, now).low_weight_until = now + for_s
        monitor.test_within(0.0)

    # Ejections and returns.

    def ejection_time_s(self, service: str, instance: str) -> float:
        """Return how many seconds an ejection that begins now lasts."""
        state = self._instance(service, instance)
        backoff = state.ejection_backoff if state else EjectionBackoff()
        return backoff.ejection_time_s(self._clock.monotonic())

    def begin_probation(self, service: str, instance: str) -> None:
        """Discard the evidence against an instance that returns on probation."""
        now = self._clock.monotonic()
        monitor = self._monitor(service)
        monitor.pool.instance(instance, now).begin_probation(now)
        monitor.test_within(0.0)

    def is_on_probation(self, service: str, instance: str) -> bool:
        """Return whether an instance is on probation.

        It should get idempotent requests only.
        """
        state = self._instance(service, instance)
        return state is not None and state.probation_started_at is not None
