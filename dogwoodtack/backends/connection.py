"""One client connection that carries one request at a time.

A connection whose answer was cut, late, malformed or followed by stray bytes is
closed and never used again, so an answer can only reach the request it is for.
"""

import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol

import h11

from ..errors import ErrorKind, WireError
from ..misc import Address
from ..reactor import Reactor
from ..stream import Stream

__all__ = [
    "BackendConnection",
    "ConnectionOwner",
    "Header",
    "OutgoingHead",
    "ResponseHead",
    "ResponseRules",
]

Header = tuple[bytes, bytes]

MAX_RESPONSE_HEAD_BYTES = 65536
BODILESS_STATUSES = frozenset({204, 304})


class OutgoingHead(NamedTuple):
    """The head of a request to send.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: header pairs, the framing headers among them.
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


class ResponseRules(NamedTuple):
    """What a link takes for the answer to its request.

    Attributes:
        belongs: whether an answer's head belongs to the request; another one that
            comes first is a late copy for an earlier request and is passed over.
            None takes every answer.
        may_lack_length: whether an answer may end with its connection.
        may_trail: whether bytes after a whole answer only end the connection,
            rather than spoil the answer.
    """

    belongs_to_request: Callable[[ResponseHead], bool] | None = None
    allow_close_delimited: bool = False
    allow_trailing_bytes: bool = False


STRICT_RULES = ResponseRules()


class ConnectionOwner(Protocol):
    """What is told of the answer to the request a link carries."""

    def on_head(self, head: ResponseHead) -> None:
        """Take the response's head."""

    def on_body(self, data: bytes) -> None:
        """Take a piece of the response's body."""

    def on_end(self) -> None:
        """Note that the response is whole; the link is free again."""

    def on_fail(self, exc: WireError) -> None:
        """Note that the response will not become whole; the link is closed."""

    def on_drained(self) -> None:
        """Note that more of the request's body may be sent."""


class BackendConnection:
    """A connection to a back end, a peer or the platform."""

    def __init__(self, reactor: Reactor, sock: socket.socket, address: Address) -> None:
        self.address = address
        self._clock = reactor.clock
        self._owner: ConnectionOwner | None = None
        self._h11 = self._new_h11_connection()
        self._head: ResponseHead | None = None
        self._method = b""
        self._response_rules = STRICT_RULES
        self._is_unexpected = False
        self._eof_received = False
        self._written_before_bytes = 0
        self.idle_since = reactor.clock.monotonic()
        self.was_used = False
        self._stream = Stream(reactor, sock, self)

    @staticmethod
    def _new_h11_connection() -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )

    @property
    def is_open(self) -> bool:
        """Return whether the connection can take a request."""
        return not self._stream.closed

    @property
    def is_quiet(self) -> bool:
        """Return whether nothing came in since the last answer.

        What waits unread on an idle connection is either its end or an answer
        that no request asked for, and must not become the next one's answer.
        """
        return self._stream.is_quiet()

    @property
    def bytes_sent(self) -> bool:
        """Return whether any byte of the current request left this process."""
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
    ) -> None:
        """Send a request's head and, where it is at hand, its body's start.

        Raises:
            WireError: the head cannot be sent as HTTP; nothing was sent.
        """
        self._owner = owner
        self._head = None
        self._method = head.method
        self._response_rules = rules
        self._is_unexpected = False
        self._written_before_bytes = self._stream.written_bytes
        self.was_used = True
        try:
            request = h11.Request(
                method=head.method, target=head.target, headers=head.headers
            )
            data = self._h11.send(request)
            if body:
                data += self._h11.send(h11.Data(data=body))
        except h11.LocalProtocolError as exc:
            self.close()
            raise WireError(ErrorKind.BAD_REQUEST, str(exc), bytes_sent=False) from exc
        self._stream.write(data)

    def send_body(self, data: bytes) -> None:
        """Send a piece of the request's body."""
        if self.is_open:
            self._stream.write(self._h11.send(h11.Data(data=data)))

    def end_body(self) -> None:
        """Note that the request is whole."""
        if self.is_open:
            self._stream.write(self._h11.send(h11.EndOfMessage()))

    def pause(self) -> None:
        """Read no more of the answer until `resume`."""
        if self.is_open:
            self._stream.pause()

    def resume(self) -> None:
        """Read on, and hand over what was already received."""
        if self.is_open:
            self._stream.resume()

    def close(self) -> None:
        """Close now; the owner is told nothing."""
        self._owner = None
        self._stream.close()

    def on_bytes(self, data: bytes) -> None:
        """Take bytes from the socket."""
        if self._owner is None:
            self.close()
            return
        try:
            self._h11.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as exc:
            self._fail(ErrorKind.BACKEND_MALFORMED, str(exc))

    def on_eof(self) -> None:
        """Note the other side's end; an answer under way is then cut."""
        if self._owner is None:
            self.close()
            return
        self._eof_received = True
        try:
            # An answer without a length ends here.
            self._h11.receive_data(b"")
            self._process_events()
        except h11.RemoteProtocolError:
            pass
        if self._owner is not None:
            self._fail(ErrorKind.BACKEND_CUT, "closed before the answer was whole")

    def on_closed(self) -> None:
        """Note that the connection broke."""
        if self._owner is not None:
            self._fail(ErrorKind.BACKEND_CUT, "connection reset")

    def on_drained(self) -> None:
        """Pass on that more may be sent."""
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
                if not self._is_unexpected:
                    self._owner.on_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                if not self._is_unexpected:
                    self._handle_end()
                    return
                self._skip_unexpected_response()
            else:
                self._fail(ErrorKind.BACKEND_CUT, "closed while answering")

    def _check_informational(self, event: h11.InformationalResponse) -> None:
        if event.status_code == 101:
            self._fail(ErrorKind.BACKEND_MALFORMED, "unasked protocol switch")

    def _handle_head(self, event: h11.Response) -> None:
        headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        head = ResponseHead(event.status_code, headers)
        framing_error = self._framing_error(head)
        if framing_error:
            self._fail(ErrorKind.BACKEND_MALFORMED, framing_error)
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
        """Wait on for the answer after one that belongs to an earlier request."""
        trailing, is_closed = self._h11.trailing_data
        if self._h11.their_state is not h11.DONE or is_closed:
            self._fail(
                ErrorKind.BACKEND_MALFORMED, "another request's answer, then end"
            )
            return
        self._is_unexpected = False
        self._h11 = self._new_h11_connection()
        # The request is on its way already; h11 only has to wait for an answer again.
        placeholder = h11.Request(
            method=self._method, target=b"/", headers=[(b"host", b"-")]
        )
        self._h11.send(placeholder)
        self._h11.send(h11.EndOfMessage())
        if trailing:
            self._h11.receive_data(trailing)

    def _framing_error(self, head: ResponseHead) -> str:
        """Return what makes an answer's end unprovable, or an empty string."""
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
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            self._stream.close()
            return
        self.idle_since = self._clock.monotonic()
        self._stream.resume()

    def _fail(self, kind: ErrorKind, detail: str) -> None:
        owner, self._owner = self._owner, None
        sent = self.bytes_sent
        self._stream.close()
        if owner is not None:
            owner.on_fail(WireError(kind, detail, bytes_sent=sent))
