"""What this node believes of each instance, from the outcomes of real requests."""

from typing import Any

from ..catalog import Service
from ..clock import Clock
from .ejection_backoff import Hold
from .evidence import Evidence, bucket_of, decode
from .instance import Track
from .messages import Explanation, Sample, SampleKind, Verdict
from .monitor import ABSORBED_PERIOD_S, BUSY_PERIOD_S, OnVerdictChange, Watch

__all__ = ["FULL_WEIGHT", "Health"]

FULL_WEIGHT = 1.0


class Health:
    """Weigh instances by the evidence.

    Args:
        clock: tells monotonic time.
        source: names this node in the evidence that it passes on.
        on_change: called as `on_change(service, verdict, explanation)` when an
            instance becomes suspect or well again.
    """

    def __init__(
        self, clock: Clock, source: str, on_change: OnVerdictChange | None = None
    ) -> None:
        self._clock = clock
        self._source = source
        self._on_change = on_change
        self._watches: dict[str, Watch] = {}

    def _watch(self, service: str) -> Watch:
        watch = self._watches.get(service)
        if watch is None:
            now = self._clock.monotonic()
            watch = Watch(service, self._source, self._on_change, now)
            self._watches[service] = watch
        return watch

    def _track(self, service: str, instance: str) -> Track | None:
        watch = self._watches.get(service)
        return watch.pool.tracks().get(instance) if watch else None

    def set_caution(self, service: str, caution: float) -> None:
        """Take the setting that a service's threshold comes from."""
        self._watch(service).caution = caution

    # Evidence.

    def record(self, sample: Sample) -> None:
        """Take one attempt's outcome as evidence; a shed attempt is none."""
        if sample.kind is SampleKind.SHED:
            return
        watch = self._watch(sample.service)
        is_ok = sample.kind is SampleKind.OK
        bucket = bucket_of(sample.latency_s)
        is_bad = watch.pool.add(
            sample.at,
            self._source,
            sample.instance,
            sample.is_idempotent,
            0 if is_ok else 1,
            {bucket: 1} if is_ok else {},
        )
        watch.outbox.add(sample.instance, sample.is_idempotent, sample.kind, bucket)
        if is_bad:
            watch.outbox.hurry()
            watch.expect(BUSY_PERIOD_S)

    def has_urgent_evidence(self, service: str) -> bool:
        """Return whether evidence should be passed on without waiting."""
        watch = self._watches.get(service)
        return watch is not None and watch.outbox.is_urgent

    def take_evidence(self, service: str) -> Evidence | None:
        """Return what was learned of a service since the last call, as JSON.

        None means there is nothing to pass on.  Bad attempts are passed on at
        most half a second after them, good ones within some seconds.
        """
        watch = self._watches.get(service)
        return watch.outbox.take(self._clock.monotonic()) if watch else None

    def merge_evidence(self, service: str, evidence: Any) -> None:
        """Pool what another entry host's `take_evidence` returned.

        Raises:
            WireError: the evidence is malformed; nothing of it was used.
        """
        source, rows = decode(evidence)
        if source == self._source:
            return
        now = self._clock.monotonic()
        watch = self._watch(service)
        is_bad = False
        for row in rows:
            is_bad |= watch.pool.add(
                now, source, row.instance, row.is_idempotent, row.failed, row.latencies
            )
        watch.expect(BUSY_PERIOD_S if is_bad else ABSORBED_PERIOD_S)

    # Conclusions.

    def verdicts(self, service: Service) -> list[Verdict]:
        """Return a verdict on each instance of a service, worst first.

        Calls are cheap: the tests run again only when there is news.
        """
        watch = self._watch(service.name)
        watch.caution = service.caution
        now = self._clock.monotonic()
        watch.note_instances({one.name for one in service.instances}, now)
        return watch.verdicts(now)

    def explain(self, service: str, instance: str) -> Explanation:
        """Return the strongest evidence against an instance, as last tested."""
        track = self._track(service, instance)
        return track.explanation if track else Explanation()

    def weight(self, service: str, instance: str) -> float:
        """Return from 0 to 1 how much work an instance should get."""
        watch = self._watches.get(service)
        if watch is None:
            return FULL_WEIGHT
        weights = watch.weights(self._clock.monotonic())
        return weights.get(instance, FULL_WEIGHT)

    def lower_weight(self, service: str, instance: str, for_s: float) -> None:
        """Give little work to a sick instance that the floor keeps in work."""
        now = self._clock.monotonic()
        watch = self._watch(service)
        watch.pool.track(instance, now).lowered_until = now + for_s
        watch.expect(0.0)

    # Ejections and returns.

    def ejection_time_s(self, service: str, instance: str) -> float:
        """Return how many seconds an ejection of an instance lasts now."""
        track = self._track(service, instance)
        hold = track.hold if track else Hold()
        return hold.hold_s(self._clock.monotonic())

    def begin_probation(self, service: str, instance: str) -> None:
        """Forget the evidence against an instance that comes back on trial."""
        now = self._clock.monotonic()
        watch = self._watch(service)
        watch.pool.track(instance, now).begin_probation(now)
        watch.expect(0.0)

    def is_on_probation(self, service: str, instance: str) -> bool:
        """Return whether an instance should get idempotent requests only."""
        track = self._track(service, instance)
        return track is not None and track.probation_at is not None
