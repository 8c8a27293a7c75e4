"""The lease that allows one process to grant the removals of one service.

The lease is an object of the store, changed by conditional update only.  It
changes hands when its holder releases it, when the holder's host runs a new
process at the same address, or when the holder's process is known dead and the
platform's list has not shown its host for TAKEOVER_WAIT_S.  A holder that may
have been replaced without noticing grants nothing until a conditional write of
its own has shown that it was not; a plain read could be stale.
"""

from collections.abc import Callable
from typing import Any

from ..clock import Clock
from ..errors import StoreError
from ..logs import log_event
from ..replication import ConfigState
from ..store import Store, StoreObject
from .messages import (
    FIRST_GRANT_WAIT_S,
    FLOOR_KIND,
    HolderEntry,
    holder_value,
    read_holder,
)

__all__ = ["LeaseOwnership"]

RETRY_INTERVAL_S = 2.0


class LeaseOwnership:
    """Track, claim, confirm and release the lease of one service.

    Args:
        service: the service's name.
        local_holder: this process as a holder.
        store: the store that keeps the lease.
        state: receives the lease objects that are written or read here.
        clock: gives the boottime.
        check_for_pause: called before the result of a write is used; it suspends every
            lease where the process has been paused.
    """

    def __init__(
        self,
        service: str,
        local_holder: HolderEntry,
        store: Store,
        state: ConfigState,
        clock: Clock,
        check_for_pause: Callable[[], None],
    ) -> None:
        self.service = service
        self.version = 0
        self.holder: HolderEntry | None = None
        self._local_holder = local_holder
        self._store = store
        self._state = state
        self._clock = clock
        self._check_for_pause = check_for_pause
        self._may_grant_at = 0.0
        self._suspended_at: float | None = None
        self._claim_base_version: int | None = None
        self._retry_at = 0.0
        self._released = False

    @property
    def is_mine(self) -> bool:
        """Return whether the latest known lease names this process."""
        return self.holder == self._local_holder and not self._released

    @property
    def is_suspended(self) -> bool:
        """Return whether this process must confirm its lease before it grants."""
        return self._suspended_at is not None

    def may_grant(self, now: float) -> bool:
        """Return whether this process may grant removals at `now`, a boottime."""
        return self.is_mine and not self.is_suspended and now >= self._may_grant_at

    def apply(self, obj: StoreObject) -> None:
        """Apply a newer version of the lease object."""
        was_mine = self.is_mine
        self.version = obj.version
        self.holder = read_holder(obj.value)
        if self.is_mine and not was_mine:
            self._on_gained()
        elif was_mine and not self.is_mine:
            self._suspended_at = None
            log_event("floor-lost", service=self.service, version=obj.version)

    def _on_gained(self) -> None:
        """Delay the first grant until no decision of an earlier holder is in use."""
        wait_s = 0.0 if self._claim_base_version == 0 else FIRST_GRANT_WAIT_S
        self._may_grant_at = self._clock.boottime() + wait_s
        log_event(
            "floor-held", service=self.service, version=self.version, wait_s=wait_s
        )

    def suspend(self, reason: str, now: float) -> None:
        """Grant nothing until a write that started after `now` confirms the lease."""
        if not self.is_mine:
            return
        if self._suspended_at is None:
            log_event("floor-suspended", "WARNING", service=self.service, why=reason)
        self._suspended_at = now

    def claim(self) -> None:
        """Try to take the lease over from the holder that is known."""
        if not self._is_due():
            return
        self._claim_base_version = self.version
        self._write(holder_value(self._local_holder))

    def confirm(self) -> None:
        """Try to end a suspension by a conditional write."""
        if not self._is_due():
            return
        asked_at = self._clock.boottime()

        def on_written() -> None:
            since = self._suspended_at
            if since is not None and since <= asked_at and self.is_mine:
                self._suspended_at = None
                log_event("floor-confirmed", service=self.service)

        self._write(holder_value(self._local_holder), on_written)

    def release(self) -> None:
        """Release the lease; this process grants nothing from now on."""
        if self.is_mine:
            self._write(holder_value(None))
        self._released = True

    def _is_due(self) -> bool:
        now = self._clock.boottime()
        if now < self._retry_at or self._released:
            return False
        self._retry_at = now + RETRY_INTERVAL_S
        return True

    def _write(
        self, value: dict[str, Any], on_written: Callable[[], None] | None = None
    ) -> None:
        def on_done(version: int | None, exc: StoreError | None) -> None:
            self._check_for_pause()
            if exc is not None:
                self._refresh()
                return
            obj = StoreObject(FLOOR_KIND, self.service, version, value)
            self._state.apply(obj)
            if on_written is not None:
                on_written()

        self._store.put(FLOOR_KIND, self.service, value, self.version, on_done)

    def _refresh(self) -> None:
        """Read the lease after a write that failed or found another version."""

        def on_done(obj: StoreObject | None, exc: StoreError | None) -> None:
            if exc is None and obj.version:
                self._state.apply(obj)

        self._store.get(FLOOR_KIND, self.service, on_done)
