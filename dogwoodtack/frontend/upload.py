"""A request's body on its way in: held while it is short, else sent on in pieces."""

from collections.abc import Callable

from ..reactor import Reactor
from .conn import ServerConn

__all__ = ["BUFFER_BYTES", "Upload"]

BUFFER_BYTES = 65536


class Upload:
    """Take one body and notice when it stops coming.

    Args:
        conn: where the body comes from.
        reactor: gives the time and the timers.
        stall_timeout_s: seconds without a byte after which the caller is given up.
        on_stalled: is called then, at most once.

    Attributes:
        held: what has come and was not sent on.
        total_bytes: how much has come in all.
        is_whole: whether all of it has come.
        is_streamed: whether it is too long to be held whole.
    """

    def __init__(
        self,
        conn: ServerConn,
        reactor: Reactor,
        stall_timeout_s: float,
        on_stalled: Callable[[], None],
    ) -> None:
        self.held = bytearray()
        self.total_bytes = 0
        self.is_whole = False
        self.is_streamed = False
        self._conn = conn
        self._reactor = reactor
        self._stall_timeout_s = stall_timeout_s
        self._on_stalled = on_stalled
        self._is_paused = False
        self._is_over = False
        self._came_at = reactor.clock.monotonic()

    def end(self) -> None:
        """Look no more for a body that stops coming: its request has ended."""
        self._is_over = True

    def watch(self) -> None:
        """Begin to look for a body that stops coming."""
        self._reactor.call_later(self._stall_timeout_s, self._check)

    def _check(self) -> None:
        """Give up a caller whose body stops coming while it may be sent.

        This ends the request before the attempt's own limit does, so that the
        back end is not blamed for a caller's silence.
        """
        if self.is_whole or self._is_over:
            return
        now = self._reactor.clock.monotonic()
        if self._is_paused:
            self._came_at = now
        left_s = self._came_at + self._stall_timeout_s - now
        if left_s > 0:
            self._reactor.call_later(left_s, self._check)
            return
        self._on_stalled()

    def count(self, data: bytes) -> None:
        """Note that a piece has come."""
        self.total_bytes += len(data)
        self._came_at = self._reactor.clock.monotonic()

    def hold(self, data: bytes) -> bool:
        """Hold a piece; return whether the body has just become too long for it."""
        self.held += data
        if self.is_streamed or len(self.held) <= BUFFER_BYTES:
            return False
        self.is_streamed = True
        self.pause()
        return True

    def take_held(self) -> bytes:
        """Return what is held, and hold it no more."""
        data = bytes(self.held)
        self.held.clear()
        return data

    def pause(self) -> None:
        """Read no more from the caller until `resume`."""
        self._is_paused = True
        self._conn.pause()

    def resume(self) -> None:
        """Read on from the caller."""
        self._is_paused = False
        self._came_at = self._reactor.clock.monotonic()
        self._conn.resume()
