"""How many requests of a service one entry host may have under way at once."""

__all__ = ["Window"]

MIN_LIMIT = 0.2
SHED_FACTOR = 0.8
GROWTH_PER_ANSWER = 0.04
FULL_GROWTH = 1.0


class Window:
    """Learn a limit from the back ends' shedding.

    The limit begins at all of the service's slots, because a single entry host
    may use them all.  It falls by a fifth at most once in the time an answer
    takes, because what was sent before the fall says nothing about it, and
    grows slowly after that, faster the longer nothing is shed.

    A limit under 1 is kept by pauses between requests: many hosts may share a
    service that has fewer slots than there are hosts.
    """

    def __init__(self, slots: int) -> None:
        self.limit = max(MIN_LIMIT, float(slots))
        self._shed_at: float | None = None

    def on_answer(self, now: float, is_limited: bool, most: float) -> None:
        """Grow where the limit was in use.

        Args:
            now: monotonic time in seconds.
            is_limited: whether the limit kept requests waiting, or nearly so.
            most: the largest limit that makes sense.
        """
        if is_limited:
            self.limit = min(max(MIN_LIMIT, most), self.limit + self._growth(now))

    def _growth(self, now: float) -> float:
        if self._shed_at is None:
            return FULL_GROWTH
        calm_s = max(1.0, now - self._shed_at)
        growth = GROWTH_PER_ANSWER * min(1.0, self.limit)
        return min(FULL_GROWTH, growth * calm_s)

    def pause_s(self, latency_s: float) -> float:
        """Return the seconds to wait after one request before the next."""
        return latency_s * max(0.0, 1.0 / self.limit - 1.0)

    def on_shed(self, now: float, latency_s: float) -> None:
        """Shrink, unless the last fall is too fresh to have shown its effect."""
        if self._shed_at is not None and now - self._shed_at < latency_s:
            return
        self._shed_at = now
        self.limit = max(MIN_LIMIT, self.limit * SHED_FACTOR)
