"""The hosts' records in the store: found at the start, written, and kept complete."""

import math
import random

from ..errors import StoreError
from ..feed import Feed, Source
from ..fleet import Fleet, HostRecord, PeerTable
from ..logs import log_event
from ..reactor import Reactor

__all__ = ["HostRecords"]

RETRY_S = 1.0
CHECK_S = 1.0
# A host that has just started writes its own record in less than this time.
MIN_LIST_AGE_S = 2.0
# Records that are missing, as after the store's return from a copy, are written with
# this mean interval, or a shorter one if there are many.
WRITE_INTERVAL_S = 0.05
MAX_WRITE_SPREAD_S = 2.0


class HostRecords:
    """Find the other hosts by their records in the store, and keep the zone's there.

    Args:
        reactor: runs timers.
        source: the store.
        fleet: introduces the local host to hosts that were found.
        feed: tells whether the local host reads the store for its zone.
        peer_table: receives the records; knows which hosts are alive.
        rng: spreads writes over time.
    """

    def __init__(
        self,
        reactor: Reactor,
        source: Source,
        fleet: Fleet,
        feed: Feed,
        peer_table: PeerTable,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._source = source
        self._fleet = fleet
        self._feed = feed
        self._peer_table = peer_table
        self._rng = rng
        # The zone's records as last read from the store.
        self._listed: set[HostRecord] = set()
        self._listed_at = math.inf

    def begin(self) -> None:
        """Read the records of the zone's hosts and begin the periodic checks."""
        self._discover_hosts()
        self._run_checks()

    def on_store_restored(self) -> None:
        """Forget what the store listed before it came back from an older copy."""
        self._listed = set()

    # The zone's hosts.

    def _discover_hosts(self) -> None:
        """Read the records of the zone's hosts; announce this host if it is missing."""
        zone = self._peer_table.local_host.zone
        self._source.read_hosts(zone, self._on_hosts)

    def _on_hosts(
        self, records: list[HostRecord] | None, exc: StoreError | None
    ) -> None:
        if records is None:
            log_event("hosts-unread", level="WARNING", error=str(exc))
            self._reactor.call_later(RETRY_S, self._discover_hosts)
            return
        self._add_listed(records)
        self._introduce_to_zone()
        self._feed.begin()
        if self._peer_table.local_host not in records:
            self._source.announce(self._peer_table.local_host, self._on_announced)

    def _on_announced(self, exc: StoreError | None) -> None:
        if exc is not None:
            log_event("announce-failed", level="WARNING", error=str(exc))
            self._reactor.call_later(RETRY_S, self._discover_hosts)
            return
        # Hosts that announced themselves in the meantime have not seen this one.
        self._discover_hosts()

    def _add_listed(self, records: list[HostRecord]) -> None:
        for record in records:
            self._peer_table.add_record(record)
        self._listed = set(records)
        self._listed_at = self._reactor.clock.monotonic()
        self._reactor.call_later(MIN_LIST_AGE_S, self._check_records)

    def _introduce_to_zone(self) -> None:
        zone = self._peer_table.local_host.zone
        addresses = [
            host.peer_address
            for host in self._peer_table.known_hosts()
            if host.zone == zone
        ]
        self._fleet.introduce(addresses)

    # Periodic checks.

    def _run_checks(self) -> None:
        self._reactor.call_later(CHECK_S, self._run_checks)
        if self._fleet.is_zone_gateway():
            self._discover_other_zones()
        self._check_records()

    def _check_records(self) -> None:
        """Read the list again if records of live hosts seem to be missing."""
        now = self._reactor.clock.monotonic()
        is_list_settled = now >= self._listed_at + MIN_LIST_AGE_S
        if self._feed.reads_store and is_list_settled and self._find_missing():
            zone = self._peer_table.local_host.zone
            self._source.read_hosts(zone, self._on_hosts_read_again)

    def _find_missing(self) -> list[HostRecord]:
        """Return the zone's live hosts whose records the store did not list."""
        now = self._reactor.clock.monotonic()
        live = [peer.heartbeat.host for peer in self._peer_table.live_peers(now)]
        hosts = [self._peer_table.local_host, *live]
        return [host for host in hosts if host not in self._listed]

    def _on_hosts_read_again(
        self, records: list[HostRecord] | None, exc: StoreError | None
    ) -> None:
        """Write the records of live hosts that the store lacks.

        The zone's reader writes them for all, so that the others need no call.
        """
        if records is None:
            log_event("hosts-unread", level="WARNING", error=str(exc))
            return
        self._add_listed(records)
        missing = self._find_missing()
        if missing:
            log_event("hosts-missing", listed=len(records), missing=len(missing))
        spread_s = min(MAX_WRITE_SPREAD_S, WRITE_INTERVAL_S * len(missing))
        for record in missing:
            wait_s = spread_s * self._rng.random()
            self._reactor.call_later(
                wait_s, self._source.announce, record, self._on_written
            )
        self._listed.update(missing)

    def _on_written(self, exc: StoreError | None) -> None:
        if exc is not None:
            log_event("announce-failed", level="WARNING", error=str(exc))
            # Read the list again, which shows what is missing.
            self._listed = set()

    def _discover_other_zones(self) -> None:
        """Read the hosts of zones with instances from which no host is known."""
        known_zones = {host.zone for host in self._peer_table.known_hosts()}
        known_zones.add(self._peer_table.local_host.zone)
        zones = {instance.zone for instance in self._feed.registry.all()}
        for zone in sorted(zones - known_zones):
            self._source.read_hosts(zone, self._on_other_hosts)

    def _on_other_hosts(
        self, records: list[HostRecord] | None, exc: StoreError | None
    ) -> None:
        if records is None:
            log_event("hosts-unread", level="WARNING", error=str(exc))
        for record in records or ():
            self._peer_table.add_record(record)
