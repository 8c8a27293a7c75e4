"""A byte stream over one socket, with write buffering and backpressure."""

import fcntl
import socket
import struct
import termios
from typing import Protocol

from .reactor import Reactor

__all__ = ["HIGH_WATERMARK_BYTES", "Stream", "StreamOwner"]

READ_BYTES = 65536
HIGH_WATERMARK_BYTES = 262144
LOW_WATERMARK_BYTES = 65536
LINGERING_CLOSE_S = 2.0


class StreamOwner(Protocol):
    """What is told of a stream's events."""

    def on_bytes(self, data: bytes) -> None:
        """Take bytes that were read."""

    def on_eof(self) -> None:
        """Note that the other side will send nothing more."""

    def on_drained(self) -> None:
        """Note that the write buffer fell below its low mark."""

    def on_closed(self) -> None:
        """Note that the stream broke, or closed after `finish`."""


class Stream:
    """Read and write one connected socket on the loop."""

    def __init__(
        self, reactor: Reactor, sock: socket.socket, owner: StreamOwner
    ) -> None:
        self._reactor = reactor
        self._sock = sock
        self._fd = sock.fileno()
        self.owner = owner
        self._buffer = bytearray()
        self._is_reading = True
        self._was_full = False
        self._is_closing = False
        self.closed = False
        self.written_bytes = 0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._update_interest()

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes wait to be written."""
        return len(self._buffer)

    def acknowledged_bytes(self) -> int:
        """Return how many bytes the other side's system has confirmed.

        A slow reader is seen to read on by these before this side's socket, which
        takes megabytes at a time, has room for more.
        """
        if self.closed:
            return self.written_bytes
        try:
            answer = fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(4))
        except OSError:
            return self.written_bytes
        return self.written_bytes - struct.unpack("i", answer)[0]

    @property
    def is_full(self) -> bool:
        """Return whether writers should wait for `on_drained`."""
        return len(self._buffer) >= HIGH_WATERMARK_BYTES

    def has_peer_closed(self) -> bool:
        """Return whether the other side has closed, though it is not read yet."""
        if self.closed:
            return True
        try:
            return not self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def write(self, data: bytes) -> None:
        """Write bytes now or, where the socket takes no more, later."""
        if self.closed or self._is_closing or not data:
            return
        if not self._buffer:
            sent = self._send(data)
            if sent is None:
                self._fail()
                return
            data = data[sent:] if sent else data
        if data:
            self._buffer += data
            self._was_full = self._was_full or self.is_full
            self._update_interest()

    def _send(self, data: bytes | memoryview) -> int | None:
        """Return how many bytes the socket took, None where it is broken."""
        try:
            sent = self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            return None
        self.written_bytes += sent
        return sent

    def pause(self) -> None:
        """Read no more until `resume`."""
        self._is_reading = False
        self._update_interest()

    def resume(self) -> None:
        """Read again."""
        self._is_reading = True
        self._update_interest()

    def is_idle(self) -> bool:
        """Return whether nothing waits to be read, not even the other side's end."""
        if self.closed:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def finish(self) -> None:
        """Close once everything that waits has been written.

        Bytes that the other side is still sending are read and dropped for a
        moment: closing on unread bytes resets the connection, and the reset can
        overtake the answer that was just written.
        """
        if self.closed or self._is_closing:
            return
        self._is_closing = True
        self._is_reading = True
        if not self._buffer:
            self._shutdown_write()
        self._update_interest()

    def _shutdown_write(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._fail()
            return
        self._reactor.call_later(LINGERING_CLOSE_S, self._fail)

    def close(self) -> None:
        """Close now; what waits to be written is lost."""
        if self.closed:
            return
        self.closed = True
        self._reactor.unwatch(self._fd)
        self._buffer.clear()
        self._sock.close()

    def abort(self) -> None:
        """Close with a reset, so that a cut answer cannot look complete."""
        if not self.closed:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def on_readable(self) -> None:
        """Read once and hand the bytes on."""
        if self.closed:
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._fail()
            return
        if self._is_closing:
            if not data:
                self._fail()
            return
        if data:
            self.owner.on_bytes(data)
            return
        self._is_reading = False
        self._update_interest()
        self.owner.on_eof()

    def on_writable(self) -> None:
        """Write what waits."""
        if self.closed:
            return
        if self._buffer:
            self._write_buffered()
            if self.closed:
                return
        if self._is_closing and not self._buffer:
            self._shutdown_write()
        self._update_interest()
        if self._is_closing:
            return
        if self._was_full and len(self._buffer) <= LOW_WATERMARK_BYTES:
            self._was_full = False
            self.owner.on_drained()

    def _write_buffered(self) -> None:
        with memoryview(self._buffer) as view:
            sent = self._send(view[:HIGH_WATERMARK_BYTES])
        if sent is None:
            self._fail()
            return
        del self._buffer[:sent]

    def on_hangup(self) -> None:
        """Treat a hang-up seen by the poller as a failed connection."""
        self._fail()

    def _fail(self) -> None:
        if not self.closed:
            self.close()
            self.owner.on_closed()

    def _update_interest(self) -> None:
        if not self.closed:
            self._reactor.watch(
                self._fd, self, read=self._is_reading, write=bool(self._buffer)
            )
