"""Tracks when the store and the peers were last reached, and detects a cut-off."""

from collections.abc import Callable

from ..clock import Clock
from ..logs import log_event

__all__ = ["CUT_OFF_AFTER_S", "Connectivity"]

CUT_OFF_AFTER_S = 3.0
PEERS_LOST_AFTER_S = 1.5


class Connectivity:
    """Determines whether this node is cut off from both the store and its peers.

    A node that has no seeds and never reached a peer runs alone by design and is
    never cut off: while its store is down nobody else can change the
    configuration unnoticed.
    """

    def __init__(self, clock: Clock, has_seeds: bool) -> None:
        self._clock = clock
        self._may_have_peers = has_seeds
        self._listeners: list[Callable[[], None]] = []
        now = clock.monotonic()
        self.store_reached_at = now
        self.peer_reached_at = now

    def subscribe(self, on_reconnected: Callable[[], None]) -> None:
        """Call a function at the first contact after a cut-off."""
        self._listeners.append(on_reconnected)

    def record_store_contact(self) -> None:
        """Record that the store responded."""
        was_cut_off = self.is_cut_off()
        self.store_reached_at = self._clock.monotonic()
        self._notify_if(was_cut_off)

    def record_peer_contact(self) -> None:
        """Record that a peer called this node or answered its call."""
        was_cut_off = self.is_cut_off()
        self._may_have_peers = True
        self.peer_reached_at = self._clock.monotonic()
        self._notify_if(was_cut_off)

    def _notify_if(self, was_cut_off: bool) -> None:
        if was_cut_off:
            for on_reconnected in self._listeners:
                on_reconnected()

    def is_without_peers(self) -> bool:
        """Return whether no peer was reached in the last PEERS_LOST_AFTER_S."""
        return self._clock.monotonic() - self.peer_reached_at > PEERS_LOST_AFTER_S

    def is_cut_off(self) -> bool:
        """Return whether the store and all peers are out of reach.

        True once neither was reached for CUT_OFF_AFTER_S.
        """
        if not self._may_have_peers:
            return False
        last_reached_at = max(self.store_reached_at, self.peer_reached_at)
        return self._clock.monotonic() - last_reached_at > CUT_OFF_AFTER_S


class CutOffLogger:
    """Logs when the node becomes cut off and when that ends."""

    def __init__(self, connectivity: Connectivity) -> None:
        self._connectivity = connectivity
        self.is_cut_off = False

    def check(self) -> bool:
        """Return whether the node is cut off now, and log a change."""
        is_cut_off = self._connectivity.is_cut_off()
        if is_cut_off != self.is_cut_off:
            self.is_cut_off = is_cut_off
            level = "ERROR" if is_cut_off else "WARNING"
            log_event("cut-off" if is_cut_off else "cut-off-ended", level)
        return is_cut_off
