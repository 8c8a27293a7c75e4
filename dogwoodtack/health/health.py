"""What this node believes of each instance, from the outcomes of real requests."""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..catalog import Service
from ..clock import Clock
from .evidence import Evidence, Outbox, bucket_of, decode
from .holds import Hold
from .messages import Explanation, Sample, SampleKind, Verdict
from .pool import Pool
from .scores import threshold

__all__ = ["FULL_WEIGHT", "Health", "OnChange"]

FULL_WEIGHT = 1.0
DEFAULT_CAUTION = 0.5
BUSY_REFRESH_S = 1.0
CALM_REFRESH_S = 20.0

OnChange = Callable[[str, Verdict, Explanation], None]


class _Watched(NamedTuple):
    """What is kept of one service."""

    pool: Pool
    outbox: Outbox


class Health:
    """Weigh instances by the evidence.

    Args:
        clock: tells monotonic time.
        source: names this node in the evidence that it passes on.
        on_change: called as `on_change(service, verdict, explanation)` when an
            instance becomes suspect or well again.
    """

    def __init__(
        self, clock: Clock, source: str, on_change: OnChange | None = None
    ) -> None:
        self._clock = clock
        self._source = source
        self._on_change = on_change
        self._watched: dict[str, _Watched] = {}
        self._cautions: dict[str, float] = {}
        self._weights: dict[str, dict[str, float]] = {}
        self._refresh_at: dict[str, float] = {}

    def _watch(self, service: str) -> _Watched:
        watched = self._watched.get(service)
        if watched is None:
            pool = Pool(self._clock.monotonic())
            watched = _Watched(pool, Outbox(self._source))
            self._watched[service] = watched
        return watched

    def record(self, sample: Sample) -> None:
        """Take one attempt's outcome as evidence; a shed attempt is none."""
        if sample.kind is SampleKind.SHED:
            return
        pool, outbox = self._watch(sample.service)
        is_ok = sample.kind is SampleKind.OK
        bucket = bucket_of(sample.latency_s)
        is_bad = pool.add(
            sample.at,
            self._source,
            sample.instance,
            sample.is_idempotent,
            0 if is_ok else 1,
            {bucket: 1} if is_ok else {},
        )
        outbox.add(sample.instance, sample.is_idempotent, sample.kind, bucket)
        if is_bad:
            outbox.hurry()
            due_at = self._refresh_at.get(sample.service, sample.at)
            self._refresh_at[sample.service] = min(due_at, sample.at + BUSY_REFRESH_S)

    def _refresh_weights(self, service: str, now: float) -> dict[str, float]:
        """Work the weights out anew, sooner where any is below the full one."""
        watched = self._watched.get(service)
        if watched is None:
            return {}
        watched.pool.explain(now)
        weights = watched.pool.weights(now, self._limit(service))
        self._weights[service] = weights
        self._refresh_at[service] = now + (
            BUSY_REFRESH_S if weights else CALM_REFRESH_S
        )
        return weights

    def _limit(self, service: str) -> float:
        return threshold(self._cautions.get(service, DEFAULT_CAUTION))

    def set_caution(self, service: str, caution: float) -> None:
        """Take the setting under which a service's weights are worked out."""
        self._cautions[service] = caution

    def verdicts(self, service: Service) -> list[Verdict]:
        """Return a verdict on each instance of a service, worst first."""
        self.set_caution(service.name, service.caution)
        now = self._clock.monotonic()
        pool = self._watch(service.name).pool
        names = {instance.name for instance in service.instances}
        pool.keep_only(names)
        for name in names:
            pool.track(name, now)
        limit = self._limit(service.name)
        found = pool.verdicts(now, limit)
        self._weights[service.name] = pool.weights(now, limit)
        for verdict in found:
            self._note_change(service.name, pool, verdict, now)
        return found

    def _note_change(
        self, service: str, pool: Pool, verdict: Verdict, now: float
    ) -> None:
        track = pool.track(verdict.instance, now)
        if verdict.is_sick == track.is_sick:
            return
        track.is_sick = verdict.is_sick
        if verdict.is_sick:
            track.hold.note_sick(now)
        if self._on_change is not None:
            self._on_change(service, verdict, track.explanation)

    def explain(self, service: str, instance: str) -> Explanation:
        """Return the strongest evidence against an instance, as last tested."""
        watched = self._watched.get(service)
        track = watched.pool.tracks().get(instance) if watched else None
        return track.explanation if track else Explanation()

    def take_evidence(self, service: str) -> Evidence | None:
        """Return what was learned of a service since the last call, as JSON.

        None means there is nothing to pass on.  Bad attempts are passed on at
        most half a second after them, good ones within some seconds.
        """
        watched = self._watched.get(service)
        return watched.outbox.take(self._clock.monotonic()) if watched else None

    def absorb(self, service: str, evidence: Any) -> None:
        """Pool what another entry host's `take_evidence` returned.

        Raises:
            WireError: the evidence is malformed; nothing of it was used.
        """
        source, rows = decode(evidence)
        if source == self._source:
            return
        now = self._clock.monotonic()
        pool = self._watch(service).pool
        for row in rows:
            pool.add(
                now, source, row.instance, row.is_idempotent, row.failed, row.latencies
            )

    def begin_probation(self, service: str, instance: str) -> None:
        """Forget the evidence against an instance that comes back on trial."""
        now = self._clock.monotonic()
        track = self._watch(service).pool.track(instance, now)
        track.forget()
        track.probation_at = now
        track.lowered_until = 0.0
        track.is_sick = False
        track.hold.note_return(now)
        self._refresh_at[service] = now

    def hold_s(self, service: str, instance: str) -> float:
        """Return how many seconds an ejection of an instance lasts now."""
        watched = self._watched.get(service)
        track = watched.pool.tracks().get(instance) if watched else None
        hold = track.hold if track else Hold()
        return hold.hold_s(self._clock.monotonic())

    def lower_weight(self, service: str, instance: str, for_s: float) -> None:
        """Give little work to a sick instance that the floor keeps in work."""
        now = self._clock.monotonic()
        track = self._watch(service).pool.track(instance, now)
        track.lowered_until = now + for_s
        self._refresh_at[service] = now

    def on_probation(self, service: str, instance: str) -> bool:
        """Return whether an instance should get idempotent requests only."""
        watched = self._watched.get(service)
        track = watched.pool.tracks().get(instance) if watched else None
        return track is not None and track.probation_at is not None

    def weight(self, service: str, instance: str) -> float:
        """Return from 0 to 1 how much work an instance should get."""
        now = self._clock.monotonic()
        if now >= self._refresh_at.get(service, 0.0):
            weights = self._refresh_weights(service, now)
        else:
            weights = self._weights.get(service, {})
        return weights.get(instance, FULL_WEIGHT)
