"""Recent work of each organisation, at this host and at others."""

import math
from typing import NamedTuple

__all__ = ["UsageLedger"]

# Time constant with which past work is forgotten.
USAGE_DECAY_S = 5.0
# A report may be missing for this long before the next one of its source counts as the
# first. Hosts that have been replaced must not fill the memory.
REPORT_TTL_S = 60.0


class _Usage(NamedTuple):
    """Work of an organisation in seconds, decayed until a monotonic time."""

    work_s: float
    at: float

    def decayed(self, now: float) -> float:
        return self.work_s * math.exp((self.at - now) / USAGE_DECAY_S)


class _Report(NamedTuple):
    """The total in seconds that another host or zone reported, and when."""

    total_s: float
    at: float


class UsageLedger:
    """Sum the work of each organisation, with the weight of past work decaying.

    Load pattern: one organisation sends many times its usual rate. Work that is granted
    without waiting counts as well: queues are often too short to hold one request of
    each organisation.

    Any amount can stand for the work, such as the number of requests, if all records of
    a ledger use the same unit.
    """

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}
        self._own_totals_s: dict[str, float] = {}
        self._reports: dict[tuple[str, str], _Report] = {}
        self._expired_at = -math.inf

    def __len__(self) -> int:
        """Return the number of organisations whose work is known."""
        return len(self._usages)

    def usage_s(self, organisation: str, now: float) -> float:
        """Return an organisation's recent work in seconds."""
        usage = self._usages.get(organisation)
        return 0.0 if usage is None else usage.decayed(now)

    def total_usage_s(self, now: float) -> float:
        """Return the recent work of all organisations together in seconds."""
        return sum(usage.decayed(now) for usage in self._usages.values())

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
        self._expire_reports(now)
        known = self._reports.get((source, organisation))
        self._reports[source, organisation] = _Report(total_s, now)
        # A lower total is that of a source that has started again.
        if known is not None and total_s > known.total_s:
            self._add(organisation, total_s - known.total_s, now)

    def discard_negligible(self, work_s: float, now: float) -> None:
        """Forget organisations with at most this much recent work, and their totals.

        Only for a ledger whose totals are not reported to others.
        """
        self._usages = {
            name: usage
            for name, usage in self._usages.items()
            if usage.decayed(now) > work_s
        }
        self._own_totals_s = {
            name: total_s
            for name, total_s in self._own_totals_s.items()
            if name in self._usages
        }

    def _expire_reports(self, now: float) -> None:
        if now - self._expired_at < REPORT_TTL_S:
            return
        self._expired_at = now
        self._reports = {
            key: report
            for key, report in self._reports.items()
            if now - report.at < REPORT_TTL_S
        }

    def _add(self, organisation: str, work_s: float, now: float) -> None:
        self._usages[organisation] = _Usage(
            self.usage_s(organisation, now) + work_s, now
        )
