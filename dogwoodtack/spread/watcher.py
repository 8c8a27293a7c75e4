"""Follow the store's changes with one long poll at a time."""

from collections.abc import Callable

from ..errors import StoreError
from ..logs import log_event
from ..reactor import Reactor
from ..store import Snapshot, Store
from .state import ConfigState

__all__ = ["Watcher"]

WATCH_WAIT_S = 10.0
RETRY_S = 0.5


class Watcher:
    """Read the whole store once, then its changes."""

    def __init__(
        self,
        reactor: Reactor,
        store: Store,
        state: ConfigState,
        on_synced: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._state = state
        self._on_synced = on_synced
        self.revision = -1
        self.last_contact_at: float | None = None

    def start(self) -> None:
        """Begin to follow."""
        if self.revision < 0:
            self._store.list(self._on_snapshot)
        else:
            self._store.watch(self.revision, WATCH_WAIT_S, self._on_snapshot)

    def _on_snapshot(self, snapshot: Snapshot | None, exc: StoreError | None) -> None:
        if exc is not None:
            log_event("watch-failed", "WARNING", error=exc)
            self._reactor.call_later(RETRY_S, self.start)
            return
        self.last_contact_at = self._reactor.clock.monotonic()
        for obj in snapshot.objects:
            self._state.apply(obj)
        is_first = self.revision < 0
        self.revision = max(self.revision, snapshot.revision)
        if is_first:
            self._on_synced()
        self._reactor.call_soon(self.start)
