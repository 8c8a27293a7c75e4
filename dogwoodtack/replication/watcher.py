"""Follow the store's changes with one long poll at a time."""

from collections.abc import Callable

from ..errors import StoreError
from ..logs import log_event
from ..reactor import Reactor, Timer
from ..store import Snapshot, Store

__all__ = ["Watcher"]

WATCH_WAIT_S = 1.0
OVERDUE_S = 0.5
RETRY_S = 1.0
LIST_OVERDUE_S = 1.0


class Watcher:
    """Read the whole store once, then its changes, for as long as it is wanted.

    Args:
        watermark: gives the revision up to which nothing is missing, below 0
            where the whole store has to be read.
        is_wanted: tells whether this node still has to follow the store.
        on_snapshot: takes what the store said.
        on_trouble: is told when the store fails or keeps this node waiting.
    """

    def __init__(
        self,
        reactor: Reactor,
        store: Store,
        watermark: Callable[[], int],
        is_wanted: Callable[[], bool],
        on_snapshot: Callable[[Snapshot], None],
        on_trouble: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._watermark = watermark
        self._is_wanted = is_wanted
        self._on_snapshot = on_snapshot
        self._on_trouble = on_trouble
        self._overdue: Timer | None = None
        self.is_active = False
        self.is_failing = False

    def wake(self) -> None:
        """Begin to follow, unless this is done already or is not wanted."""
        if not self.is_active and self._is_wanted():
            self.is_active = True
            self._poll()

    def _poll(self) -> None:
        if not self._is_wanted():
            self.is_active = False
            return
        after = self._watermark()
        if after < 0:
            self._overdue = self._reactor.call_later(LIST_OVERDUE_S, self._on_overdue)
            self._store.list(self._on_answer)
            return
        wait_s = WATCH_WAIT_S + OVERDUE_S
        self._overdue = self._reactor.call_later(wait_s, self._on_overdue)
        self._store.watch(after, WATCH_WAIT_S, self._on_answer)

    def _on_overdue(self) -> None:
        """Complain, and again until the call ends: others are asked each time."""
        self._overdue = self._reactor.call_later(RETRY_S, self._on_overdue)
        self._on_trouble()

    def _on_answer(self, snapshot: Snapshot | None, exc: StoreError | None) -> None:
        self._overdue.cancel()
        self._note_failing(exc)
        if exc is not None:
            self._on_trouble()
            self._reactor.call_later(RETRY_S, self._poll)
            return
        self._on_snapshot(snapshot)
        self._reactor.call_soon(self._poll)

    def _note_failing(self, exc: StoreError | None) -> None:
        """Log only when the store begins to fail, and when it is back."""
        is_failing = exc is not None
        if is_failing and not self.is_failing:
            log_event("store-failing", "WARNING", error=exc)
        elif self.is_failing and not is_failing:
            log_event("store-back")
        self.is_failing = is_failing
