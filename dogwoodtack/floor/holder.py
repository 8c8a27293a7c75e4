"""The holder's decisions for one service: whom to eject, and until when.

Everything here is a pure function of what is passed in, the time among it.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..health import Verdict
from .budget import Budget
from .messages import CLOCK_MARGIN_S, GRANT_TTL_S

__all__ = ["Ejection", "Holder"]

HoldFor = Callable[[str], float]


class Ejection(NamedTuple):
    """One ejection that is renewed with every pull.

    Attributes:
        since: boottime in seconds when it began.
        hold_until: boottime in seconds when the instance comes back on trial.
    """

    since: float
    hold_until: float


class Holder:
    """Grant removals so that never more than the limit are out of work."""

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
        """Return every instance that counts as out of work."""
        return self.budget.occupied | self.outstanding(now) | self.ejections.keys()

    def can_admit_drains(self, now: float) -> bool:
        """Return whether the drains fit beside every grant still in use."""
        return len(self.removed(now)) <= self.budget.limit

    def review(
        self, verdicts: Sequence[Verdict], now: float, hold_for: HoldFor
    ) -> list[str]:
        """End, drop and begin ejections.

        Args:
            verdicts: what the pooled evidence says, worst first.
            now: boottime in seconds.
            hold_for: tells how many seconds an instance is to be held.

        Returns:
            The instances that are back in work everywhere after their hold.
        """
        returned = self._end_expired(now)
        self._drop_excess()
        self.refused = []
        for verdict in verdicts:
            if verdict.is_sick and verdict.instance not in returned:
                self._eject(verdict.instance, now, hold_for)
        return returned

    def _end_expired(self, now: float) -> list[str]:
        for name, ejection in list(self.ejections.items()):
            if ejection.hold_until <= now:
                del self.ejections[name]
                self._returning.add(name)
        returned = sorted(self._returning - self.outstanding(now))
        self._returning.difference_update(returned)
        return returned

    def _drop_excess(self) -> None:
        """Renew no more ejections than fit, the oldest first."""
        occupied = self.budget.occupied
        room = self.budget.limit - len(occupied)
        outside = [name for name in self.ejections if name not in occupied]
        outside.sort(key=lambda name: self.ejections[name].since)
        for name in outside[max(0, room) :]:
            del self.ejections[name]

    def _eject(self, name: str, now: float, hold_for: HoldFor) -> None:
        is_out = name in self.ejections or name in self.budget.occupied
        if is_out or name in self._returning:
            return
        if len(self.removed(now) | {name}) > self.budget.limit:
            self.refused.append(name)
            return
        self.ejections[name] = Ejection(now, now + hold_for(name))

    def grant(self, now: float) -> list[str]:
        """Return what a puller may treat as ejected for GRANT_TTL_S.

        The puller counts from when it sent its pull, which was before `now`, so
        its use ends before the time kept here.
        """
        for name in self.ejections:
            self._grant_ends[name] = now + GRANT_TTL_S + CLOCK_MARGIN_S
        return sorted(self.ejections)
