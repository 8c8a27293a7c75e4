"""What this host and others report of organisations' requests and work."""

from ..fairness import UsageLedger
from ..quotas import OrganisationTotal, Quotas, ZoneTotals
from .records import UsageReport

__all__ = ["UsageExchange"]


class UsageExchange:
    """Make the local host's usage reports, and apply those of other hosts and zones.

    Args:
        quotas: requests that are admitted under organisations' limits.
        ledger: work of organisations.
        run: unique name of this process.
    """

    def __init__(self, quotas: Quotas, ledger: UsageLedger, run: str) -> None:
        self._quotas = quotas
        self._ledger = ledger
        self._run = run
        self._sent: dict[str, OrganisationTotal] = {}
        self._zone_totals = ZoneTotals()
        # The process that reports for each host and zone.
        self._sources: dict[str, str] = {}

    def _totals(self, now: float) -> list[OrganisationTotal]:
        admitted = self._quotas.totals(now)
        work_s = self._ledger.totals()
        return [
            OrganisationTotal(
                name, admitted.get(name, 0), round(work_s.get(name, 0.0) * 1000)
            )
            for name in admitted.keys() | work_s.keys()
        ]

    def _report(self, totals: list[OrganisationTotal]) -> UsageReport:
        if not totals and not self._quotas.has_limits:
            return UsageReport()
        return UsageReport(self._run, tuple(totals))

    def report(self, now: float) -> UsageReport:
        """Return all that this host has done for organisations."""
        return self._report(self._totals(now))

    def changes(self, now: float) -> UsageReport:
        """Return what has changed since this was last called."""
        totals = self._totals(now)
        changed = [one for one in totals if self._sent.get(one.organisation) != one]
        self._sent = {one.organisation: one for one in totals}
        return self._report(changed)

    def zone_report(self, now: float) -> UsageReport:
        """Return what the hosts of the local zone have done, as far as is known."""
        return self._report(self._zone_totals.sums(self._totals(now)))

    def on_host_report(
        self, host: str, usage: UsageReport, is_complete: bool, now: float
    ) -> None:
        """Apply a report of another host of the local zone.

        Args:
            host: its name.
            usage: its report.
            is_complete: whether the report has all totals, not just those that changed.
            now: seconds on the monotonic clock.
        """
        if not usage.run:
            return
        source = f"{host}/{usage.run}"
        ended = self._sources.get(host, source)
        self._sources[host] = source
        if ended != source:
            self._quotas.drop_source(ended, now)
            self._zone_totals.drop(ended)
        self._zone_totals.add(source, usage.totals)
        self._apply(source, usage, is_complete, False, now)

    def on_zone_report(self, zone: str, usage: UsageReport, now: float) -> None:
        """Apply a report of another zone, which any of its hosts may send."""
        if not usage.run:
            return
        name = f"zone {zone}"
        source = f"{name}/{usage.run}"
        before = self._sources.get(name, source)
        self._sources[name] = source
        if before != source:
            self._quotas.replace_source(before, source, now)
        self._apply(source, usage, True, True, now)

    def _apply(
        self,
        source: str,
        usage: UsageReport,
        is_complete: bool,
        is_zone: bool,
        now: float,
    ) -> None:
        admitted = {one.organisation: one.admitted for one in usage.totals}
        self._quotas.on_usage(source, admitted, now, is_complete, is_zone)
        for one in usage.totals:
            self._ledger.on_total(source, one.organisation, one.work_ms / 1000, now)
