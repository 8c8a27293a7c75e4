"""What this host and others report of organisations' requests and work."""

from collections.abc import Iterable
from typing import NamedTuple

from ..fairness import UsageLedger
from ..quotas import OrganisationTotal, Quotas, ZoneTotals
from .reach import FleetReach, HostCounts, Party
from .records import HostRecord, RelayedUsage, UsageReport

__all__ = ["UsageExchange"]

# Hosts that miss another one repeat it with each heartbeat, at the latest after 2 s.
WANTED_TTL_S = 3.0
# Only what was heard as recently is passed on: a host that has ended must turn silent.
MAX_RELAY_AGE_S = 0.6
# A datagram holds 64 kB.  A heartbeat that is longer is lost, and its sender would
# count as dead.  What else it carries takes less than half.
MAX_USAGE_BYTES = 32_768
# Numbers and separators of a row.
ROW_BYTES = 40


class _Latest(NamedTuple):
    """What a host or zone has last reported itself, and when."""

    run: str
    totals: dict[str, OrganisationTotal]
    host_counts: HostCounts | None
    at: float


class UsageExchange:
    """Make the local host's usage reports, and apply those of other hosts and zones.

    Two hosts that don't hear each other learn of each other's requests through those
    that hear both: each report names whom its sender misses, and whoever hears them
    passes on their totals.

    Args:
        local_host: this host.
        reach: which hosts and zones are heard.
        quotas: requests that are admitted under organisations' limits.
        ledger: work of organisations.
        run: unique name of this process.
    """

    def __init__(
        self,
        local_host: HostRecord,
        reach: FleetReach,
        quotas: Quotas,
        ledger: UsageLedger,
        run: str,
    ) -> None:
        self._local_parties = (
            Party(local_host.name, False),
            Party(local_host.zone, True),
        )
        self._reach = reach
        self._quotas = quotas
        self._ledger = ledger
        self._run = run
        self._sent: dict[str, OrganisationTotal] = {}
        self._zone_totals = ZoneTotals()
        # The process that reports for each host and zone.
        self._sources: dict[Party, str] = {}
        self._latest: dict[Party, _Latest] = {}
        # When another host last named a party that it misses.
        self._wanted: dict[Party, float] = {}
        self._work_ms: dict[tuple[str, str], int] = {}

    # Reports of this host.

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
        """Return a report of totals, of the largest ones if there are too many."""
        totals = _fitting(totals, MAX_USAGE_BYTES)
        if not totals and not self._quotas.has_limits:
            return UsageReport()
        return UsageReport(self._run, tuple(totals))

    def report(self, now: float) -> UsageReport:
        """Return all that this host has done for organisations."""
        return self._with_relays(self._report(self._totals(now)), False, now)

    def changes(self, now: float) -> UsageReport:
        """Return what has changed since this was last called."""
        totals = self._totals(now)
        changed = [one for one in totals if self._sent.get(one.organisation) != one]
        self._sent = {one.organisation: one for one in totals}
        return self._report(changed)

    def zone_report(self, now: float) -> UsageReport:
        """Return what the hosts of the local zone have done, as far as is known."""
        report = self._report(self._zone_totals.sums(self._totals(now)))
        return self._with_relays(report, True, now)

    def _with_relays(
        self, report: UsageReport, is_for_zones: bool, now: float
    ) -> UsageReport:
        """Add whom this host misses, and what it knows of those that others miss."""
        if not report.run:
            return report
        missing = [
            party
            for party in self._reach.missing(now)
            # What a host that never served may admit is little.
            if party in self._latest and self._latest[party].totals
        ]
        relayed = []
        left_bytes = MAX_USAGE_BYTES - _size(report.totals)
        for party, known, counts in self._relayable(now):
            totals = tuple(known.totals.values())
            left_bytes -= _size(totals)
            if left_bytes >= 0:
                relayed.append(RelayedUsage(party, known.run, totals, counts))
        return report._replace(
            missing=tuple(one for one in missing if one.is_zone or not is_for_zones),
            relayed=tuple(
                one for one in relayed if one.party.is_zone or not is_for_zones
            ),
        )

    def _relayable(self, now: float) -> list[tuple[Party, _Latest, HostCounts | None]]:
        found = []
        for party, wanted_at in self._wanted.items():
            known = self._latest.get(party)
            if now - wanted_at <= WANTED_TTL_S and known is not None:
                if now - known.at <= MAX_RELAY_AGE_S:
                    found.append((party, known, known.host_counts))
        return found

    # Reports of others.

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
        party = Party(host, False)
        self._keep(party, usage, None, is_complete, now)
        self._apply(party, usage.run, usage.totals, is_complete, now)
        self._on_relays(usage, now)

    def on_zone_report(
        self, zone: str, usage: UsageReport, counts: HostCounts | None, now: float
    ) -> None:
        """Apply a report of another zone, which any of its hosts may send.

        Args:
            zone: the zone.
            usage: its report.
            counts: its hosts.
            now: seconds on the monotonic clock.
        """
        if not usage.run:
            return
        party = Party(zone, True)
        self._keep(party, usage, counts, True, now)
        self._apply(party, usage.run, usage.totals, True, now)
        self._on_relays(usage, now)

    def _keep(
        self,
        party: Party,
        usage: UsageReport,
        counts: HostCounts | None,
        is_complete: bool,
        now: float,
    ) -> None:
        """Keep what was reported, for those that miss the sender."""
        known = self._latest.get(party)
        is_same = known is not None and known.run == usage.run
        if not is_same and not is_complete:
            return
        totals = dict(known.totals) if is_same else {}
        totals.update((one.organisation, one) for one in usage.totals)
        self._latest[party] = _Latest(usage.run, totals, counts, now)

    def _on_relays(self, usage: UsageReport, now: float) -> None:
        self._wanted.update(dict.fromkeys(usage.missing, now))
        missing = set(self._reach.missing(now)) if usage.relayed else set()
        for relayed in usage.relayed:
            party = relayed.party
            if party in missing and party not in self._local_parties:
                self._reach.on_relayed(party, relayed.host_counts, now)
                self._apply(party, relayed.run, relayed.totals, True, now)

    def _apply(
        self,
        party: Party,
        run: str,
        totals: tuple[OrganisationTotal, ...],
        is_complete: bool,
        now: float,
    ) -> None:
        source = f"{'zone' if party.is_zone else 'host'} {party.name}/{run}"
        before = self._sources.get(party, source)
        self._sources[party] = source
        if before != source:
            self._replace_source(party, before, source, now)
        if not party.is_zone:
            self._zone_totals.add(source, totals)
        admitted = {one.organisation: one.admitted for one in totals}
        self._quotas.on_usage(source, admitted, now, is_complete, party.is_zone)
        for one in totals:
            self._apply_work(source, one, now)

    def _replace_source(
        self, party: Party, before: str, source: str, now: float
    ) -> None:
        """Forget the process that reported for a host or zone before."""
        for key in [key for key in self._work_ms if key[0] == before]:
            del self._work_ms[key]
        if party.is_zone:
            self._quotas.replace_source(before, source, now)
        else:
            self._quotas.drop_source(before, now)
            self._zone_totals.drop(before)

    def _apply_work(self, source: str, total: OrganisationTotal, now: float) -> None:
        """Apply the work unless it is outdated: reports overtake each other."""
        key = source, total.organisation
        if total.work_ms >= self._work_ms.get(key, 0):
            self._work_ms[key] = total.work_ms
            work_s = total.work_ms / 1000
            self._ledger.on_total(source, total.organisation, work_s, now)


def _size(totals: Iterable[OrganisationTotal]) -> int:
    """Return about how many bytes totals take in a message."""
    return sum(len(one.organisation.encode()) + ROW_BYTES for one in totals)


def _fitting(
    totals: list[OrganisationTotal], max_bytes: int
) -> list[OrganisationTotal]:
    """Return as many totals as fit, the organisations with most requests first."""
    if _size(totals) <= max_bytes:
        return totals
    kept = []
    for one in sorted(totals, key=lambda one: -one.admitted):
        max_bytes -= _size([one])
        if max_bytes < 0:
            break
        kept.append(one)
    return kept
