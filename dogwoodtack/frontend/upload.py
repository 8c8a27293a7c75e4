"""The body of a caller's request: buffered while it is short, else streamed."""

from collections.abc import Callable

from ..reactor import Reactor
from .conn import ServerConn

__all__ = ["MAX_BUFFER_BYTES", "Upload"]

MAX_BUFFER_BYTES = 65536


class Upload:
    """Receive one body and detect when it stalls.

    Args:
        conn: the caller's connection.
        reactor: event loop and clock.
        stall_timeout_s: seconds without a byte after which the body has stalled.
        on_stalled: called when the body has stalled, at most once.

    Attributes:
        buffer: bytes that were received and not forwarded.
        total_bytes: number of bytes received so far.
        is_complete: whether the whole body was received.
        is_streamed: whether it is too long to be buffered completely.
    """

    def __init__(
        self,
        conn: ServerConn,
        reactor: Reactor,
        stall_timeout_s: float,
        on_stalled: Callable[[], None],
    ) -> None:
        self.buffer = bytearray()
        self.total_bytes = 0
        self.is_complete = False
        self.is_streamed = False
        self._conn = conn
        self._reactor = reactor
        self._stall_timeout_s = stall_timeout_s
        self._on_stalled = on_stalled
        self._is_paused = False
        self._has_ended = False
        self._last_received_at = reactor.clock.monotonic()

    def end(self) -> None:
        """Stop the stall checks, as the request has ended."""
        self._has_ended = True

    def begin_stall_checks(self) -> None:
        """Begin to check whether the body has stalled."""
        self._reactor.call_later(self._stall_timeout_s, self._check_stall)

    def _check_stall(self) -> None:
        """Report a body that has stalled while reading was not paused.

        This ends the request before the attempt's own timeout does, so that the
        stall is not attributed to the back end.
        """
        if self.is_complete or self._has_ended:
            return
        now = self._reactor.clock.monotonic()
        if self._is_paused:
            self._last_received_at = now
        left_s = self._last_received_at + self._stall_timeout_s - now
        if left_s > 0:
            self._reactor.call_later(left_s, self._check_stall)
            return
        self._on_stalled()

    def record_received(self, data: bytes) -> None:
        """Count a received piece."""
        self.total_bytes += len(data)
        self._last_received_at = self._reactor.clock.monotonic()

    def add_to_buffer(self, data: bytes) -> bool:
        """Buffer a piece; return whether the body has just become too long for that."""
        self.buffer += data
        if self.is_streamed or len(self.buffer) <= MAX_BUFFER_BYTES:
            return False
        self.is_streamed = True
        self.pause()
        return True

    def take_buffer(self) -> bytes:
        """Return the buffered bytes and empty the buffer."""
        data = bytes(self.buffer)
        self.buffer.clear()
        return data

    def pause(self) -> None:
        """Stop reading from the caller until `resume`."""
        self._is_paused = True
        self._conn.pause()

    def resume(self) -> None:
        """Continue reading from the caller."""
        self._is_paused = False
        self._last_received_at = self._reactor.clock.monotonic()
        self._conn.resume()
