"""The holder's decisions for one service: which instances to eject, and until when.

Nothing here reads a clock or does I/O; the time is passed in.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..health import Verdict
from .budget import Budget
from .messages import CLOCK_MARGIN_S, GRANT_TTL_S

__all__ = ["Ejection", "Holder"]

EjectionTime = Callable[[str], float]


class Ejection(NamedTuple):
    """One ejection; each pull renews its grant.

    Attributes:
        since: boottime in seconds when it began.
        ejected_until: boottime in seconds from which it is no longer renewed.
    """

    since: float
    ejected_until: float


class Holder:
    """Grant removals so that no more instances than the limit are out of rotation."""

    def __init__(self) -> None:
        self.budget = Budget()
        self.ejections: dict[str, Ejection] = {}
        self.refused: list[str] = []
        self._grant_ends: dict[str, float] = {}
        self._returning: set[str] = set()

    def outstanding(self, now: float) -> set[str]:
        """Return the instances that some entry host may still treat as ejected."""
        self._grant_ends = {
            name: end for name, end in self._grant_ends.items() if end > now
        }
        return set(self._grant_ends)

    def removed(self, now: float) -> set[str]:
        """Return every instance that counts as out of rotation."""
        return self.budget.occupied | self.outstanding(now) | self.ejections.keys()

    def can_admit_drains(self, now: float) -> bool:
        """Return whether the drains fit in the limit beside every outstanding grant."""
        return len(self.removed(now)) <= self.budget.limit

    def review(
        self, verdicts: Sequence[Verdict], now: float, ejection_time_s: EjectionTime
    ) -> list[str]:
        """End, drop and begin ejections.

        Args:
            verdicts: the verdicts from the pooled evidence, worst first.
            now: boottime in seconds.
            ejection_time_s: returns for how many seconds an instance is to be ejected.

        Returns:
            The instances whose ejection has ended and that no entry host may treat as
            ejected any more.
        """
        returned = self._end_expired(now)
        self._drop_excess()
        self.refused = []
        for verdict in verdicts:
            if verdict.is_sick and verdict.instance not in returned:
                self._eject(verdict.instance, now, ejection_time_s)
        return returned

    def _end_expired(self, now: float) -> list[str]:
        for name, ejection in list(self.ejections.items()):
            if ejection.ejected_until <= now:
                del self.ejections[name]
                self._returning.add(name)
        returned = sorted(self._returning - self.outstanding(now))
        self._returning.difference_update(returned)
        return returned

    def _drop_excess(self) -> None:
        """Drop the ejections that exceed the limit; the oldest are kept."""
        occupied = self.budget.occupied
        capacity = self.budget.limit - len(occupied)
        outside = [name for name in self.ejections if name not in occupied]
        outside.sort(key=lambda name: self.ejections[name].since)
        for name in outside[max(0, capacity) :]:
            del self.ejections[name]

    def _eject(self, name: str, now: float, ejection_time_s: EjectionTime) -> None:
        is_out = name in self.ejections or name in self.budget.occupied
        if is_out or name in self._returning:
            return
        if len(self.removed(now) | {name}) > self.budget.limit:
            self.refused.append(name)
            return
        self.ejections[name] = Ejection(now, now + ejection_time_s(name))

    def grant(self, now: float) -> list[str]:
        """Return the instances that a puller may treat as ejected for GRANT_TTL_S.

        The puller counts from when it sent its pull, which was before `now`, so the
        grant expires there before the end that is stored here.
        """
        for name in self.ejections:
            self._grant_ends[name] = now + GRANT_TTL_S + CLOCK_MARGIN_S
        return sorted(self.ejections)
