"""Which share of the fleet this host hears, for limits that all hosts keep together.

It hears a host directly, or as another host passes on what that host reports.

A host can't tell a host that has ended from one that it is cut off from and that goes
on admitting requests.  So a host that falls silent keeps its part of what all hosts
share for a while.
"""

import math
from typing import NamedTuple

__all__ = ["FleetReach", "HostCounts", "Party"]

# Hosts that send heartbeats at this interval or a shorter one serve or are next to.
SHORT_INTERVAL_S = 0.5
SERVING_SILENCE_S = 0.6
# Three missed heartbeats of a reserve host, and a margin for network delay.
MISSED_HEARTBEATS = 3.2
ZONE_SILENCE_S = 0.6
# Two heartbeats of a serving host that passes on reports, and a margin.
RELAY_TTL_S = 0.9
# If so many hosts fall silent, others that have not been heard since count as silent
# before they miss three heartbeats: they are probably cut off as well.
CUT_HOSTS = 2
# A few silent hosts have ended.  Many are rather cut off, and go on for longer.
FORGET_S = 30.0
FORGET_MANY_S = 600.0
# Forgotten hosts that go on exceed the limits by this share, which is well below the
# share that the limits of organisations allow.
FEW_RATIO = 0.05


class HostCounts(NamedTuple):
    """Hosts of a zone.

    Attributes:
        known: those that are heard, and those that have fallen silent recently.
        silent: the latter.
    """

    known: int
    silent: int


class Party(NamedTuple):
    """A host of the local zone, or another zone."""

    name: str
    is_zone: bool


class _Host(NamedTuple):
    """A host of the local zone.

    Attributes:
        seen_at: when it was last heard, or when its record was found in the store.
        interval_s: seconds until its next heartbeat, 0 before the first one.
        is_ready: whether it accepts callers, which a host does that was never heard.
        relayed_at: when another host last passed on its report.
    """

    seen_at: float
    interval_s: float
    is_ready: bool
    relayed_at: float = -math.inf

    def is_silent(self, now: float) -> bool:
        """Return whether it is heard neither directly nor through others."""
        return self.is_overdue(now) and now - self.relayed_at > RELAY_TTL_S

    def is_overdue(self, now: float) -> bool:
        """Return whether it should have been heard directly since it was."""
        if not self.interval_s:
            return True
        if self.interval_s <= SHORT_INTERVAL_S:
            return now - self.seen_at > SERVING_SILENCE_S
        return now - self.seen_at > MISSED_HEARTBEATS * self.interval_s


class _Zone(NamedTuple):
    """What another zone has last reported, and when directly and through others."""

    counts: HostCounts
    seen_at: float
    relayed_at: float = -math.inf

    def is_overdue(self, now: float) -> bool:
        """Return whether it should have been heard directly since it was."""
        return now - self.seen_at > ZONE_SILENCE_S

    def is_silent(self, now: float) -> bool:
        """Return whether it is heard neither directly nor through others."""
        return self.is_overdue(now) and now - self.relayed_at > RELAY_TTL_S


class FleetReach:
    """Track when hosts of the local zone, and the other zones, were last heard.

    Args:
        local_zone: zone of this host.
    """

    def __init__(self, local_zone: str) -> None:
        self._local_zone = local_zone
        self._hosts: dict[str, _Host] = {}
        # Hosts of the zone that were found in the store since the last question.
        self._unseen: set[str] = set()
        self._records: dict[str, set[str]] = {}
        self._zones: dict[str, _Zone] = {}

    def add_record(self, name: str, zone: str) -> None:
        """Record that a host exists, which has not been heard yet."""
        if zone != self._local_zone:
            self._records.setdefault(zone, set()).add(name)
        elif name not in self._hosts:
            self._unseen.add(name)

    def on_heartbeat(
        self, name: str, interval_s: float, is_ready: bool, now: float
    ) -> None:
        """Record a heartbeat of a host of the local zone.

        Args:
            name: its name.
            interval_s: seconds until its next heartbeat.
            is_ready: whether it accepts callers.
            now: seconds on the monotonic clock.
        """
        self._hosts[name] = _Host(now, interval_s, is_ready)

    def on_report(self, name: str, now: float) -> None:
        """Record another message of a host of the local zone."""
        known = self._hosts.get(name)
        if known is not None and known.interval_s:
            self._hosts[name] = known._replace(seen_at=now)

    def on_zone_report(self, zone: str, counts: HostCounts | None, now: float) -> None:
        """Record a report of another zone.

        Args:
            zone: the zone.
            counts: its hosts; None from a host of an earlier build.
            now: seconds on the monotonic clock.
        """
        if counts is None:
            counts = HostCounts(max(1, len(self._records.get(zone, ()))), 0)
        self._zones[zone] = _Zone(counts, now)

    def on_relayed(self, party: Party, counts: HostCounts | None, now: float) -> None:
        """Record that another host passes on what a silent one reports.

        Args:
            party: the silent host or zone.
            counts: hosts of the zone; None for a host.
            now: seconds on the monotonic clock.
        """
        if party.is_zone and party.name in self._zones:
            known = self._zones[party.name]
            self._zones[party.name] = known._replace(
                counts=counts or known.counts, relayed_at=now
            )
        elif not party.is_zone and party.name in self._hosts:
            host = self._hosts[party.name]
            self._hosts[party.name] = host._replace(relayed_at=now)

    def missing(self, now: float) -> list[Party]:
        """Return whom this host does not hear directly any more."""
        hosts = [
            Party(name, False)
            for name, host in self._hosts.items()
            if host.interval_s and _is_missing(host, now)
        ]
        zones = [
            Party(name, True)
            for name, zone in self._zones.items()
            if _is_missing(zone, now)
        ]
        return hosts + zones

    def local_counts(self, now: float) -> HostCounts:
        """Return the hosts of the local zone, with this one."""
        for name in self._unseen:
            self._hosts.setdefault(name, _Host(now, 0.0, True))
        self._unseen.clear()
        silent = self._silent_hosts(now)
        heard = 1 + len(self._hosts) - len(silent)
        # One that was not ready when it was last heard has stopped as planned.
        counted = [one for one in silent if one.is_ready]
        # Records in the store may be those of hosts that ended long ago.
        unseen_s = FORGET_S if heard > 1 else FORGET_MANY_S
        silent_s = _forget_s(len(counted), heard + len(counted))
        kept = 0
        for one in counted:
            kept += now - one.seen_at <= (silent_s if one.interval_s else unseen_s)
        return HostCounts(heard + kept, kept)

    def _silent_hosts(self, now: float) -> list[_Host]:
        hosts = self._hosts.values()
        silent = [one for one in hosts if one.is_silent(now)]
        # By then each of them was cut off: its next heartbeat did not come.
        cut_by = sorted(
            one.seen_at + min(one.interval_s, SHORT_INTERVAL_S)
            for one in silent
            if one.interval_s
        )
        if len(cut_by) < CUT_HOSTS:
            return silent
        return [
            one
            for one in hosts
            if one.is_silent(now) or max(one.seen_at, one.relayed_at) < cut_by[-1]
        ]

    def share(self, now: float) -> float:
        """Return the share of the fleet's hosts that is heard, with this one."""
        known, silent = self.local_counts(now)
        heard = known - silent
        for zone in self._zones.keys() | self._records.keys():
            counts = self._zone_counts(zone, now)
            known += counts.known
            heard += counts.known - counts.silent
        return heard / known

    def _zone_counts(self, zone: str, now: float) -> HostCounts:
        reported = self._zones.get(zone)
        if reported is None:
            known = len(self._records[zone])
            return HostCounts(known, known)
        counts = reported.counts
        if not reported.is_silent(now):
            return counts
        if now - reported.seen_at > FORGET_MANY_S:
            return HostCounts(0, 0)
        return HostCounts(counts.known, counts.known)


def _is_missing(party: _Host | _Zone, now: float) -> bool:
    return party.is_overdue(now) and now - party.seen_at <= FORGET_MANY_S


def _forget_s(silent: int, known: int) -> float:
    is_few = silent <= max(1.0, FEW_RATIO * known) and 2 * silent < known
    return FORGET_S if is_few else FORGET_MANY_S
