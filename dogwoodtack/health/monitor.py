"""Health of one service: its evidence, and the schedule of its tests."""

import math
from collections.abc import Callable

from .evidence import Outbox
from .messages import Explanation, Verdict
from .pool import EvidencePool
from .scores import score_threshold

__all__ = ["OnVerdictChange", "ServiceMonitor"]

DEFAULT_CAUTION = 0.5
FAILURE_TEST_INTERVAL_S = 0.5
EVIDENCE_TEST_INTERVAL_S = 1.0
IDLE_TEST_INTERVAL_S = 20.0

OnVerdictChange = Callable[[str, Verdict, Explanation], None]


class ServiceMonitor:
    """Test a service's instances, at intervals that depend on the evidence.

    Results are cached between tests.
    """

    def __init__(
        self, service: str, source: str, on_change: OnVerdictChange | None, now: float
    ) -> None:
        self.pool = EvidencePool(now)
        self.outbox = Outbox(source)
        self.caution = DEFAULT_CAUTION
        self._service = service
        self._on_change = on_change
        self._verdicts: list[Verdict] = []
        self._weights: dict[str, float] = {}
        self._tested_at = -math.inf
        self._due_at = now

    def test_within(self, interval_s: float) -> None:
        """Make a test due at most some seconds after the last test."""
        self._due_at = min(self._due_at, self._tested_at + interval_s)

    def set_instances(self, names: set[str], now: float) -> None:
        """Set the names of the service's declared instances."""
        if names == self.pool.instances().keys():
            return
        self.pool.retain(names)
        for name in names:
            self.pool.instance(name, now)
        self._due_at = now

    def verdicts(self, now: float) -> list[Verdict]:
        """Return the verdicts, worst first, after a test if one is due."""
        self._test_if_due(now)
        return self._verdicts

    def weights(self, now: float) -> dict[str, float]:
        """Return the weight of each instance whose weight is below the full one."""
        self._test_if_due(now)
        return self._weights

    def _test_if_due(self, now: float) -> None:
        if now < self._due_at:
            return
        threshold = score_threshold(self.caution)
        self._verdicts = self.pool.verdicts(now, threshold)
        self._weights = self.pool.weights(now, threshold)
        self._tested_at = now
        self._due_at = now + (
            FAILURE_TEST_INTERVAL_S if self._weights else IDLE_TEST_INTERVAL_S
        )
        for verdict in self._verdicts:
            self._apply_verdict(verdict, now)

    def _apply_verdict(self, verdict: Verdict, now: float) -> None:
        instance = self.pool.instance(verdict.instance, now)
        if not instance.is_out_of_rotation(now):
            instance.was_unhealthy = verdict.is_sick
        if verdict.is_sick == instance.is_unhealthy:
            return
        instance.is_unhealthy = verdict.is_sick
        if verdict.is_sick:
            instance.ejection_backoff.record_unhealthy(now)
        if self._on_change is not None:
            self._on_change(self._service, verdict, instance.explanation)
