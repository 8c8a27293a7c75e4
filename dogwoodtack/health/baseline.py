"""What a service's ordinary behaviour is, learned as attempts come in."""

from .messages import Signal
from .scores import Share, dispersion
from .windows import LENGTHS_S

__all__ = ["SlowMark", "Spread"]

SLOW_QUANTILE = 0.75
MARK_STEP = 0.1
FIRST_MARK_STEP = 8.0
OCTAVES_TO_VERY_SLOW = 2
USUAL_STEP = 0.03
ORDINARY_OCTAVES = 0.6
STRAIN_PER_OCTAVE = 2.0
PRIOR_SPREAD = {Signal.FAILED: 1.0, Signal.SLOW: 2.0, Signal.LOST: 1.0}
PRIOR_WEIGHT = 2
MAX_WEIGHT = 20
MAX_SPREAD = 50.0


class SlowMark:
    """The latency bucket that three in four good answers stay below."""

    def __init__(self, buckets_per_octave: int) -> None:
        self.slow = 0.0
        self._to_very_slow = OCTAVES_TO_VERY_SLOW * buckets_per_octave
        self._per_octave = buckets_per_octave
        self._usual: float | None = None
        self._count = 0

    @property
    def very_slow(self) -> float:
        """Return the bucket above which an answer is very slow."""
        return self.slow + self._to_very_slow

    @property
    def strain(self) -> float:
        """Return 1, or more while the whole service is slower than usual."""
        if self._usual is None:
            return 1.0
        octaves = (self.slow - self._usual) / self._per_octave
        return 1.0 + STRAIN_PER_OCTAVE * max(0.0, octaves - ORDINARY_OCTAVES)

    def follow(self) -> None:
        """Let the usual mark follow the present one, over minutes."""
        if self._usual is None:
            self._usual = self.slow
        self._usual += USUAL_STEP * (self.slow - self._usual)

    def learn(self, bucket: int, count: int) -> None:
        """Move towards a bucket that a number of good answers fell into."""
        if not self._count:
            self.slow = float(bucket)
        self._count += count
        step = max(MARK_STEP, FIRST_MARK_STEP / self._count) * count
        if bucket > self.slow:
            self.slow = min(float(bucket), self.slow + step * SLOW_QUANTILE)
        else:
            self.slow = max(float(bucket), self.slow - step * (1 - SLOW_QUANTILE))


class Spread:
    """How much instances differ by chance, for each signal and window."""

    def __init__(self) -> None:
        levels = len(LENGTHS_S)
        self._values = {signal: [PRIOR_SPREAD[signal]] * levels for signal in Signal}
        self._weights = {signal: [PRIOR_WEIGHT] * levels for signal in Signal}

    def value(self, signal: Signal, level: int) -> float:
        """Return the dispersion to divide a test's evidence by, at least 1."""
        return max(1.0, self._values[signal][level])

    def learn(self, signal: Signal, level: int, shares: list[Share]) -> None:
        """Take one window's counts of all instances as a further observation."""
        seen = dispersion(shares)
        if seen is None:
            return
        weight = min(MAX_WEIGHT, self._weights[signal][level] + 1)
        value = self._values[signal][level]
        value += (min(seen, MAX_SPREAD) - value) / weight
        self._weights[signal][level] = weight
        self._values[signal][level] = value
