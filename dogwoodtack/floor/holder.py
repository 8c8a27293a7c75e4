"""The holder's decisions for one service: whom to eject, and until when.

Everything here is a pure function of what is passed in, the time among it.
"""

from collections.abc import Sequence
from typing import NamedTuple

from ..health import Verdict
from .budget import Budget
from .messages import CLOCK_MARGIN_S, GRANT_TTL_S

__all__ = ["Ejection", "Holder"]

FIRST_HOLD_S = 10.0
MAX_HOLD_S = 320.0
CALM_S = 120.0
"""Seconds in work after which an instance's earlier ejections are forgotten."""


class Ejection(NamedTuple):
    """One ejection that is renewed with every pull.

    Attributes:
        since: boottime in seconds when it began.
        hold_until: boottime in seconds when the instance comes back on trial.
        hold_s: how long it is held.
    """

    since: float
    hold_until: float
    hold_s: float


class Holder:
    """Grant removals so that never more than the limit are out of work."""

    def __init__(self) -> None:
        self.budget = Budget()
        self.ejections: dict[str, Ejection] = {}
        self._live: dict[str, float] = {}
        self._past: dict[str, Ejection] = {}

    def live(self, now: float) -> set[str]:
        """Return the instances that some entry host may still treat as ejected."""
        self._live = {name: end for name, end in self._live.items() if end > now}
        return set(self._live)

    def removed(self, now: float) -> set[str]:
        """Return every instance that counts as out of work."""
        return self.budget.occupied | self.live(now) | self.ejections.keys()

    def is_settled(self, now: float) -> bool:
        """Return whether the drains fit beside every grant still in use."""
        return len(self.removed(now)) <= self.budget.limit

    def review(self, verdicts: Sequence[Verdict], now: float) -> None:
        """End, drop and begin ejections.

        Args:
            verdicts: what the pooled evidence says, worst first.
            now: boottime in seconds.
        """
        self._end_due(now)
        self._shrink()
        for verdict in verdicts:
            if verdict.is_sick:
                self._eject(verdict.instance, now)

    def _end_due(self, now: float) -> None:
        for name, ejection in list(self.ejections.items()):
            if ejection.hold_until <= now:
                self._past[name] = self.ejections.pop(name)

    def _shrink(self) -> None:
        """Renew no more ejections than fit, the oldest first."""
        occupied = self.budget.occupied
        room = self.budget.limit - len(occupied)
        outside = [name for name in self.ejections if name not in occupied]
        outside.sort(key=lambda name: self.ejections[name].since)
        for name in outside[max(0, room) :]:
            del self.ejections[name]

    def _eject(self, name: str, now: float) -> None:
        removed = self.removed(now)
        if name in self.ejections or name in self.budget.occupied:
            return
        if len(removed | {name}) > self.budget.limit:
            return
        hold_s = self._hold_s(name, now)
        self.ejections[name] = Ejection(now, now + hold_s, hold_s)

    def _hold_s(self, name: str, now: float) -> float:
        """Return the hold, doubled for an instance that fell sick again soon."""
        past = self._past.get(name)
        if past is None or now - past.hold_until > CALM_S:
            return FIRST_HOLD_S
        return min(MAX_HOLD_S, 2 * past.hold_s)

    def grant(self, now: float) -> list[str]:
        """Return what a puller may treat as ejected for GRANT_TTL_S.

        The puller counts from when it sent its pull, which was before `now`, so
        its use ends before the time kept here.
        """
        for name in self.ejections:
            self._live[name] = now + GRANT_TTL_S + CLOCK_MARGIN_S
        return sorted(self.ejections)
