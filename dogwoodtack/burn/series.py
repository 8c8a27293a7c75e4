"""Good and bad requests over time, in a ring of equal stretches."""

from typing import NamedTuple

__all__ = ["Counted", "Series"]


class Counted(NamedTuple):
    """Requests of a stretch of time."""

    total: int
    bad: int


NONE_COUNTED = Counted(0, 0)


class Series:
    """Counts by stretch; what is older than the ring is forgotten.

    Args:
        stretch_s: seconds of one stretch.
        length: how many stretches are kept.
    """

    def __init__(self, stretch_s: int, length: int) -> None:
        self._stretch_s = stretch_s
        self._length = length
        self._counts: dict[int, Counted] = {}

    def add(self, now: float, is_bad: bool) -> None:
        """Count one request."""
        index = int(now // self._stretch_s)
        known = self._counts.get(index)
        if known is None:
            self._forget(index)
            known = NONE_COUNTED
        self._counts[index] = Counted(known.total + 1, known.bad + is_bad)

    def _forget(self, index: int) -> None:
        oldest = index - self._length
        for known in [one for one in self._counts if one <= oldest]:
            del self._counts[known]

    def within(self, now: float, window_s: float) -> Counted:
        """Return the counts of the last seconds, by whole stretches."""
        first = int((now - window_s) // self._stretch_s) + 1
        kept = [count for index, count in self._counts.items() if index >= first]
        return Counted(
            sum(count.total for count in kept), sum(count.bad for count in kept)
        )

    def points(self, now: float) -> list[tuple[int, Counted]]:
        """Return the age in seconds and the counts of each stretch, oldest first."""
        current = int(now // self._stretch_s)
        return [
            ((current - index) * self._stretch_s, self._counts[index])
            for index in sorted(self._counts)
            if current - index < self._length
        ]
