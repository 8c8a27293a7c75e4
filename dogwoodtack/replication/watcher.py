"""Watches the store for changes, with one long poll at a time."""

import functools
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
# Calls of one poll: a store that hung never answers those it took meanwhile, and a slow
# one answers each of them late.
MAX_CALLS = 3


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
        # Number of the current poll, and its calls without a response.
        self._poll_number = 0
        self._open_calls = 0
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
        self._poll_number += 1
        self._open_calls = 0
        overdue_s = POLL_WAIT_S + WATCH_OVERDUE_S
        if self._watermark() < 0:
            overdue_s = LIST_OVERDUE_S
        self._overdue_timer = self._reactor.call_later(overdue_s, self._on_overdue)
        self._call()

    def _call(self) -> None:
        self._open_calls += 1
        on_read = functools.partial(self._on_snapshot_read, self._poll_number)
        after = self._watermark()
        if after < 0:
            self._store.list(on_read)
        else:
            self._store.watch(after, POLL_WAIT_S, on_read)

    def _on_overdue(self) -> None:
        """Report a failure now and every RETRY_S until the poll ends.

        Each report makes the node ask others to watch the store.  The call is made
        again beside the overdue one, which may be answered yet.
        """
        self._overdue_timer = self._reactor.call_later(RETRY_S, self._on_overdue)
        if self._open_calls < MAX_CALLS:
            self._call()
        self._on_failure()

    def _on_snapshot_read(
        self, poll_number: int, snapshot: Snapshot | None, exc: StoreError | None
    ) -> None:
        """Apply a snapshot; the first one, or the last failure, ends its poll."""
        if poll_number != self._poll_number:
            if exc is None:
                self._on_snapshot(snapshot)
            return
        self._open_calls -= 1
        if exc is not None and self._open_calls:
            return
        self._overdue_timer.cancel()
        self._poll_number += 1
        self._log_failing(exc)
        # The next poll is scheduled first, as handling this one may raise an exception.
        if exc is not None:
            self._reactor.call_later(RETRY_S, self._poll)
            self._on_failure()
            return
        self._reactor.call_soon(self._poll)
        self._on_snapshot(snapshot)

    def _log_failing(self, exc: StoreError | None) -> None:
        """Log when the store begins to fail and when it recovers."""
        is_failing = exc is not None
        if is_failing and not self.is_failing:
            log_event("store-failing", "WARNING", error=exc)
        elif self.is_failing and not is_failing:
            log_event("store-back")
        self.is_failing = is_failing
