"""One attempt at one instance: connect, send, and receive the response."""

from typing import Protocol

from ..backends import (
    BackendConnection,
    ConnectionPool,
    ConnectionUse,
    OutgoingHead,
    ResponseHead,
)
from ..errors import ErrorKind, WireError
from ..limits import Slot
from ..reactor import Reactor, Timer
from .headers import NOT_EXECUTED, REQUEST_ID

__all__ = ["Attempt", "AttemptOwner"]


class AttemptOwner(Protocol):
    """Receives the events of an attempt."""

    def on_attempt_head(self, attempt: "Attempt", head: ResponseHead) -> None:
        """Handle the response's head."""

    def on_attempt_body(self, attempt: "Attempt", data: bytes) -> None:
        """Handle a piece of the response's body."""

    def on_attempt_end(self, attempt: "Attempt") -> None:
        """Handle the end of the response; the slot was released."""

    def on_attempt_fail(self, attempt: "Attempt", exc: WireError) -> None:
        """Handle a failed attempt; the slot was released."""

    def on_attempt_drained(self, attempt: "Attempt") -> None:
        """Continue: more of the request's body may be sent."""

    def on_attempt_send(self, attempt: "Attempt", use: ConnectionUse) -> None:
        """Handle that the request is about to be sent on a connection."""

    def on_attempt_head_sent(self, attempt: "Attempt") -> None:
        """Handle that the request's head was sent."""


class Attempt:
    """Send a request to an instance and pass the response to the owner.

    Args:
        reactor: event loop and clock.
        pool: connections to instances.
        slot: the instance and its slot, which is released at the end.
        owner: receives the events.
        request_id: id that is sent to the instance; a response may echo it.
        timeout_s: seconds until the attempt fails unless `reset_timeout` is called.

    Attributes:
        slot: the instance and its slot.
        request_id: id that is sent to the instance.
        started_at: monotonic time in seconds.
        head_at: monotonic time of the response's head in seconds, None before it.
    """

    def __init__(
        self,
        reactor: Reactor,
        pool: ConnectionPool,
        slot: Slot,
        owner: AttemptOwner,
        request_id: str,
        timeout_s: float,
    ) -> None:
        self.slot = slot
        self.request_id = request_id
        self.started_at = reactor.clock.monotonic()
        self.head_at: float | None = None
        self._reactor = reactor
        self._pool = pool
        self._owner: AttemptOwner | None = owner
        self._conn: BackendConnection | None = None
        self._out: OutgoingHead | None = None
        self._body: bytes | None = b""
        self._is_head_sent = False
        self._is_unnamed_shed = False
        self._must_be_named = False
        self._timer: Timer = reactor.call_later(timeout_s, self._on_timeout)

    @property
    def is_full(self) -> bool:
        """Return whether the sender of the body should wait."""
        return self._conn is None or self._conn.is_full

    @property
    def is_head_sent(self) -> bool:
        """Return whether the request's head was written to a connection."""
        return self._is_head_sent

    @property
    def bytes_sent(self) -> bool:
        """Return whether any byte of the request left this process."""
        return self._conn is not None and self._conn.bytes_sent

    @property
    def latency_s(self) -> float:
        """Return seconds from the start to the response's head, or until now."""
        end = self.head_at
        if end is None:
            end = self._reactor.clock.monotonic()
        return end - self.started_at

    def start(self, out: OutgoingHead, body: bytes | None, is_idempotent: bool) -> None:
        """Acquire a connection and send a request.

        A request that is not idempotent reuses only a recently used connection whose
        responses name their requests.

        Args:
            out: the request's head.
            body: the complete body, or None if `send_body` streams it afterwards.
            is_idempotent: whether the request may run more than once.
        """
        self._out = out
        self._body = body
        self._must_be_named = not is_idempotent
        self._pool.acquire(
            self.slot.instance.address,
            self._on_connection,
            fresh=not is_idempotent,
            only_naming=not is_idempotent,
            request_id=self.request_id.encode(),
        )

    def _on_connection(
        self, conn: BackendConnection | None, error: WireError | None
    ) -> None:
        if self._owner is None:
            if conn is not None:
                self._pool.release(conn)
            return
        if error is not None:
            self._fail(error)
            return
        self._owner.on_attempt_send(self, conn.use)
        self._conn = conn
        self._must_be_named = self._must_be_named and conn.was_used
        try:
            conn.send_request(
                self._out, self, self._body or b"", request_id=self.request_id.encode()
            )
        except WireError as exc:
            self._fail(exc)
            return
        if self._body is not None:
            conn.end_body()
        if self._owner is not None:
            self._is_head_sent = True
            self._owner.on_attempt_head_sent(self)

    def send_body(self, data: bytes) -> None:
        """Send a piece of a streamed body."""
        if self._conn is not None:
            self._conn.send_body(data)

    def end_body(self) -> None:
        """End a streamed body."""
        if self._conn is not None:
            self._conn.end_body()

    def reset_timeout(self, timeout_s: float) -> None:
        """Restart the timer after which the attempt fails unless it ends."""
        self._timer.cancel()
        self._timer = self._reactor.call_later(timeout_s, self._on_timeout)

    def pause(self) -> None:
        """Stop reading the response until `resume`."""
        if self._conn is not None:
            self._conn.pause()

    def resume(self) -> None:
        """Continue reading."""
        if self._conn is not None:
            self._conn.resume()

    def cancel(self) -> None:
        """Abandon the attempt; the closed connection signals that to the back end."""
        self._owner = None
        self._close_conn()

    def on_head(self, head: ResponseHead) -> None:
        """Check that the response belongs to this request, and notify the owner."""
        echoed = head.header(REQUEST_ID)
        if echoed is not None and echoed.decode("latin-1") != self.request_id:
            detail = "the answer names another request"
            self._fail(WireError(ErrorKind.BACKEND_MALFORMED, detail))
            return
        if echoed is None and self._must_be_named:
            # Earlier ones on this connection had a name.
            detail = "the answer names no request"
            self._fail(WireError(ErrorKind.BACKEND_MALFORMED, detail))
            return
        self._conn.names_requests = echoed is not None
        self._is_unnamed_shed = echoed is None and head.header(NOT_EXECUTED) is not None
        self.head_at = self._reactor.clock.monotonic()
        self._owner.on_attempt_head(self, head)

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the response to the owner."""
        if self._owner is not None:
            self._owner.on_attempt_body(self, data)

    def on_end(self) -> None:
        """Release the connection and the slot, then notify the owner."""
        self._timer.cancel()
        if self._is_unnamed_shed:
            # If the back end repeated it, it would be taken for the response to the
            # connection's next request, which then ran a second time elsewhere.
            self._conn.close()
        else:
            self._pool.release(self._conn)
        self.slot.release()
        owner, self._owner = self._owner, None
        if owner is not None:
            owner.on_attempt_end(self)

    def on_fail(self, exc: WireError) -> None:
        """Fail the attempt, as its connection failed."""
        self._fail(exc)

    def on_drained(self) -> None:
        """Notify the owner that more may be sent."""
        if self._owner is not None:
            self._owner.on_attempt_drained(self)

    def _on_timeout(self) -> None:
        sent = self.bytes_sent
        self._fail(WireError(ErrorKind.BACKEND_TIMEOUT, "no answer in time", sent))

    def _fail(self, exc: WireError) -> None:
        owner, self._owner = self._owner, None
        self._close_conn()
        if owner is not None:
            owner.on_attempt_fail(self, exc)

    def _close_conn(self) -> None:
        self._timer.cancel()
        if self._conn is not None:
            self._conn.close()
        self.slot.release()
