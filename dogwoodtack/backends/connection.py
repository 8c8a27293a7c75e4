"""One client connection that carries one request at a time.

A connection whose response was cut, late, malformed or followed by unexpected bytes
is closed and never reused, so a response can only reach the request it is for.

It carries no two requests with one id: an id tells requests apart but not attempts, and
a response that is written once more would be taken for the one to a later attempt.
"""

import itertools
import re
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol

import h11

from ..errors import ErrorKind, WireError
from ..logs import log_event
from ..misc import Address, is_final_status
from ..reactor import Reactor
from ..stream import Stream

__all__ = [
    "BackendConnection",
    "ConnectionOwner",
    "ConnectionUse",
    "Header",
    "OutgoingHead",
    "ResponseHead",
    "ResponseRules",
]

Header = tuple[bytes, bytes]

MAX_RESPONSE_HEAD_BYTES = 65536
# Bounds what is read while the response to the request has not begun.
MAX_INFORMATIONAL_HEADS = 32
# No sound back end sends more than these.  A series that takes longer is given up while
# there is time for another back end, rather than at the request's deadline.
USUAL_INFORMATIONAL_HEADS = 8
MAX_INFORMATIONAL_S = 1.0
MAX_SKIPPED_BYTES = 32 * 1024 * 1024
# Requests with an id that a connection carries; bounds the memory of the ids.
MAX_REQUEST_IDS = 128
BODILESS_STATUSES = frozenset({204, 304})
# Where an earlier response breaks off in its head and another one follows, that one's
# status line stands in a value or in the reason of the first.
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?!\d)")


class OutgoingHead(NamedTuple):
    """The head of a request to send.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: header pairs, including the framing headers.
    """

    method: bytes
    target: bytes
    headers: list[Header]


class ResponseHead(NamedTuple):
    """The head of a response that was received."""

    status: int
    headers: list[Header]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header named in lower case, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ConnectionUse(NamedTuple):
    """What a connection was used for until now; the field names are those in logs.

    Attributes:
        address: the other end.
        connection: number of the connection, unique within its process.
        carried: how many requests were sent on it.
        last: id of the last one of these that had an id.
    """

    address: Address
    connection: int
    carried: int
    last: str


class ResponseRules(NamedTuple):
    """What a connection accepts as the response to its request.

    Attributes:
        belongs_to_request: returns whether a response's head belongs to the request.
            One that does not is a late response to an earlier request and is skipped.
            None accepts every response.
        allow_close_delimited: whether a response may end with its connection.
        allow_trailing_bytes: whether bytes after a complete response only close the
            connection, rather than make the response malformed.
    """

    belongs_to_request: Callable[[ResponseHead], bool] | None = None
    allow_close_delimited: bool = False
    allow_trailing_bytes: bool = False


# Accepts only a response with a provable end and nothing after it.
STRICT_RULES = ResponseRules()


class ConnectionOwner(Protocol):
    """Receives the response to the request that a connection carries."""

    def on_head(self, head: ResponseHead) -> None:
        """Handle the response's head."""

    def on_body(self, data: bytes) -> None:
        """Handle a piece of the response's body."""

    def on_end(self) -> None:
        """Handle the end of a complete response; the connection may now be released."""

    def on_fail(self, exc: WireError) -> None:
        """Handle the failure of a response; the connection is closed."""

    def on_drained(self) -> None:
        """Continue sending the request's body."""


class BackendConnection:
    """A connection to a back end, a peer or the platform.

    Attributes:
        address: the other end.
        idle_since: monotonic time at which its last response ended, in seconds.
        names_requests: whether its last response named the request it belongs to; its
            owner sets it.
    """

    _numbers = itertools.count(1)

    def __init__(self, reactor: Reactor, sock: socket.socket, address: Address) -> None:
        self.address = address
        self._number = next(self._numbers)
        self._requests = 0
        # Hashes, as callers choose how long an id is; equal ones cost a connection.
        self._request_ids: set[int] = set()
        self._last_request_id = b""
        self._clock = reactor.clock
        self._owner: ConnectionOwner | None = None
        self._h11 = self._new_h11_connection()
        # Frames the request; another one after a response that was skipped.
        self._sender = self._h11
        self._head: ResponseHead | None = None
        self._method = b""
        self._response_rules = STRICT_RULES
        self._is_unexpected = False
        self._has_carried_response = False
        self._informational_heads = 0
        self._informational_since = 0.0
        self._skipped_bytes = 0
        self._eof_received = False
        self._written_before_bytes = 0
        self.idle_since = reactor.clock.monotonic()
        self.names_requests = True
        self._stream = Stream(reactor, sock, self)

    @staticmethod
    def _new_h11_connection() -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )

    @property
    def use(self) -> ConnectionUse:
        """Return what the connection was used for until now."""
        last = self._last_request_id.decode("latin-1")
        return ConnectionUse(self.address, self._number, self._requests, last)

    @property
    def was_used(self) -> bool:
        """Return whether a request was sent on it."""
        return self._requests > 0

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether a request with this id was sent on the connection."""
        return hash(request_id) in self._request_ids

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open."""
        return not self._stream.closed

    @property
    def is_quiet(self) -> bool:
        """Return whether no input is waiting to be read.

        Unread input on an idle connection is either its end or a response that no
        request asked for, which must not be taken for the next request's response.
        """
        return self._stream.is_idle()

    @property
    def bytes_sent(self) -> bool:
        """Return whether any byte of the current request was written to the socket."""
        return self._stream.written_bytes > self._written_before_bytes

    @property
    def is_full(self) -> bool:
        """Return whether the sender of a body should wait for `on_drained`."""
        return self._stream.is_full

    def send_request(
        self,
        head: OutgoingHead,
        owner: ConnectionOwner,
        body: bytes = b"",
        rules: ResponseRules = STRICT_RULES,
        request_id: bytes = b"",
    ) -> None:
        """Send a request's head and the available start of its body.

        Args:
            head: the request's head.
            owner: receives the response.
            body: the body or its first piece.
            rules: what is accepted as the response.
            request_id: the request's id, empty if it has none.

        Raises:
            WireError: the head is not valid HTTP; nothing was sent, and the
                connection is closed.
        """
        self._owner = owner
        self._head = None
        self._method = head.method
        self._response_rules = rules
        self._is_unexpected = False
        self._informational_heads = 0
        self._skipped_bytes = 0
        self._written_before_bytes = self._stream.written_bytes
        self._requests += 1
        if request_id:
            self._request_ids.add(hash(request_id))
            self._last_request_id = request_id
        try:
            request = h11.Request(
                method=head.method, target=head.target, headers=head.headers
            )
            data = self._sender.send(request)
            if body:
                data += self._sender.send(h11.Data(data=body))
        except h11.LocalProtocolError as exc:
            self.close()
            raise WireError(ErrorKind.BAD_REQUEST, str(exc), bytes_sent=False) from exc
        self._stream.write(data)

    def send_body(self, data: bytes) -> None:
        """Send a piece of the request's body."""
        if self.is_open:
            self._stream.write(self._sender.send(h11.Data(data=data)))

    def end_body(self) -> None:
        """Mark the end of the request."""
        if self.is_open:
            self._stream.write(self._sender.send(h11.EndOfMessage()))

    def pause(self) -> None:
        """Stop reading the response until `resume`."""
        if self.is_open:
            self._stream.pause()

    def resume(self) -> None:
        """Continue reading the response."""
        if self.is_open:
            self._stream.resume()

    def close(self) -> None:
        """Close now, without notifying the owner."""
        self._owner = None
        self._stream.close()

    def on_bytes(self, data: bytes) -> None:
        """Parse bytes from the socket; unexpected bytes close an idle connection."""
        if self._owner is None:
            self.close()
            return
        try:
            self._h11.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as exc:
            self._fail(ErrorKind.BACKEND_MALFORMED, str(exc))

    def on_eof(self) -> None:
        """Handle the end of input, which cuts a response that is still incomplete."""
        if self._owner is None:
            self.close()
            return
        self._eof_received = True
        try:
            # A close-delimited response ends here.
            self._h11.receive_data(b"")
            self._process_events()
        except h11.RemoteProtocolError:
            pass
        if self._owner is not None:
            self._fail(ErrorKind.BACKEND_CUT, "closed before the answer was whole")

    def on_closed(self) -> None:
        """Fail the current request, as the connection broke."""
        if self._owner is not None:
            self._fail(ErrorKind.BACKEND_CUT, "connection reset")

    def on_drained(self) -> None:
        """Notify the owner that more of the body may be sent."""
        if self._owner is not None:
            self._owner.on_drained()

    def _process_events(self) -> None:
        while self._owner is not None:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.InformationalResponse):
                self._check_informational(event)
            elif isinstance(event, h11.Response):
                self._handle_head(event)
            elif isinstance(event, h11.Data):
                self._handle_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                if not self._is_unexpected:
                    self._handle_end()
                    return
                self._skip_unexpected_response()
            else:
                self._fail(ErrorKind.BACKEND_CUT, "closed while answering")

    def _handle_data(self, data: bytes) -> None:
        if not self._is_unexpected:
            self._owner.on_body(data)
            return
        self._skipped_bytes += len(data)
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail(ErrorKind.BACKEND_MALFORMED, "another request's endless answer")

    def _check_informational(self, event: h11.InformationalResponse) -> None:
        now = self._clock.monotonic()
        if not self._informational_heads:
            self._informational_since = now
        self._informational_heads += 1
        is_long = (
            self._informational_heads > USUAL_INFORMATIONAL_HEADS
            and now - self._informational_since > MAX_INFORMATIONAL_S
        )
        if is_long or self._informational_heads > MAX_INFORMATIONAL_HEADS:
            self._fail(ErrorKind.BACKEND_MALFORMED, "too many informational heads")
        if event.status_code == 101:
            self._fail(ErrorKind.BACKEND_MALFORMED, "unasked protocol switch")

    def _handle_head(self, event: h11.Response) -> None:
        headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        head = ResponseHead(event.status_code, headers)
        error = self._framing_error(head)
        if not is_final_status(head.status):
            error = f"status {head.status} is none"
        if self._has_carried_response and _holds_status_line(event):
            log_event(
                "response-heads-joined",
                level="WARNING",
                address=self.address,
                status=event.status_code,
            )
            error = "part of an earlier answer before it"
        if error:
            self._fail(ErrorKind.BACKEND_MALFORMED, error)
            return
        self._is_unexpected = (
            self._response_rules.belongs_to_request is not None
            and not self._response_rules.belongs_to_request(head)
        )
        if self._is_unexpected:
            return
        self._head = head
        self._owner.on_head(head)

    def _skip_unexpected_response(self) -> None:
        """Continue waiting after a response that belongs to an earlier request."""
        trailing, is_closed = self._h11.trailing_data
        if self._h11.their_state is not h11.DONE or is_closed:
            self._fail(
                ErrorKind.BACKEND_MALFORMED, "another request's answer, then end"
            )
            return
        self._is_unexpected = False
        self._has_carried_response = True
        self._h11 = self._new_h11_connection()
        # The request is sent by the other one; this one only expects a response.
        placeholder = h11.Request(
            method=self._method, target=b"/", headers=[(b"host", b"-")]
        )
        self._h11.send(placeholder)
        self._h11.send(h11.EndOfMessage())
        if trailing:
            self._h11.receive_data(trailing)

    def _framing_error(self, head: ResponseHead) -> str:
        """Return why the end of a response cannot be determined, or an empty string."""
        length = head.header(b"content-length")
        coding = head.header(b"transfer-encoding")
        if length is not None and coding is not None:
            return "both content-length and transfer-encoding"
        bodiless = self._method == b"HEAD" or head.status in BODILESS_STATUSES
        if self._response_rules.allow_close_delimited:
            return ""
        if length is None and coding is None and not bodiless:
            return "neither content-length nor transfer-encoding"
        return ""

    def _handle_end(self) -> None:
        trailing = self._h11.trailing_data[0]
        if trailing and not self._response_rules.allow_trailing_bytes:
            self._fail(ErrorKind.BACKEND_MALFORMED, "bytes after the answer's end")
            return
        owner, self._owner = self._owner, None
        if trailing or self._eof_received:
            self._stream.close()
        else:
            self._make_reusable()
        owner.on_end()

    def _make_reusable(self) -> None:
        has_all_ids = len(self._request_ids) >= MAX_REQUEST_IDS
        if has_all_ids or self._sender.our_state is not h11.DONE:
            self._stream.close()
            return
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            self._stream.close()
            return
        self._sender = self._h11
        self._has_carried_response = True
        self.idle_since = self._clock.monotonic()
        self._stream.resume()

    def _fail(self, kind: ErrorKind, detail: str) -> None:
        owner, self._owner = self._owner, None
        sent = self.bytes_sent
        self._stream.close()
        if owner is not None:
            owner.on_fail(WireError(kind, detail, bytes_sent=sent))


def _holds_status_line(event: h11.Response) -> bool:
    """Return whether a head seems to be joined of two."""
    texts = [event.reason, *(value for _, value in event.headers)]
    return any(STATUS_LINE.search(text) for text in texts)
