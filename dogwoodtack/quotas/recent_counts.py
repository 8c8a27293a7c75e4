"""Recent requests by organisation, with the weight of past ones decaying."""

import math

__all__ = ["RECENT_S", "RecentCounts"]

# Time constant with which past requests are forgotten: two reports of a zone.
RECENT_S = 0.5
# Counts below it are forgotten.
MIN_COUNT = 0.01


class RecentCounts:
    """Count recent requests; a count divided by `RECENT_S` is their rate."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[str, tuple[float, float]] = {}

    def __bool__(self) -> bool:
        return bool(self._counts)

    def add(self, organisation: str, requests: float, now: float) -> None:
        """Add requests."""
        self._counts[organisation] = self.count(organisation, now) + requests, now

    def count(self, organisation: str, now: float) -> float:
        """Return the recent requests at a time on the monotonic clock."""
        known = self._counts.get(organisation)
        if known is None:
            return 0.0
        count, at = known
        return count * math.exp(min(0.0, at - now) / RECENT_S)

    def names(self, now: float) -> list[str]:
        """Return the organisations with recent requests, and forget the others."""
        for name in list(self._counts):
            if self.count(name, now) < MIN_COUNT:
                del self._counts[name]
        return list(self._counts)
