"""Health state of one instance."""

import math

from .ejection_backoff import EjectionBackoff
from .messages import Explanation
from .windows import RATE_WINDOW, SlidingWindows

__all__ = [
    "IDEMPOTENCY_CLASSES",
    "InstanceHealth",
    "NOISE_SCORE_NATS",
    "PRIOR_SLOW_SHARE",
    "WARM_UP_S",
]

IDEMPOTENCY_CLASSES = (True, False)
PROBATION_S = 20.0
INITIAL_PROBATION_WEIGHT = 0.1
UNHEALTHY_WEIGHT = 0.05
FULL_WEIGHT_SCORE_SHARE = 0.5
OUT_OF_ROTATION_S = 8.0
PRIOR_SLOW_SHARE = 0.25
BASELINE_EWMA_WEIGHT = 0.03
NOISE_SCORE_NATS = 4.0
WARM_UP_S = 30.0


class InstanceHealth:
    """Attempt counts, baselines and probation of one instance."""

    def __init__(self, now: float) -> None:
        self.windows = {
            is_idempotent: SlidingWindows() for is_idempotent in IDEMPOTENCY_CLASSES
        }
        self.ejection_backoff = EjectionBackoff()
        self.active_since = now
        self.seen_at = -math.inf
        self.probation_started_at: float | None = None
        self.low_weight_until = 0.0
        self.failure_sources: dict[str, float] = {}
        self.baseline_slow_shares = dict.fromkeys(IDEMPOTENCY_CLASSES, PRIOR_SLOW_SHARE)
        self.explanation = Explanation()
        self.is_unhealthy = False
        self.was_unhealthy = False

    def is_out_of_rotation(self, now: float) -> bool:
        """Return whether the instance was unhealthy and gets no attempts any more."""
        return self.was_unhealthy and now - self.seen_at > OUT_OF_ROTATION_S

    def begin_probation(self, now: float) -> None:
        """Discard the evidence but keep the instance's baselines."""
        self.windows = {
            is_idempotent: SlidingWindows() for is_idempotent in IDEMPOTENCY_CLASSES
        }
        self.failure_sources.clear()
        self.explanation = Explanation()
        self.probation_started_at = now
        self.low_weight_until = 0.0
        self.is_unhealthy = False
        self.was_unhealthy = False
        self.ejection_backoff.record_return(now)

    def end_probation(self, now: float) -> None:
        """End the probation once its time has passed."""
        if (
            self.probation_started_at is not None
            and now - self.probation_started_at > PROBATION_S
        ):
            self.probation_started_at = None

    def update_baseline(self, now: float) -> None:
        """Update the baseline shares of slow responses.

        Does nothing while there is evidence above noise or during warm-up.
        """
        if (
            self.explanation.score > NOISE_SCORE_NATS
            or now - self.active_since < WARM_UP_S
        ):
            return
        for is_idempotent in IDEMPOTENCY_CLASSES:
            counts = self.windows[is_idempotent].counts(now)[RATE_WINDOW]
            responses = counts.total - counts.failed
            if responses > 0:
                baseline = self.baseline_slow_shares[is_idempotent]
                observed = counts.slow / responses
                self.baseline_slow_shares[is_idempotent] += BASELINE_EWMA_WEIGHT * (
                    observed - baseline
                )

    def weight(self, now: float, threshold: float) -> float:
        """Return the weight, from 1 down to UNHEALTHY_WEIGHT as the evidence grows."""
        if now < self.low_weight_until:
            return UNHEALTHY_WEIGHT
        severity = (self.explanation.score / threshold - FULL_WEIGHT_SCORE_SHARE) / (
            1 - FULL_WEIGHT_SCORE_SHARE
        )
        weight = 1.0 - min(1.0, max(0.0, severity)) * (1.0 - UNHEALTHY_WEIGHT)
        if self.probation_started_at is not None:
            progress = min(1.0, (now - self.probation_started_at) / PROBATION_S)
            weight = min(
                weight,
                INITIAL_PROBATION_WEIGHT + progress * (1.0 - INITIAL_PROBATION_WEIGHT),
            )
        return weight
