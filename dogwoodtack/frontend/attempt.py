"""One attempt at one instance: connect, send, and watch the answer."""

from typing import Protocol

from ..backends import BackendConnection, ConnectionPool, OutgoingHead, ResponseHead
from ..errors import ErrorKind, WireError
from ..limits import Slot
from ..reactor import Reactor, Timer
from .headers import REQUEST_ID

__all__ = ["Attempt", "AttemptOwner"]


class AttemptOwner(Protocol):
    """What is told how an attempt goes."""

    def on_attempt_head(self, attempt: "Attempt", head: ResponseHead) -> None:
        """Take the answer's head."""

    def on_attempt_body(self, attempt: "Attempt", data: bytes) -> None:
        """Take a piece of the answer's body."""

    def on_attempt_end(self, attempt: "Attempt") -> None:
        """Note that the answer is whole; the slot was given back."""

    def on_attempt_fail(self, attempt: "Attempt", exc: WireError) -> None:
        """Note that the attempt failed; the slot was given back."""

    def on_attempt_drained(self, attempt: "Attempt") -> None:
        """Note that more of the request's body may be sent."""

    def on_attempt_head_sent(self, attempt: "Attempt") -> None:
        """Note that the request's head was sent."""


class Attempt:
    """Carry one request to one instance and its answer back."""

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
        self._link: BackendConnection | None = None
        self._out: OutgoingHead | None = None
        self._body: bytes | None = b""
        self._is_head_sent = False
        self._timer: Timer = reactor.call_later(timeout_s, self._on_timeout)

    @property
    def is_full(self) -> bool:
        """Return whether the sender of the body should wait."""
        return self._link is None or self._link.is_full

    @property
    def is_head_sent(self) -> bool:
        """Return whether the request's head was written to a connection."""
        return self._is_head_sent

    @property
    def bytes_sent(self) -> bool:
        """Return whether any byte of the request left this process."""
        return self._link is not None and self._link.bytes_sent

    @property
    def latency_s(self) -> float:
        """Return seconds from the start to the answer's head, or until now."""
        end = self.head_at
        if end is None:
            end = self._reactor.clock.monotonic()
        return end - self.started_at

    def start(self, out: OutgoingHead, body: bytes | None, fresh: bool) -> None:
        """Send a request; a body of None is sent in pieces afterwards."""
        self._out = out
        self._body = body
        self._pool.acquire(self.slot.instance.address, self._on_link, fresh=fresh)

    def _on_link(self, link: BackendConnection | None, error: WireError | None) -> None:
        if self._owner is None:
            if link is not None:
                self._pool.release(link)
            return
        if error is not None:
            self._fail(error)
            return
        self._link = link
        try:
            link.send_request(self._out, self, self._body or b"")
        except WireError as exc:
            self._fail(exc)
            return
        if self._body is not None:
            link.end_body()
        if self._owner is not None:
            self._is_head_sent = True
            self._owner.on_attempt_head_sent(self)

    def send_body(self, data: bytes) -> None:
        """Send a piece of a body that is sent in pieces."""
        if self._link is not None:
            self._link.send_body(data)

    def end_body(self) -> None:
        """Note that the body is whole."""
        if self._link is not None:
            self._link.end_body()

    def reset_timeout(self, timeout_s: float) -> None:
        """Fail the attempt unless it is armed again or ends in time."""
        self._timer.cancel()
        self._timer = self._reactor.call_later(timeout_s, self._on_timeout)

    def pause(self) -> None:
        """Read no more of the answer until `resume`."""
        if self._link is not None:
            self._link.pause()

    def resume(self) -> None:
        """Read on."""
        if self._link is not None:
            self._link.resume()

    def cancel(self) -> None:
        """Give the attempt up; the closed connection tells the back end so."""
        self._owner = None
        self._end_link()

    def on_head(self, head: ResponseHead) -> None:
        """Check that the answer belongs to this request and pass it on."""
        echoed = head.header(REQUEST_ID)
        if echoed is not None and echoed.decode("latin-1") != self.request_id:
            detail = "the answer names another request"
            self._fail(WireError(ErrorKind.BACKEND_MALFORMED, detail))
            return
        self.head_at = self._reactor.clock.monotonic()
        self._owner.on_attempt_head(self, head)

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the answer on."""
        if self._owner is not None:
            self._owner.on_attempt_body(self, data)

    def on_end(self) -> None:
        """Free the connection and the slot, then pass the end on."""
        self._timer.cancel()
        self._pool.release(self._link)
        self.slot.release()
        owner, self._owner = self._owner, None
        if owner is not None:
            owner.on_attempt_end(self)

    def on_fail(self, exc: WireError) -> None:
        """Pass a broken connection on."""
        self._fail(exc)

    def on_drained(self) -> None:
        """Pass on that more may be sent."""
        if self._owner is not None:
            self._owner.on_attempt_drained(self)

    def _on_timeout(self) -> None:
        sent = self.bytes_sent
        self._fail(WireError(ErrorKind.BACKEND_TIMEOUT, "no answer in time", sent))

    def _fail(self, exc: WireError) -> None:
        owner, self._owner = self._owner, None
        self._end_link()
        if owner is not None:
            owner.on_attempt_fail(self, exc)

    def _end_link(self) -> None:
        self._timer.cancel()
        if self._link is not None:
            self._link.close()
        self.slot.release()
