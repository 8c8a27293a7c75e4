"""When the store and the peers were last reached, and what follows from it."""

from ..clock import Clock
from ..logs import log_event

__all__ = ["CUT_OFF_AFTER_S", "Connectivity"]

CUT_OFF_AFTER_S = 3.0
ALONE_AFTER_S = 1.5


class Connectivity:
    """Tell whether this node is cut off from everything that knows more.

    A node that has no seeds and never met a peer stands alone by design.  With
    its store down nobody can change the configuration behind its back, so it is
    never cut off.
    """

    def __init__(self, clock: Clock, has_seeds: bool) -> None:
        self._clock = clock
        self._may_have_peers = has_seeds
        now = clock.monotonic()
        self.store_at = now
        self.peer_at = now

    def record_store_contact(self) -> None:
        """Note that the store gave an answer."""
        self.store_at = self._clock.monotonic()

    def record_peer_contact(self) -> None:
        """Note that a peer called, or answered a call."""
        self._may_have_peers = True
        self.peer_at = self._clock.monotonic()

    def is_without_peers(self) -> bool:
        """Return whether no peer was reached lately."""
        return self._clock.monotonic() - self.peer_at > ALONE_AFTER_S

    def is_cut_off(self) -> bool:
        """Return whether neither the store nor a peer was reached lately."""
        if not self._may_have_peers:
            return False
        last = max(self.store_at, self.peer_at)
        return self._clock.monotonic() - last > CUT_OFF_AFTER_S


class CutOffLogger:
    """Log when a node becomes cut off and when that ends."""

    def __init__(self, connectivity: Connectivity) -> None:
        self._connectivity = connectivity
        self.is_cut_off = False

    def check(self) -> bool:
        """Return whether the node is cut off now."""
        is_cut_off = self._connectivity.is_cut_off()
        if is_cut_off != self.is_cut_off:
            self.is_cut_off = is_cut_off
            level = "ERROR" if is_cut_off else "WARNING"
            log_event("cut-off" if is_cut_off else "cut-off-ended", level)
        return is_cut_off
