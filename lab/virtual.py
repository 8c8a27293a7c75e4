"""A loop in virtual time, for experiments and tests of decisions."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from dogwoodtack.clock import VirtualClock
from dogwoodtack.reactor import Timer

__all__ = ["VirtualLoop"]


class VirtualLoop:
    """Stand in for the reactor: timers only, in order of their time.

    Args:
        start: the virtual time to begin with, in seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.clock = VirtualClock(start)
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def call_later(self, delay_s: float, fn: Callable[..., None], *args: Any) -> Timer:
        """Call a function after some virtual seconds and return its Timer."""
        timer = Timer(fn, args)
        due = self.clock.now + max(0.0, delay_s)
        heapq.heappush(self._heap, (due, next(self._order), timer))
        return timer

    def call_soon(self, fn: Callable[..., None], *args: Any) -> Timer:
        """Call a function before any later one."""
        return self.call_later(0.0, fn, *args)

    def run_to(self, end: float) -> None:
        """Make every call that is due before a time."""
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            self.clock.now = max(self.clock.now, due)
            timer.run()
        self.clock.now = max(self.clock.now, end)

    def run_for(self, seconds: float) -> None:
        """Make every call that is due within some seconds."""
        self.run_to(self.clock.now + seconds)
