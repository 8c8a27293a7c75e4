"""What is known of one instance."""

import math

from .ejection_backoff import Hold
from .messages import Explanation
from .windows import RATE_LEVEL, Windows

__all__ = ["CALM_SCORE", "CLASSES", "Track", "USUAL_SLOW_SHARE", "WARM_UP_S"]

CLASSES = (True, False)
PROBATION_S = 20.0
PROBATION_WEIGHT = 0.1
SICK_WEIGHT = 0.05
DOUBTFUL = 0.5
OUT_OF_WORK_S = 8.0
USUAL_SLOW_SHARE = 0.25
PAST_STEP = 0.03
CALM_SCORE = 4.0
WARM_UP_S = 30.0


class Track:
    """What is known of one instance."""

    def __init__(self, now: float) -> None:
        self.windows = {is_idempotent: Windows() for is_idempotent in CLASSES}
        self.hold = Hold()
        self.new_since = now
        self.seen_at = -math.inf
        self.probation_at: float | None = None
        self.lowered_until = 0.0
        self.bad_sources: dict[str, float] = {}
        self.usual_slow = dict.fromkeys(CLASSES, USUAL_SLOW_SHARE)
        self.explanation = Explanation()
        self.is_sick = False
        self.was_sick = False

    def is_out(self, now: float) -> bool:
        """Return whether an instance was suspect and gets no work any more."""
        return self.was_sick and now - self.seen_at > OUT_OF_WORK_S

    def begin_probation(self, now: float) -> None:
        """Drop the evidence, not what is usual for the instance."""
        self.windows = {is_idempotent: Windows() for is_idempotent in CLASSES}
        self.bad_sources.clear()
        self.explanation = Explanation()
        self.probation_at = now
        self.lowered_until = 0.0
        self.is_sick = False
        self.was_sick = False
        self.hold.note_return(now)

    def end_probation(self, now: float) -> None:
        """End a probation that has lasted long enough."""
        if self.probation_at is not None and now - self.probation_at > PROBATION_S:
            self.probation_at = None

    def learn_usual(self, now: float) -> None:
        """Follow the ordinary share of slow answers while the instance is calm."""
        if self.explanation.score > CALM_SCORE or now - self.new_since < WARM_UP_S:
            return
        for is_idempotent in CLASSES:
            counts = self.windows[is_idempotent].counts(now)[RATE_LEVEL]
            answered = counts.total - counts.failed
            if answered > 0:
                usual = self.usual_slow[is_idempotent]
                seen = counts.slow / answered
                self.usual_slow[is_idempotent] += PAST_STEP * (seen - usual)

    def weight(self, now: float, limit: float) -> float:
        """Return from SICK_WEIGHT to 1, falling as the evidence grows."""
        if now < self.lowered_until:
            return SICK_WEIGHT
        doubt = (self.explanation.score / limit - DOUBTFUL) / (1 - DOUBTFUL)
        weight = 1.0 - min(1.0, max(0.0, doubt)) * (1.0 - SICK_WEIGHT)
        if self.probation_at is not None:
            passed = min(1.0, (now - self.probation_at) / PROBATION_S)
            weight = min(weight, PROBATION_WEIGHT + passed * (1.0 - PROBATION_WEIGHT))
        return weight
