"""What this entry host has under way at one instance, and how it fares there."""

import math

__all__ = ["InstanceLoad"]

EWMA_SHARE = 0.2
MIN_LATENCY_S = 0.001
FORGET_S = 2.0
SHED_COST = 4.0
SHED_MEMORY_S = 0.5
SPREAD_MEMORY_S = 5.0
SLOW_START_S = 10.0
SLOW_START_SHARE = 0.1


class InstanceLoad:
    """Count requests under way and remember latency, sheds and returns."""

    def __init__(self, slow_start_at: float | None = None) -> None:
        self.in_use = 0
        self._latency_s: float | None = None
        self._sample_at = 0.0
        self._shed_at: float | None = None
        self._is_away = False
        self._slow_start_at = slow_start_at

    def note_away(self) -> None:
        """Note that the instance takes no work now."""
        self._is_away = True

    def note_present(self, now: float) -> None:
        """Note that it may take work; slow start begins if it was away."""
        if self._is_away:
            self._is_away = False
            self._slow_start_at = now

    def on_answer(self, now: float, latency_s: float) -> None:
        """Take one answer's latency in seconds."""
        self.note_present(now)
        known = latency_s if self._latency_s is None else self._latency_s
        self._latency_s = known + EWMA_SHARE * (latency_s - known)
        self._sample_at = now

    def on_shed(self, now: float) -> None:
        """Note that it shed a request."""
        self._shed_at = now

    def has_shed(self, now: float) -> bool:
        """Return whether it shed or did not answer in the last five seconds."""
        return self._shed_at is not None and now - self._shed_at < SPREAD_MEMORY_S

    def ramp(self, now: float) -> float:
        """Return from 0.1 to 1 how far the slow start has come."""
        if self._slow_start_at is None:
            return 1.0
        share = (now - self._slow_start_at) / SLOW_START_S
        if share >= 1.0:
            self._slow_start_at = None
            return 1.0
        return SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * max(0.0, share)

    def cost(self, now: float, usual_s: float) -> float:
        """Return how long a further request would take, roughly, in seconds.

        An old latency fades into the service's usual one, so that an instance
        that was slow once is tried again.
        """
        latency_s = usual_s
        if self._latency_s is not None:
            fade = math.exp((self._sample_at - now) / FORGET_S)
            latency_s += (self._latency_s - usual_s) * fade
        cost = (self.in_use + 1) * max(MIN_LATENCY_S, latency_s)
        if self._shed_at is not None and now - self._shed_at < SHED_MEMORY_S:
            return cost * SHED_COST
        return cost
