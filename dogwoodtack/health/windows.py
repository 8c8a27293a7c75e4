"""Counts of attempts over several sliding windows at once."""

from typing import NamedTuple

__all__ = ["Counts", "LENGTHS_S", "RATE_LEVEL", "Window", "Windows"]

LENGTHS_S = (1.0, 3.0, 9.0, 27.0, 81.0)
RATE_LEVEL = 2
PARTS = 4


class Counts(NamedTuple):
    """What was seen in one window.

    Attributes:
        total: attempts that ended, sheds left out.
        failed: those without a good answer.
        slow: good answers above the service's slow mark.
        very_slow: good answers far above it.
    """

    total: float = 0.0
    failed: float = 0.0
    slow: float = 0.0
    very_slow: float = 0.0


class Window:
    """Counts over one sliding window, kept in a few equal parts."""

    __slots__ = ("_parts", "_totals", "_turn", "part_s")

    def __init__(self, length_s: float) -> None:
        self.part_s = length_s / PARTS
        self._turn = 0
        self._totals = [0.0] * len(Counts._fields)
        self._parts = [[0.0] * len(Counts._fields) for _ in range(PARTS)]

    def add(self, now: float, counts: Counts) -> None:
        """Add counts at a monotonic time in seconds."""
        self._rotate(now)
        part = self._parts[self._turn % PARTS]
        totals = self._totals
        for index, count in enumerate(counts):
            if count:
                part[index] += count
                totals[index] += count

    def counts(self, now: float) -> Counts:
        """Return what the window holds at a monotonic time in seconds."""
        self._rotate(now)
        return Counts._make(self._totals)

    def _rotate(self, now: float) -> None:
        """Drop the parts that have grown too old."""
        turn = int(now / self.part_s)
        if turn <= self._turn:
            return
        for stale in range(max(self._turn + 1, turn - PARTS + 1), turn + 1):
            part = self._parts[stale % PARTS]
            if not part[0]:
                continue
            for index, count in enumerate(part):
                self._totals[index] -= count
                part[index] = 0.0
        self._turn = turn


class Windows:
    """The windows of one instance and request class."""

    __slots__ = ("_windows",)

    def __init__(self) -> None:
        self._windows = [Window(length_s) for length_s in LENGTHS_S]

    def add(self, now: float, counts: Counts) -> None:
        """Add counts to every window."""
        for window in self._windows:
            window.add(now, counts)

    def counts(self, now: float) -> list[Counts]:
        """Return what each window holds, the shortest first."""
        return [window.counts(now) for window in self._windows]
