"""Attempt counts over sliding windows of several lengths."""

from typing import NamedTuple

__all__ = [
    "Counts",
    "RATE_WINDOW",
    "SlidingWindow",
    "SlidingWindows",
    "WINDOW_LENGTHS_S",
]

WINDOW_LENGTHS_S = (1.0, 3.0, 9.0, 27.0, 81.0)
RATE_WINDOW = 2
SLICES_PER_WINDOW = 4


class Counts(NamedTuple):
    """Attempt counts of one window.

    Attributes:
        total: attempts that ended, without those that were shed.
        failed: failed attempts.
        slow: successful responses above the service's slow threshold.
        very_slow: successful responses far above it; `slow` includes them.
    """

    total: float = 0.0
    failed: float = 0.0
    slow: float = 0.0
    very_slow: float = 0.0


class SlidingWindow:
    """Counts over one sliding window, divided into equal time slices."""

    __slots__ = ("_slices", "_totals", "_slice_number", "slice_s")

    def __init__(self, length_s: float) -> None:
        self.slice_s = length_s / SLICES_PER_WINDOW
        self._slice_number = 0
        self._totals = [0.0] * len(Counts._fields)
        self._slices = [[0.0] * len(Counts._fields) for _ in range(SLICES_PER_WINDOW)]

    def add(self, now: float, counts: Counts) -> None:
        """Add counts at a monotonic time in seconds."""
        self._rotate(now)
        current = self._slices[self._slice_number % SLICES_PER_WINDOW]
        totals = self._totals
        for index, count in enumerate(counts):
            if count:
                current[index] += count
                totals[index] += count

    def counts(self, now: float) -> Counts:
        """Return the window's counts at a monotonic time in seconds."""
        self._rotate(now)
        return Counts._make(self._totals)

    def _rotate(self, now: float) -> None:
        """Clear the slices that have left the window."""
        slice_number = int(now / self.slice_s)
        if slice_number <= self._slice_number:
            return
        for number in range(
            max(self._slice_number + 1, slice_number - SLICES_PER_WINDOW + 1),
            slice_number + 1,
        ):
            expired = self._slices[number % SLICES_PER_WINDOW]
            if not expired[0]:
                continue
            for index, count in enumerate(expired):
                self._totals[index] -= count
                expired[index] = 0.0
        self._slice_number = slice_number


class SlidingWindows:
    """The sliding windows of one instance and request class."""

    __slots__ = ("_windows",)

    def __init__(self) -> None:
        self._windows = [SlidingWindow(length_s) for length_s in WINDOW_LENGTHS_S]

    def add(self, now: float, counts: Counts) -> None:
        """Add counts to every window."""
        for window in self._windows:
            window.add(now, counts)

    def counts(self, now: float) -> list[Counts]:
        """Return each window's counts, the shortest window first."""
        return [window.counts(now) for window in self._windows]
