"""Reads the platform's host list on one node of each zone."""

from ..errors import StoreError
from ..logs import log_event
from ..reactor import Reactor
from ..store import HostEntry, Store
from .host_list import HostListSnapshot
from .members import Membership
from .store_readers import store_readers

__all__ = ["HostListReader"]

CHECK_INTERVAL_S = 1.0
MIN_READ_INTERVAL_S = 1.0
READ_INTERVAL_PER_MEMBER_S = 0.02
LEAVING = "leaving"


class HostListReader:
    """Reads the host list when a read is due and this node is its zone's reader."""

    def __init__(self, reactor: Reactor, store: Store, membership: Membership) -> None:
        self._reactor = reactor
        self._store = store
        self._membership = membership
        self._is_reading = False
        self._requested_at: float | None = None

    def begin(self) -> None:
        """Start the periodic check."""
        self._reactor.call_later(CHECK_INTERVAL_S, self._on_check)

    def _on_check(self) -> None:
        self._reactor.call_later(CHECK_INTERVAL_S, self._on_check)
        if not self._is_reading and self._is_due() and self._is_reader():
            self._is_reading = True
            self._requested_at = self._reactor.clock.monotonic()
            number = self._membership.host_list.number + 1
            self._store.hosts(lambda hosts, exc: self._on_hosts(number, hosts, exc))

    def _is_due(self) -> bool:
        """Return whether a read is due; the interval grows with the fleet."""
        times = [
            at
            for at in (self._membership.host_list.applied_at, self._requested_at)
            if at
        ]
        if not times:
            return True
        interval_s = READ_INTERVAL_PER_MEMBER_S * len(self._membership.members())
        age_s = self._reactor.clock.monotonic() - max(times)
        return age_s >= max(MIN_READ_INTERVAL_S, interval_s)

    def _is_reader(self) -> bool:
        local_member = self._membership.local_member
        return local_member in store_readers(
            self._membership.members(), local_member, 1
        )

    def _on_hosts(
        self, number: int, hosts: list[HostEntry] | None, exc: StoreError | None
    ) -> None:
        self._is_reading = False
        if exc is not None:
            log_event("host-list-failed", "DEBUG", error=exc)
            return
        names = frozenset(host.name for host in hosts)
        shows_absence = self._membership.local_member.name in names
        if not shows_absence:
            log_event("host-list-behind", "DEBUG", hosts=len(names))
        leaving = frozenset(host.name for host in hosts if host.state == LEAVING)
        self._membership.host_list.apply(
            HostListSnapshot(number, names, leaving, shows_absence)
        )
