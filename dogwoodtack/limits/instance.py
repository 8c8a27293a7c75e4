"""This entry host's load on one instance, and the instance's recent behaviour."""

import math

__all__ = ["InstanceLoad"]

EWMA_WEIGHT = 0.2
MIN_LATENCY_S = 0.001
LATENCY_DECAY_S = 2.0
OVERLOAD_COST_FACTOR = 4.0
OVERLOAD_PENALTY_S = 0.5
RECENT_OVERLOAD_S = 5.0
SLOW_START_S = 10.0
SLOW_START_MIN_WEIGHT = 0.1


class InstanceLoad:
    """Requests in flight, average latency, recent overload and slow start."""

    def __init__(self, slow_start_at: float | None = None) -> None:
        self.in_flight = 0
        self._latency_s: float | None = None
        self._latency_at = 0.0
        self._overloaded_at: float | None = None
        self._is_unavailable = False
        self._slow_start_at = slow_start_at

    def mark_unavailable(self) -> None:
        """Record that the instance takes no requests now."""
        self._is_unavailable = True

    def mark_available(self, now: float) -> None:
        """Record that it may take requests; slow start begins if it was unavailable."""
        if self._is_unavailable:
            self._is_unavailable = False
            self._slow_start_at = now

    def record_response(self, now: float, latency_s: float) -> None:
        """Update the average latency from one response, in seconds."""
        self.mark_available(now)
        previous_s = latency_s if self._latency_s is None else self._latency_s
        self._latency_s = previous_s + EWMA_WEIGHT * (latency_s - previous_s)
        self._latency_at = now

    def record_overload(self, now: float) -> None:
        """Record that it shed a request or did not respond in time."""
        self._overloaded_at = now

    def is_recently_overloaded(self, now: float) -> bool:
        """Return whether it shed or did not respond in the last five seconds."""
        return (
            self._overloaded_at is not None
            and now - self._overloaded_at < RECENT_OVERLOAD_S
        )

    def slow_start_weight(self, now: float) -> float:
        """Return the weight in slow start, which rises from 0.1 to 1."""
        if self._slow_start_at is None:
            return 1.0
        progress = (now - self._slow_start_at) / SLOW_START_S
        if progress >= 1.0:
            self._slow_start_at = None
            return 1.0
        return SLOW_START_MIN_WEIGHT + (1.0 - SLOW_START_MIN_WEIGHT) * max(
            0.0, progress
        )

    def expected_cost_s(self, now: float, service_latency_s: float) -> float:
        """Return a rough estimate of how long one more request takes, in seconds.

        Old latency decays towards the service's average, so that an instance that
        was slow once is tried again.

        Args:
            now: monotonic time in seconds.
            service_latency_s: the service's average latency in seconds.
        """
        latency_s = service_latency_s
        if self._latency_s is not None:
            decay = math.exp((self._latency_at - now) / LATENCY_DECAY_S)
            latency_s += (self._latency_s - service_latency_s) * decay
        cost_s = (self.in_flight + 1) * max(MIN_LATENCY_S, latency_s)
        if (
            self._overloaded_at is not None
            and now - self._overloaded_at < OVERLOAD_PENALTY_S
        ):
            return cost_s * OVERLOAD_COST_FACTOR
        return cost_s
