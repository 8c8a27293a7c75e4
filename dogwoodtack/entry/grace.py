"""The time that a planned stop leaves, and which requests can be finished in it."""

import math

from ..clock import Clock

__all__ = ["GracePeriod"]

# A request may take this much longer than the slowest one of its route of late.
MARGIN_FACTOR = 1.25
MARGIN_S = 0.1
# The slowest one is remembered for one to two times as long.
MEMORY_S = 60.0


class GracePeriod:
    """Tell whether a request that is sent now ends before this host does.

    Args:
        clock: the current time.

    Attributes:
        ends_at: monotonic time at which the host ends; infinite unless it stops.
    """

    def __init__(self, clock: Clock) -> None:
        self.ends_at = math.inf
        self._clock = clock
        self._longest_s: dict[str, float] = {}
        self._earlier_longest_s: dict[str, float] = {}
        self._remembered_since = clock.monotonic()

    @property
    def is_running(self) -> bool:
        """Return whether the host is stopping."""
        return self.ends_at < math.inf

    def begin(self, length_s: float) -> None:
        """Begin the planned stop, which ends in so many seconds."""
        self.ends_at = self._clock.monotonic() + length_s

    def record(self, route: str, seconds: float) -> None:
        """Remember how long an attempt of a request took, also without a response."""
        now = self._clock.monotonic()
        if now - self._remembered_since >= MEMORY_S:
            self._earlier_longest_s, self._longest_s = self._longest_s, {}
            self._remembered_since = now
        self._longest_s[route] = max(seconds, self._longest_s.get(route, 0.0))

    def can_finish(self, route: str, deadline: float) -> bool:
        """Return whether a request that is sent now ends in time.

        Args:
            route: name of its route.
            deadline: its deadline on the monotonic clock; it ends then at the latest.
        """
        if self.ends_at >= deadline:
            return True
        longest_s = max(
            self._longest_s.get(route, 0.0), self._earlier_longest_s.get(route, 0.0)
        )
        if not longest_s:
            # Nothing but its deadline is known of the route.
            return False
        needed_s = MARGIN_FACTOR * longest_s + MARGIN_S
        return self._clock.monotonic() + needed_s <= self.ends_at
