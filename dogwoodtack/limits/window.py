"""Adaptive limit of one entry host's concurrent requests to a service."""

__all__ = ["ConcurrencyWindow"]

MIN_LIMIT = 0.2
DECREASE_FACTOR = 0.8
GROWTH_PER_RESPONSE = 0.04
MAX_GROWTH = 1.0


class ConcurrencyWindow:
    """A concurrency limit that shrinks when back ends are overloaded.

    The limit begins at all of the service's slots, because a single entry host may
    use them all.  It decreases by a fifth, at most once per response latency,
    because requests sent before a decrease do not show its effect.  After that it
    grows slowly, and faster the longer there is no overload.

    A limit below 1 is kept by pauses between requests: a service may have fewer
    slots than there are entry hosts that use it.
    """

    def __init__(self, slots: int) -> None:
        self.limit = max(MIN_LIMIT, float(slots))
        self._decreased_at: float | None = None

    def on_response(self, now: float, is_limited: bool, max_limit: float) -> None:
        """Grow the limit if it was in use.

        Args:
            now: monotonic time in seconds.
            is_limited: whether requests wait or the limit is reached.
            max_limit: upper bound of the limit.
        """
        if is_limited:
            self.limit = min(max(MIN_LIMIT, max_limit), self.limit + self._growth(now))

    def _growth(self, now: float) -> float:
        if self._decreased_at is None:
            return MAX_GROWTH
        since_decrease_s = max(1.0, now - self._decreased_at)
        growth = GROWTH_PER_RESPONSE * min(1.0, self.limit)
        return min(MAX_GROWTH, growth * since_decrease_s)

    def pause_s(self, latency_s: float) -> float:
        """Return the seconds to wait after one request before the next."""
        return latency_s * max(0.0, 1.0 / self.limit - 1.0)

    def on_overload(self, now: float, latency_s: float) -> None:
        """Decrease the limit, unless the last decrease is too recent to show effect.

        Args:
            now: monotonic time in seconds.
            latency_s: average response latency in seconds.
        """
        if self._decreased_at is not None and now - self._decreased_at < latency_s:
            return
        self._decreased_at = now
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
