"""One attempt of a request: connect, send, collect the response."""

from collections.abc import Callable
from typing import NamedTuple

from ..backends import (
    NO_REUSE,
    BackendConnection,
    ConnectionPool,
    ConnectionUse,
    Header,
    OutgoingHead,
    ResponseHead,
    ResponseRules,
)
from ..errors import ErrorKind, WireError
from ..logs import log_event
from ..misc import Address
from ..placement import AttemptOutcome, Instance, InstanceNotice
from ..reactor import Reactor, Timer
from .buffers import ResponseBody, ResponseBuffers
from .notices import NoticeReader
from .wire import HeaderNames

__all__ = [
    "SUCCESS_STATUSES",
    "Attempt",
    "AttemptResult",
    "AttemptTarget",
    "OutgoingRequest",
]

BODY_PIECE_BYTES = 65536
HTTP_MISDIRECTED = 421
HTTP_SERVER_ERROR = 500
SUCCESS_STATUSES = range(200, 300)


class OutgoingRequest(NamedTuple):
    """A request to instances, without the headers that differ between attempts.

    Attributes:
        request_id: its id, empty if it has none.
        method: HTTP method.
        target: path and query.
        headers: headers that every attempt sends.
        body: the complete body.
    """

    request_id: bytes
    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes | bytearray


class AttemptTarget(NamedTuple):
    """Where an attempt sends the request.

    Attributes:
        name: id of the instance or name of the entry host.
        address: where to connect.
        headers: headers that are sent only there.
        instance: the instance; None for an entry host.
        max_runs: how many instances may run the request in this attempt.
    """

    name: str
    address: Address
    headers: list[Header]
    instance: Instance | None
    max_runs: int = 1


class AttemptResult(NamedTuple):
    """How an attempt ended.

    Attributes:
        outcome: the classified result.
        head: the response's head, None unless it was complete and valid.
        body: its complete body, empty without a head.
        bytes_sent: whether the request may have left this host.
        reused: whether the connection had carried an earlier request.
        idle_s: seconds for which the connection was idle before.
        notice: what the head says about the instance, even if the body was not
            complete; None without a head.
    """

    outcome: AttemptOutcome
    head: ResponseHead | None
    body: bytes
    bytes_sent: bool
    reused: bool
    idle_s: float
    notice: InstanceNotice | None = None


class Attempt:
    """Send a request to an instance or another entry host and collect the response.

    Args:
        reactor: event loop and clock.
        pool: connections to the target.
        buffers: memory of the responses.
        header_names: header names on the wire.
        notices: reads what a head says about its instance.
        target: where the request is sent.
        on_connect: called with whether the target accepted the connection, if a new
            one is needed.
        on_send: called with the attempt, right before its request is sent, and what
            its connection was used for.
        on_end: called once with the attempt and its result, unless it is cancelled.
    """

    def __init__(
        self,
        reactor: Reactor,
        pool: ConnectionPool,
        buffers: ResponseBuffers,
        header_names: HeaderNames,
        notices: NoticeReader,
        target: AttemptTarget,
        on_connect: Callable[[bool], None],
        on_send: Callable[["Attempt", ConnectionUse], None],
        on_end: Callable[["Attempt", AttemptResult], None],
    ) -> None:
        self.target = target
        self.started_at = reactor.clock.monotonic()
        self.is_silence_reported = False
        self._reactor = reactor
        self._pool = pool
        self._buffers = buffers
        self._header_names = header_names
        self._notices = notices
        self._on_connect = on_connect
        self._on_send = on_send
        self._on_end: Callable[[Attempt, AttemptResult], None] | None = on_end
        self._conn: BackendConnection | None = None
        self._req: OutgoingRequest | None = None
        self._head: ResponseHead | None = None
        self._body = ResponseBody()
        self._reused = False
        self._has_skipped_response = False
        self._sent_bytes = 0
        self._is_body_ended = False
        self._idle_s = 0.0
        self._deadline = 0.0
        self._timer: Timer | None = None

    @property
    def bytes_sent(self) -> bool:
        """Return whether the request may have left this host."""
        return self._conn is not None

    @property
    def is_reused(self) -> bool:
        """Return whether the connection had carried an earlier request."""
        return self._reused

    def start(self, req: OutgoingRequest, deadline: float, max_idle_s: float) -> None:
        """Acquire a connection and send the request.

        Args:
            req: the request.
            deadline: when the attempt times out, on the monotonic clock.
            max_idle_s: longest idle time of a connection to reuse, in seconds.
        """
        self._req = req
        self._deadline = deadline
        wait_s = deadline - self._reactor.clock.monotonic()
        self._timer = self._reactor.call_later(wait_s, self._on_timeout)
        if not req.request_id:
            # No response can name this request, so it has to be the first one.
            max_idle_s = NO_REUSE
        self._pool.acquire(
            self.target.address,
            self._on_connection,
            max_idle_s=max_idle_s,
            request_id=req.request_id,
        )

    def cancel(self) -> None:
        """Stop and close the connection without calling `on_end`."""
        self._on_end = None
        self._release_buffer()
        self._stop()

    def _release_buffer(self) -> None:
        """Free the memory of the body; the attempt may be referenced for longer."""
        self._buffers.remove(self)
        self._body.clear()

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._conn is not None:
            self._conn.close()

    def _on_connection(
        self, conn: BackendConnection | None, exc: WireError | None
    ) -> None:
        is_exhausted = exc is not None and exc.kind is ErrorKind.HOST_EXHAUSTED
        if not is_exhausted and (conn is None or not conn.was_used):
            self._on_connect(conn is not None)
        if self._on_end is None:
            if conn is not None:
                self._pool.release(conn)
            return
        if conn is None:
            self._finish(
                AttemptOutcome.HOST_EXHAUSTED
                if is_exhausted
                else AttemptOutcome.NOT_SENT
            )
            return
        self._on_send(self, conn.use)
        if self._on_end is None:
            # The request has ended meanwhile.
            conn.close()
            return
        now = self._reactor.clock.monotonic()
        self._conn = conn
        self._reused = conn.was_used
        self._idle_s = now - conn.idle_since
        rules = ResponseRules(
            self._belongs_to_request,
            allow_close_delimited=True,
            allow_trailing_bytes=True,
        )
        out = OutgoingHead(self._req.method, self._req.target, self._headers(now))
        try:
            conn.send_request(
                out, self, self._next_piece(), rules, self._req.request_id
            )
        except WireError:
            self._conn = None
            self._finish(AttemptOutcome.NOT_SENT)
            return
        self._send_body()

    def _send_body(self) -> None:
        """Send as much of the body as the connection accepts; then mark its end.

        A long body sent in one piece would be copied several times.
        """
        while self._sent_bytes < len(self._req.body):
            if self._conn.is_full or not self._conn.is_open:
                return
            self._conn.send_body(self._next_piece())
        if not self._is_body_ended:
            self._is_body_ended = True
            self._conn.end_body()

    def _next_piece(self) -> bytes:
        """Return the next piece of the body, which counts as sent."""
        end = self._sent_bytes + BODY_PIECE_BYTES
        piece = bytes(self._req.body[self._sent_bytes : end])
        self._sent_bytes += len(piece)
        return piece

    def _headers(self, now: float) -> list[Header]:
        left_ms = max(1, int((self._deadline - now) * 1000))
        return [
            *self._req.headers,
            *self.target.headers,
            (self._header_names.deadline_ms, str(left_ms).encode()),
        ]

    def _belongs_to_request(self, head: ResponseHead) -> bool:
        """Return whether a response is certainly the one to this request.

        It echoes the request's id and no other.  One without an id may be an earlier
        response written once more, unless it is the first one on its connection.
        """
        name = self._header_names.request_id
        echoed = [value for key, value in head.headers if key == name]
        belongs = (
            all(value == self._req.request_id for value in echoed)
            if echoed
            else not self._reused and not self._has_skipped_response
        )
        if not belongs:
            self._has_skipped_response = True
            log_event(
                "response-skipped",
                level="WARNING",
                instance=self.target.name,
                request=self._req.request_id.decode("latin-1"),
                status=head.status,
                echoed=b" ".join(echoed).decode("latin-1"),
            )
        return belongs

    def on_head(self, head: ResponseHead) -> None:
        """Keep the response's head; end the attempt if it is no success to forward."""
        self._head = head
        if head.status in SUCCESS_STATUSES and not self._is_authentic(head):
            self._drop_response()

    def on_body(self, data: bytes) -> None:
        """Collect the response's body."""
        self._body.append(data)
        self._buffers.grow(self, len(data))

    def on_buffer_exceeded(self) -> None:
        """Drop the response: it has grown larger than any of a sound instance."""
        self._drop_response()

    def _drop_response(self) -> None:
        self._conn.close()
        self._finish(AttemptOutcome.MALFORMED)

    def on_end(self) -> None:
        """Release the connection and classify the complete response."""
        self._pool.release(self._conn)
        self._finish(self._classify())

    def _classify(self) -> AttemptOutcome:
        head = self._head
        if head.status == HTTP_MISDIRECTED:
            return AttemptOutcome.MISDIRECTED
        if head.header(self._header_names.not_executed) is not None:
            return AttemptOutcome.NOT_EXECUTED
        if head.status in SUCCESS_STATUSES:
            return AttemptOutcome.ANSWERED
        return (
            AttemptOutcome.FAILED
            if head.status >= HTTP_SERVER_ERROR
            else AttemptOutcome.ANSWERED
        )

    def _is_authentic(self, head: ResponseHead) -> bool:
        """Return whether a success is signed and names its request."""
        return (
            head.header(self._header_names.signature) is not None
            and head.header(self._header_names.request_id) is not None
        )

    def on_fail(self, exc: WireError) -> None:
        """End the attempt, as no complete response will come."""
        self._finish(AttemptOutcome.CUT)

    def on_drained(self) -> None:
        """Continue to send the body."""
        if self._on_end is not None:
            self._send_body()

    def _on_timeout(self) -> None:
        if self._conn is None:
            self._finish(AttemptOutcome.NOT_SENT)
            return
        self._conn.close()
        self._finish(AttemptOutcome.TIMED_OUT)

    def _finish(self, outcome: AttemptOutcome) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        has_valid_response = outcome in (
            AttemptOutcome.ANSWERED,
            AttemptOutcome.FAILED,
            AttemptOutcome.NOT_EXECUTED,
            AttemptOutcome.MISDIRECTED,
        )
        result = AttemptResult(
            outcome,
            self._head if has_valid_response else None,
            bytes(self._body) if has_valid_response else b"",
            self.bytes_sent,
            self._reused,
            self._idle_s,
            None if self._head is None else self._notices.read(self._head),
        )
        self._release_buffer()
        on_end(self, result)
