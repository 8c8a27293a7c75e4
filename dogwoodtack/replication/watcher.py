"""Watches the store for changes, with one long poll at a time."""

from collections.abc import Callable

from ..errors import StoreError
from ..logs import log_event
from ..reactor import Reactor, Timer
from ..store import Snapshot, Store

__all__ = ["Watcher"]

POLL_WAIT_S = 1.0
WATCH_OVERDUE_S = 0.5
RETRY_S = 1.0
LIST_OVERDUE_S = 1.0


class Watcher:
    """Reads the full store once and then its changes, as long as it is needed.

    Args:
        watermark: returns the revision up to which nothing is missing, below 0 if
            the full store has to be read.
        is_needed: returns whether this node still has to watch the store.
        on_snapshot: called with each snapshot from the store.
        on_failure: called when the store fails or does not respond in time.
    """

    def __init__(
        self,
        reactor: Reactor,
        store: Store,
        watermark: Callable[[], int],
        is_needed: Callable[[], bool],
        on_snapshot: Callable[[Snapshot], None],
        on_failure: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._watermark = watermark
        self._is_needed = is_needed
        self._on_snapshot = on_snapshot
        self._on_failure = on_failure
        self._overdue_timer: Timer | None = None
        self.is_active = False
        self.is_failing = False

    def wake(self) -> None:
        """Start to watch, unless the watcher runs already or is not needed."""
        if not self.is_active and self._is_needed():
            self.is_active = True
            self._poll()

    def _poll(self) -> None:
        if not self._is_needed():
            self.is_active = False
            return
        after = self._watermark()
        if after < 0:
            self._overdue_timer = self._reactor.call_later(
                LIST_OVERDUE_S, self._on_overdue
            )
            self._store.list(self._on_snapshot_read)
            return
        wait_s = POLL_WAIT_S + WATCH_OVERDUE_S
        self._overdue_timer = self._reactor.call_later(wait_s, self._on_overdue)
        self._store.watch(after, POLL_WAIT_S, self._on_snapshot_read)

    def _on_overdue(self) -> None:
        """Report a failure now and every RETRY_S until the call ends.

        Each report makes the node ask others to watch the store.
        """
        self._overdue_timer = self._reactor.call_later(RETRY_S, self._on_overdue)
        self._on_failure()

    def _on_snapshot_read(
        self, snapshot: Snapshot | None, exc: StoreError | None
    ) -> None:
        self._overdue_timer.cancel()
        self._log_failing(exc)
        if exc is not None:
            self._on_failure()
            self._reactor.call_later(RETRY_S, self._poll)
            return
        self._on_snapshot(snapshot)
        self._reactor.call_soon(self._poll)

    def _log_failing(self, exc: StoreError | None) -> None:
        """Log when the store begins to fail and when it recovers."""
        is_failing = exc is not None
        if is_failing and not self.is_failing:
            log_event("store-failing", "WARNING", error=exc)
        elif self.is_failing and not is_failing:
            log_event("store-back")
        self.is_failing = is_failing
