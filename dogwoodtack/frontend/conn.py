"""A server-side HTTP/1.1 connection with strict message framing."""

import re
import socket
from typing import NamedTuple, Protocol

import h11

from ..backends import Header
from ..errors import ErrorKind
from ..misc import Address
from ..reactor import Reactor, Timer
from ..stream import Stream

__all__ = ["RequestHead", "ServerConn", "ServerOwner"]

MAX_REQUEST_HEAD_BYTES = 32768
MAX_PIPELINED_BYTES = 65536
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
FOLDED_LINE = re.compile(rb"\n[ \t]")
HEAD_END = re.compile(rb"\n\r?\n")


class RequestHead(NamedTuple):
    """The head of a received request; header names are in lower case."""

    method: str
    target: str
    headers: list[Header]

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


class ServerOwner(Protocol):
    """Receives the events of a server connection."""

    def on_request(self, conn: "ServerConn", head: RequestHead) -> None:
        """Handle a request's head."""

    def on_request_body(self, conn: "ServerConn", data: bytes) -> None:
        """Handle a piece of a request's body."""

    def on_request_end(self, conn: "ServerConn") -> None:
        """Handle the end of a request."""

    def on_request_error(
        self, conn: "ServerConn", kind: ErrorKind, detail: str
    ) -> None:
        """Handle a malformed request; the connection closes after its response."""

    def on_conn_drained(self, conn: "ServerConn") -> None:
        """Continue: more of the response may be sent."""

    def on_conn_closed(self, conn: "ServerConn") -> None:
        """Handle the end of the connection."""


class ServerConn:
    """Read requests and write responses, one at a time and in order.

    Args:
        reactor: event loop.
        sock: the accepted socket.
        peer: address of the other side.
        owner: receives the events.
        head_timeout_s: seconds from the first byte of a request's head to its end.
        idle_timeout_s: seconds to the first byte of a request; None for
            `head_timeout_s`.

    Attributes:
        peer: address of the other side.
        in_request: whether a request has begun whose response has not ended.
        response_started: whether that response has begun.
    """

    def __init__(
        self,
        reactor: Reactor,
        sock: socket.socket,
        peer: Address,
        owner: ServerOwner,
        head_timeout_s: float,
        idle_timeout_s: float | None = None,
    ) -> None:
        self.peer = peer
        self._reactor = reactor
        self._owner = owner
        self._head_timeout_s = head_timeout_s
        # Until the first byte of a request; its head has its own timeout after that.
        self._idle_timeout_s = idle_timeout_s or head_timeout_s
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_HEAD_BYTES
        )
        self._is_last_response = False
        self._is_broken = False
        self._is_closure_reported = False
        self._is_head_request = False
        self._unsent_head = b""
        self._raw_head = bytearray()
        self._head_timer: Timer | None = None
        self.in_request = False
        self.response_started = False
        self._stream = Stream(reactor, sock, self)
        self._arm_head_timer()

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open."""
        return not self._stream.closed

    @property
    def is_full(self) -> bool:
        """Return whether the sender of the response should wait."""
        return self._stream.is_full

    def delivered_bytes(self) -> int:
        """Return how many bytes the caller's system has acknowledged."""
        return self._stream.acknowledged_bytes()

    def has_peer_closed(self) -> bool:
        """Return whether the caller has closed, even if this is not read yet."""
        return self._stream.has_peer_closed()

    def close_after_response(self) -> None:
        """Close after the next response, and announce it in the response's head."""
        self._is_last_response = True

    def close_when_idle(self) -> None:
        """Close now if no request is in progress, else after its response.

        A response that has ended may still wait in the write buffer for its caller.
        """
        self._is_last_response = True
        if self.in_request:
            return
        if self._stream.buffered_bytes:
            self._stream.finish()
        else:
            self.close()

    def pause(self) -> None:
        """Stop reading until `resume`."""
        if self.is_open:
            self._stream.pause()

    def resume(self) -> None:
        """Continue reading."""
        if self.is_open:
            self._stream.resume()

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Begin a response; its head is written with the body's first piece."""
        if not self.is_open:
            return
        if self._h11.their_state is not h11.DONE:
            self._is_last_response = True
        if self._is_last_response:
            headers = [*headers, (b"connection", b"close")]
        self.response_started = True
        response = h11.Response(status_code=status, headers=headers)
        self._unsent_head = self._h11.send(response)

    def _write(self, data: bytes) -> None:
        head, self._unsent_head = self._unsent_head, b""
        self._stream.write(head + data if head else data)

    def send_body(self, data: bytes) -> None:
        """Send a piece of a response's body; the response to HEAD has none."""
        if self.is_open and not self._is_head_request:
            self._write(self._h11.send(h11.Data(data=data)))

    def end_response(self) -> None:
        """End the response and continue with the next request."""
        if not self.is_open:
            return
        self._write(self._h11.send(h11.EndOfMessage()))
        self.in_request = False
        self.response_started = False
        if (
            self._is_last_response
            or self._is_broken
            or self._h11.our_state is h11.MUST_CLOSE
        ):
            self._stream.finish()
            return
        if self._h11.their_state is not h11.DONE:
            self._stream.finish()
            return
        self._h11.start_next_cycle()
        self._raw_head += self._h11.trailing_data[0]
        self._arm_head_timer()
        self._stream.resume()
        self._reactor.call_soon(self._process_events)

    def write_raw(self, data: bytes) -> None:
        """Write bytes without HTTP processing, for stand-ins that violate HTTP."""
        self._stream.write(data)

    def finish_raw(self) -> None:
        """Close once the bytes of `write_raw` are written, for stand-ins."""
        self._stream.finish()

    def abort(self) -> None:
        """Reset the connection, so that a partial response cannot look complete."""
        if self.is_open:
            self._stream.abort()
            self._report_closed()

    def close(self) -> None:
        """Close now."""
        if self.is_open:
            self._stream.close()
            self._report_closed()

    def on_bytes(self, data: bytes) -> None:
        """Parse bytes from the socket."""
        if self._is_broken:
            return
        if self._h11.their_state is h11.IDLE:
            if not self._raw_head:
                self._arm_head_timer(self._head_timeout_s)
            self._raw_head += data
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._on_protocol_error(exc)
            return
        self._process_events()
        if self.in_request and self._h11.trailing_data[0]:
            pipelined_bytes = len(self._h11.trailing_data[0])
            if pipelined_bytes > MAX_PIPELINED_BYTES:
                self.pause()

    def on_eof(self) -> None:
        """Treat the end of the caller's data as a disconnect."""
        self.close()

    def on_closed(self) -> None:
        """Report the end of the connection."""
        self._report_closed()

    def on_drained(self) -> None:
        """Notify the owner that more may be sent."""
        self._owner.on_conn_drained(self)

    def _report_closed(self) -> None:
        self._stop_head_timer()
        if not self._is_closure_reported:
            self._is_closure_reported = True
            self._owner.on_conn_closed(self)

    def _process_events(self) -> None:
        while self.is_open and not self._is_broken:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                self._on_protocol_error(exc)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                self._owner.on_request_body(self, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._owner.on_request_end(self)
            else:
                return

    def _pop_raw_head(self) -> bytes:
        """Return the bytes of the head that h11 has just parsed."""
        raw = bytes(self._raw_head).lstrip(b"\r\n")
        self._raw_head.clear()
        return HEAD_END.split(raw, 1)[0]

    def _on_head(self, event: h11.Request) -> None:
        self._stop_head_timer()
        self._is_head_request = event.method == b"HEAD"
        self.in_request = True
        self.response_started = False
        headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        head = RequestHead(event.method.decode(), event.target.decode(), headers)
        kind, detail = raw_head_error(self._pop_raw_head())
        if kind is None:
            kind, detail = head_error(head, bytes(event.http_version))
        if kind is not None:
            self._is_broken = True
            self._is_last_response = True
            self._owner.on_request_error(self, kind, detail)
            return
        if is_bodiless(head):
            self._h11.next_event()
            self._owner.on_request(self, head)
            self._owner.on_request_end(self)
            return
        self._owner.on_request(self, head)
        if not self.in_request or self.response_started or not self.is_open:
            return
        if self._h11.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._stream.write(self._h11.send(continue_response))

    def _on_protocol_error(self, exc: h11.RemoteProtocolError) -> None:
        self._stop_head_timer()
        self._is_broken = True
        self._is_last_response = True
        kind = ErrorKind.BAD_REQUEST
        if exc.error_status_hint == 431:
            kind = ErrorKind.HEADERS_TOO_LARGE
        elif exc.error_status_hint == 501:
            kind = ErrorKind.CODING_UNSUPPORTED
        self._owner.on_request_error(self, kind, str(exc))

    def _arm_head_timer(self, timeout_s: float | None = None) -> None:
        self._stop_head_timer()
        self._head_timer = self._reactor.call_later(
            timeout_s or self._idle_timeout_s,
            self._on_head_timeout,
            self.delivered_bytes(),
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self, delivered_before: int) -> None:
        """Close an idle connection; a request that has begun gets an error.

        A connection is not idle while its caller still reads the last response.

        Args:
            delivered_before: bytes delivered when the timer was set.
        """
        if self._stream.buffered_bytes:
            if self.delivered_bytes() > delivered_before:
                self._arm_head_timer()
            else:
                self.abort()
            return
        if not self._h11.trailing_data[0]:
            self.close()
            return
        self._is_broken = True
        self._is_last_response = True
        self._owner.on_request_error(
            self, ErrorKind.CALLER_TIMEOUT, "the request's head did not come in time"
        )


def is_bodiless(head: RequestHead) -> bool:
    """Return whether a request has no body."""
    if head.header(b"transfer-encoding") is not None:
        return False
    return int(head.header(b"content-length") or 0) == 0


def raw_head_error(raw: bytes) -> tuple[ErrorKind | None, str]:
    """Return the error of a head that h11 would repair instead of rejecting.

    Servers interpret a folded header or a bare line feed differently, so a head
    with one is rejected.

    Args:
        raw: the bytes of the head.

    Returns:
        The error's kind and detail, or None and an empty string.
    """
    if len(raw) > MAX_REQUEST_HEAD_BYTES:
        return ErrorKind.HEADERS_TOO_LARGE, f"over {MAX_REQUEST_HEAD_BYTES} bytes"
    if BARE_LINE_FEED.search(raw):
        return ErrorKind.BAD_REQUEST, "a line ends with a bare line feed"
    if FOLDED_LINE.search(raw):
        return ErrorKind.BAD_REQUEST, "a header is folded over several lines"
    return None, ""


def head_error(head: RequestHead, version: bytes) -> tuple[ErrorKind | None, str]:
    """Return the error of a request's framing, or None.

    HTTP/1.0 is rejected because a response to it may end with the connection, so
    that a truncated one could not be told from a complete one.

    Args:
        head: the request's head.
        version: the HTTP version, such as b"1.1".

    Returns:
        The error's kind and detail, or None and an empty string.
    """
    if version != b"1.1":
        return ErrorKind.VERSION_UNSUPPORTED, f"HTTP/{version.decode()}"
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        return ErrorKind.BAD_REQUEST, "both content-length and transfer-encoding"
    if names.count(b"host") != 1:
        return ErrorKind.BAD_REQUEST, "exactly one Host header is required"
    if head.method == "CONNECT" or b"upgrade" in names:
        return ErrorKind.BAD_REQUEST, "tunnels and upgrades are not supported"
    if not head.target.startswith("/"):
        return ErrorKind.BAD_REQUEST, "the target must be a path"
    return None, ""
