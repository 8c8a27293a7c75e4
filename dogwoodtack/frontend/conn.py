"""One server connection, strict about where each message ends."""

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
PIPELINE_PAUSE_BYTES = 65536
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
FOLDED_LINE = re.compile(rb"\n[ \t]")
HEAD_END = re.compile(rb"\n\r?\n")


class RequestHead(NamedTuple):
    """The head of a request that was received; header names are lower case."""

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
    """What is told of a server connection's events."""

    def on_request(self, conn: "ServerConn", head: RequestHead) -> None:
        """Take a request's head."""

    def on_request_body(self, conn: "ServerConn", data: bytes) -> None:
        """Take a piece of a request's body."""

    def on_request_end(self, conn: "ServerConn") -> None:
        """Note that the request is whole."""

    def on_request_error(
        self, conn: "ServerConn", kind: ErrorKind, detail: str
    ) -> None:
        """Note that the request is malformed; the connection closes after."""

    def on_conn_drained(self, conn: "ServerConn") -> None:
        """Note that more of the answer may be sent."""

    def on_conn_closed(self, conn: "ServerConn") -> None:
        """Note that the other side went away."""


class ServerConn:
    """Read requests and write answers, one at a time and in order."""

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
        # How long no request may begin; a head that has begun has its own time.
        self._idle_timeout_s = idle_timeout_s or head_timeout_s
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_HEAD_BYTES
        )
        self._last = False
        self._broken = False
        self._told_gone = False
        self._asks_for_head = False
        self._unsent_head = b""
        self._raw = bytearray()
        self._head_timer: Timer | None = None
        self.in_request = False
        self.answer_started = False
        self._stream = Stream(reactor, sock, self)
        self._arm_head_timer()

    @property
    def is_open(self) -> bool:
        """Return whether the connection stands."""
        return not self._stream.closed

    @property
    def is_full(self) -> bool:
        """Return whether the answer's sender should wait."""
        return self._stream.is_full

    def delivered_bytes(self) -> int:
        """Return how many bytes have arrived at the caller's system."""
        return self._stream.delivered_bytes()

    def has_left(self) -> bool:
        """Return whether the caller has closed, though it is not read yet."""
        return self._stream.has_ended()

    def close_after_answer(self) -> None:
        """Let the next answer be the last one and say so in its head."""
        self._last = True

    def close_when_idle(self) -> None:
        """Close now if no request is under way, else after its answer."""
        self._last = True
        if not self.in_request:
            self.close()

    def pause(self) -> None:
        """Read no more until `resume`."""
        if self.is_open:
            self._stream.pause()

    def resume(self) -> None:
        """Read on."""
        if self.is_open:
            self._stream.resume()

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Take an answer's head; it is written with the body's first piece."""
        if not self.is_open:
            return
        if self._h11.their_state is not h11.DONE:
            self._last = True
        if self._last:
            headers = [*headers, (b"connection", b"close")]
        self.answer_started = True
        response = h11.Response(status_code=status, headers=headers)
        self._unsent_head = self._h11.send(response)

    def _write(self, data: bytes) -> None:
        head, self._unsent_head = self._unsent_head, b""
        self._stream.write(head + data if head else data)

    def send_body(self, data: bytes) -> None:
        """Send a piece of an answer's body; the answer to HEAD has none."""
        if self.is_open and not self._asks_for_head:
            self._write(self._h11.send(h11.Data(data=data)))

    def end_answer(self) -> None:
        """Note that the answer is whole, and go on to the next request."""
        if not self.is_open:
            return
        self._write(self._h11.send(h11.EndOfMessage()))
        self.in_request = False
        self.answer_started = False
        if self._last or self._broken or self._h11.our_state is h11.MUST_CLOSE:
            self._stream.finish()
            return
        if self._h11.their_state is not h11.DONE:
            self._stream.finish()
            return
        self._h11.start_next_cycle()
        self._raw += self._h11.trailing_data[0]
        self._arm_head_timer()
        self._stream.resume()
        self._reactor.call_soon(self._take_events)

    def write_raw(self, data: bytes) -> None:
        """Write bytes past the HTTP state, for stand-ins that break its rules."""
        self._stream.write(data)

    def finish_raw(self) -> None:
        """Close once what `write_raw` was given is written, for stand-ins."""
        self._stream.finish()

    def abort(self) -> None:
        """Cut the connection so that a part of an answer cannot look whole."""
        if self.is_open:
            self._stream.abort()
            self._gone()

    def close(self) -> None:
        """Close now."""
        if self.is_open:
            self._stream.close()
            self._gone()

    def on_bytes(self, data: bytes) -> None:
        """Take bytes from the socket."""
        if self._broken:
            return
        if self._h11.their_state is h11.IDLE:
            if not self._raw:
                self._arm_head_timer(self._head_timeout_s)
            self._raw += data
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._fault(exc)
            return
        self._take_events()
        if self.in_request and self._h11.trailing_data[0]:
            waiting = len(self._h11.trailing_data[0])
            if waiting > PIPELINE_PAUSE_BYTES:
                self.pause()

    def on_eof(self) -> None:
        """Treat the caller's end as its going away."""
        self.close()

    def on_closed(self) -> None:
        """Note that the connection broke."""
        self._gone()

    def on_drained(self) -> None:
        """Pass on that more may be sent."""
        self._owner.on_conn_drained(self)

    def _gone(self) -> None:
        self._stop_head_timer()
        if not self._told_gone:
            self._told_gone = True
            self._owner.on_conn_closed(self)

    def _take_events(self) -> None:
        while self.is_open and not self._broken:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                self._fault(exc)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._owner.on_request_body(self, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._owner.on_request_end(self)
            else:
                return

    def _take_raw_head(self) -> bytes:
        """Return the bytes of the head that h11 has just parsed."""
        raw = bytes(self._raw).lstrip(b"\r\n")
        self._raw.clear()
        return HEAD_END.split(raw, 1)[0]

    def _take_head(self, event: h11.Request) -> None:
        self._stop_head_timer()
        self._asks_for_head = event.method == b"HEAD"
        self.in_request = True
        self.answer_started = False
        headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        head = RequestHead(event.method.decode(), event.target.decode(), headers)
        kind, detail = raw_fault(self._take_raw_head())
        if kind is None:
            kind, detail = head_fault(head, bytes(event.http_version))
        if kind is not None:
            self._broken = True
            self._last = True
            self._owner.on_request_error(self, kind, detail)
            return
        if is_bodiless(head):
            self._h11.next_event()
            self._owner.on_request(self, head)
            self._owner.on_request_end(self)
            return
        self._owner.on_request(self, head)
        if not self.in_request or self.answer_started or not self.is_open:
            return
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._stream.write(self._h11.send(go_on))

    def _fault(self, exc: h11.RemoteProtocolError) -> None:
        self._stop_head_timer()
        self._broken = True
        self._last = True
        kind = ErrorKind.BAD_REQUEST
        if exc.error_status_hint == 431:
            kind = ErrorKind.HEADERS_TOO_LARGE
        elif exc.error_status_hint == 501:
            kind = ErrorKind.CODING_UNSUPPORTED
        self._owner.on_request_error(self, kind, str(exc))

    def _arm_head_timer(self, timeout_s: float | None = None) -> None:
        self._stop_head_timer()
        self._head_timer = self._reactor.call_later(
            timeout_s or self._idle_timeout_s, self._on_head_timeout
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        """Close an idle connection; a request that began is told why."""
        if not self._h11.trailing_data[0]:
            self.close()
            return
        self._broken = True
        self._last = True
        self._owner.on_request_error(
            self, ErrorKind.CALLER_TIMEOUT, "the request's head did not come in time"
        )


def is_bodiless(head: RequestHead) -> bool:
    """Return whether a request ends with its head."""
    if head.header(b"transfer-encoding") is not None:
        return False
    return int(head.header(b"content-length") or 0) == 0


def raw_fault(raw: bytes) -> tuple[ErrorKind | None, str]:
    """Return what h11 would mend in a head's bytes instead of refusing it.

    A folded header or a bare line feed is read differently by different
    servers, so a head that holds one is refused.
    """
    if len(raw) > MAX_REQUEST_HEAD_BYTES:
        return ErrorKind.HEADERS_TOO_LARGE, f"over {MAX_REQUEST_HEAD_BYTES} bytes"
    if BARE_LINE_FEED.search(raw):
        return ErrorKind.BAD_REQUEST, "a line ends with a bare line feed"
    if FOLDED_LINE.search(raw):
        return ErrorKind.BAD_REQUEST, "a header is folded over several lines"
    return None, ""


def head_fault(head: RequestHead, version: bytes) -> tuple[ErrorKind | None, str]:
    """Return what is wrong with a request's framing, or None.

    HTTP/1.0 is refused because an answer to it may end with the connection, and
    a cut one could then not be told from a whole one.
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
