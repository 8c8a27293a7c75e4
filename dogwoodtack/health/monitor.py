"""One service under watch: its pooled evidence, and when to test it again."""

import math
from collections.abc import Callable

from .evidence import Outbox
from .messages import Explanation, Verdict
from .pool import Pool
from .scores import score_threshold

__all__ = ["OnVerdictChange", "Watch"]

DEFAULT_CAUTION = 0.5
BUSY_PERIOD_S = 0.5
ABSORBED_PERIOD_S = 1.0
CALM_PERIOD_S = 20.0

OnVerdictChange = Callable[[str, Verdict, Explanation], None]


class Watch:
    """Test a service's instances no more often than the evidence asks for."""

    def __init__(
        self, service: str, source: str, on_change: OnVerdictChange | None, now: float
    ) -> None:
        self.pool = Pool(now)
        self.outbox = Outbox(source)
        self.caution = DEFAULT_CAUTION
        self._service = service
        self._on_change = on_change
        self._verdicts: list[Verdict] = []
        self._weights: dict[str, float] = {}
        self._tested_at = -math.inf
        self._due_at = now

    def expect(self, period_s: float) -> None:
        """Test again once a period has passed since the last test."""
        self._due_at = min(self._due_at, self._tested_at + period_s)

    def note_instances(self, names: set[str], now: float) -> None:
        """Follow the service's declared instances."""
        if names == self.pool.tracks().keys():
            return
        self.pool.keep_only(names)
        for name in names:
            self.pool.track(name, now)
        self._due_at = now

    def verdicts(self, now: float) -> list[Verdict]:
        """Return the verdicts, worst first, tested anew where that is due."""
        self._test(now)
        return self._verdicts

    def weights(self, now: float) -> dict[str, float]:
        """Return the weight of each instance that has less than the full one."""
        self._test(now)
        return self._weights

    def _test(self, now: float) -> None:
        if now < self._due_at:
            return
        limit = score_threshold(self.caution)
        self._verdicts = self.pool.verdicts(now, limit)
        self._weights = self.pool.weights(now, limit)
        self._tested_at = now
        self._due_at = now + (BUSY_PERIOD_S if self._weights else CALM_PERIOD_S)
        for verdict in self._verdicts:
            self._note_change(verdict, now)

    def _note_change(self, verdict: Verdict, now: float) -> None:
        track = self.pool.track(verdict.instance, now)
        if not track.is_out(now):
            track.was_sick = verdict.is_sick
        if verdict.is_sick == track.is_sick:
            return
        track.is_sick = verdict.is_sick
        if verdict.is_sick:
            track.hold.note_sick(now)
        if self._on_change is not None:
            self._on_change(self._service, verdict, track.explanation)
