"""An event loop in virtual time, for simulations and tests."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from dogwoodtack.clock import VirtualClock
from dogwoodtack.reactor import Timer

__all__ = ["VirtualLoop"]


class VirtualLoop:
    """A substitute for the reactor that has only timers, run in order of due time.

    Args:
        start: initial virtual time in seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.clock = VirtualClock(start)
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def call_later(self, delay_s: float, fn: Callable[..., None], *args: Any) -> Timer:
        """Call a function after a delay in virtual seconds and return its Timer."""
        timer = Timer(fn, args)
        due = self.clock.now + max(0.0, delay_s)
        heapq.heappush(self._heap, (due, next(self._order), timer))
        return timer

    def call_soon(self, fn: Callable[..., None], *args: Any) -> Timer:
        """Call a function without delay, after calls that are already due."""
        return self.call_later(0.0, fn, *args)

    def run_to(self, end: float) -> None:
        """Run every call that is due up to a time, and advance the clock to it."""
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            self.clock.now = max(self.clock.now, due)
            timer.run()
        self.clock.now = max(self.clock.now, end)

    def run_for(self, seconds: float) -> None:
        """Run every call that is due within a number of seconds."""
        self.run_to(self.clock.now + seconds)
