"""Read the platform's host list on one node of each zone."""

from ..errors import StoreError
from ..logs import log_event
from ..reactor import Reactor
from ..store import HostEntry, Store
from .host_list import HostListSnapshot
from .members import Membership
from .store_readers import store_readers

__all__ = ["HostListReader"]

CHECK_INTERVAL_S = 1.0
MIN_INTERVAL_S = 1.0
INTERVAL_PER_MEMBER_S = 0.02
LEAVING = "leaving"


class HostListReader:
    """Take a reading whenever the known one is old and this node is to read."""

    def __init__(self, reactor: Reactor, store: Store, membership: Membership) -> None:
        self._reactor = reactor
        self._store = store
        self._view = membership
        self._is_reading = False
        self._tried_at: float | None = None

    def begin(self) -> None:
        """Begin to read."""
        self._reactor.call_later(CHECK_INTERVAL_S, self._on_due)

    def _on_due(self) -> None:
        self._reactor.call_later(CHECK_INTERVAL_S, self._on_due)
        if not self._is_reading and self._is_old() and self._is_reader():
            self._is_reading = True
            self._tried_at = self._reactor.clock.monotonic()
            number = self._view.host_list.number + 1
            self._store.hosts(lambda hosts, exc: self._take(number, hosts, exc))

    def _is_old(self) -> bool:
        """Return whether a reading is due; in a large fleet they are rarer."""
        known = [at for at in (self._view.host_list.read_at, self._tried_at) if at]
        if not known:
            return True
        interval_s = INTERVAL_PER_MEMBER_S * len(self._view.members())
        age_s = self._reactor.clock.monotonic() - max(known)
        return age_s >= max(MIN_INTERVAL_S, interval_s)

    def _is_reader(self) -> bool:
        me = self._view.local_member
        return me in store_readers(self._view.members(), me, 1)

    def _take(
        self, number: int, hosts: list[HostEntry] | None, exc: StoreError | None
    ) -> None:
        self._is_reading = False
        if exc is not None:
            log_event("host-list-failed", "DEBUG", error=exc)
            return
        names = frozenset(host.name for host in hosts)
        shows_absence = self._view.local_member.name in names
        if not shows_absence:
            log_event("host-list-behind", "DEBUG", hosts=len(names))
        leaving = frozenset(host.name for host in hosts if host.state == LEAVING)
        self._view.host_list.apply(
            HostListSnapshot(number, names, leaving, shows_absence)
        )
