"""Baselines of a service's normal behaviour, learned online from its attempts."""

from .messages import Signal
from .scores import Share, dispersion
from .windows import WINDOW_LENGTHS_S

__all__ = ["Dispersion", "SlowThreshold"]

SLOW_THRESHOLD_QUANTILE = 0.75
MIN_THRESHOLD_STEP_BUCKETS = 0.1
INITIAL_THRESHOLD_STEP_BUCKETS = 8.0
VERY_SLOW_OCTAVES = 2
BASELINE_EWMA_WEIGHT = 0.03
NORMAL_VARIATION_OCTAVES = 0.6
SLOWDOWN_FACTOR_PER_OCTAVE = 2.0
PRIOR_DISPERSION = {Signal.FAILED: 1.0, Signal.SLOW: 2.0, Signal.LOST: 1.0}
PRIOR_SAMPLES = 2
MAX_SAMPLES = 20
MAX_DISPERSION = 50.0


class SlowThreshold:
    """Online estimate of the 75th percentile of response latency, as a bucket."""

    def __init__(self, buckets_per_octave: int) -> None:
        self.slow_bucket = 0.0
        self._very_slow_offset = VERY_SLOW_OCTAVES * buckets_per_octave
        self._buckets_per_octave = buckets_per_octave
        self._baseline: float | None = None
        self._count = 0

    @property
    def very_slow_bucket(self) -> float:
        """Return the bucket above which a response is very slow."""
        return self.slow_bucket + self._very_slow_offset

    @property
    def slowdown_factor(self) -> float:
        """Return 1, or more while the whole service is slower than its baseline."""
        if self._baseline is None:
            return 1.0
        octaves = (self.slow_bucket - self._baseline) / self._buckets_per_octave
        return 1.0 + SLOWDOWN_FACTOR_PER_OCTAVE * max(
            0.0, octaves - NORMAL_VARIATION_OCTAVES
        )

    def update_baseline(self) -> None:
        """Move the baseline towards the current threshold, over minutes."""
        if self._baseline is None:
            self._baseline = self.slow_bucket
        self._baseline += BASELINE_EWMA_WEIGHT * (self.slow_bucket - self._baseline)

    def observe(self, bucket: int, count: int) -> None:
        """Move the threshold towards the bucket of some successful responses."""
        if not self._count:
            self.slow_bucket = float(bucket)
        self._count += count
        step = (
            max(
                MIN_THRESHOLD_STEP_BUCKETS, INITIAL_THRESHOLD_STEP_BUCKETS / self._count
            )
            * count
        )
        if bucket > self.slow_bucket:
            self.slow_bucket = min(
                float(bucket), self.slow_bucket + step * SLOW_THRESHOLD_QUANTILE
            )
        else:
            self.slow_bucket = max(
                float(bucket), self.slow_bucket - step * (1 - SLOW_THRESHOLD_QUANTILE)
            )


class Dispersion:
    """How much instances differ by chance, learned for each signal and window."""

    def __init__(self) -> None:
        windows = len(WINDOW_LENGTHS_S)
        self._values = {
            signal: [PRIOR_DISPERSION[signal]] * windows for signal in Signal
        }
        self._samples = {signal: [PRIOR_SAMPLES] * windows for signal in Signal}

    def value(self, signal: Signal, window_index: int) -> float:
        """Return the dispersion to divide a test's evidence by, at least 1."""
        return max(1.0, self._values[signal][window_index])

    def observe(self, signal: Signal, window_index: int, shares: list[Share]) -> None:
        """Update the value from the shares of all instances in one window."""
        observed = dispersion(shares)
        if observed is None:
            return
        samples = min(MAX_SAMPLES, self._samples[signal][window_index] + 1)
        value = self._values[signal][window_index]
        value += (min(observed, MAX_DISPERSION) - value) / samples
        self._samples[signal][window_index] = samples
        self._values[signal][window_index] = value
