"""Byte stream over a socket, with write buffering and backpressure."""

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
    """Receives the events of a stream."""

    def on_bytes(self, data: bytes) -> None:
        """Process bytes that were read."""

    def on_eof(self) -> None:
        """Handle the end of the input: the peer will send nothing more."""

    def on_drained(self) -> None:
        """Resume writing: the buffer has drained to its low watermark."""

    def on_closed(self) -> None:
        """Handle the end of the stream: it failed, or closed after `finish`."""


class Stream:
    """Reads and writes a connected socket on the event loop."""

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
        """Return the number of bytes in the write buffer."""
        return len(self._buffer)

    def acknowledged_bytes(self) -> int:
        """Return the number of bytes the peer's TCP stack has acknowledged.

        This shows the progress of a slow reader earlier than writability does:
        the socket buffer on this side accepts megabytes at a time.
        """
        if self.closed:
            return self.written_bytes
        try:
            unacknowledged = fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(4))
        except OSError:
            return self.written_bytes
        return self.written_bytes - struct.unpack("i", unacknowledged)[0]

    @property
    def is_full(self) -> bool:
        """Return whether writers should wait for `on_drained`."""
        return len(self._buffer) >= HIGH_WATERMARK_BYTES

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed, even before the end is read."""
        if self.closed:
            return True
        try:
            return not self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def write(self, data: bytes) -> None:
        """Write bytes to the socket and buffer what it does not accept now."""
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
        """Return how many bytes the socket accepted, or None if it failed."""
        try:
            sent = self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            return None
        self.written_bytes += sent
        return sent

    def pause(self) -> None:
        """Stop reading until `resume`."""
        self._is_reading = False
        self._update_interest()

    def resume(self) -> None:
        """Continue reading."""
        self._is_reading = True
        self._update_interest()

    def is_idle(self) -> bool:
        """Return whether it is open with nothing to read, not even the peer's end."""
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
        """Close once the write buffer is flushed (lingering close).

        Bytes that the peer still sends are read and discarded for up to
        LINGERING_CLOSE_S: closing a socket with unread bytes resets the
        connection, and the reset can overtake the response just written.
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
        """Close now and discard the write buffer."""
        if self.closed:
            return
        self.closed = True
        self._reactor.unwatch(self._fd)
        self._buffer.clear()
        self._sock.close()

    def abort(self) -> None:
        """Close with a reset, so that a truncated response cannot look complete."""
        if not self.closed:
            no_linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        self.close()

    def on_readable(self) -> None:
        """Read once and pass the bytes to the owner."""
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
        """Write from the buffer."""
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
        """Close the stream after a hang-up."""
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
