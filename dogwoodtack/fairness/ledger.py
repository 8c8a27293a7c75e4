"""Recent work of each organisation, at this host and at others."""

import math
from typing import NamedTuple

__all__ = ["UsageLedger"]

# Time constant with which past work is forgotten.
USAGE_DECAY_S = 5.0


class _Usage(NamedTuple):
    """Work of an organisation in seconds, decayed until a monotonic time."""

    work_s: float
    at: float

    def decayed(self, now: float) -> float:
        return self.work_s * math.exp((self.at - now) / USAGE_DECAY_S)


class UsageLedger:
    """Sum the work of each organisation, with the weight of past work decaying.

    Load pattern: one organisation sends many times its usual rate. Work that is granted
    without waiting counts as well: queues are often too short to hold one request of
    each organisation.
    """

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}
        self._own_totals_s: dict[str, float] = {}
        self._reported_s: dict[tuple[str, str], float] = {}

    def usage_s(self, organisation: str, now: float) -> float:
        """Return an organisation's recent work in seconds."""
        usage = self._usages.get(organisation)
        return 0.0 if usage is None else usage.decayed(now)

    def record(self, organisation: str, work_s: float, now: float) -> None:
        """Add work that this host has granted, in seconds of an instance's slot."""
        total_s = self._own_totals_s.get(organisation, 0.0)
        self._own_totals_s[organisation] = total_s + work_s
        self._add(organisation, work_s, now)

    def totals(self) -> dict[str, float]:
        """Return the work in seconds that this host has granted since its start."""
        return dict(self._own_totals_s)

    def on_total(
        self, source: str, organisation: str, total_s: float, now: float
    ) -> None:
        """Apply a total that another host or zone reports.

        Args:
            source: name of the host or zone.
            organisation: the organisation.
            total_s: its work there in seconds, since the source's start.
            now: seconds on the monotonic clock.
        """
        known_s = self._reported_s.get((source, organisation))
        self._reported_s[source, organisation] = total_s
        # A lower total is that of a source that has started again.
        if known_s is not None and total_s > known_s:
            self._add(organisation, total_s - known_s, now)

    def _add(self, organisation: str, work_s: float, now: float) -> None:
        self._usages[organisation] = _Usage(
            self.usage_s(organisation, now) + work_s, now
        )
