"""One attempt of a request at one instance: connect, send, and collect the answer."""

from collections.abc import Callable
from typing import NamedTuple

from ..backends import (
    BackendConnection,
    ConnectionPool,
    Header,
    OutgoingHead,
    ResponseHead,
    ResponseRules,
)
from ..errors import WireError
from ..placement import AttemptOutcome, Instance
from ..reactor import Reactor, Timer
from .wire import WireHeaders

__all__ = ["Attempt", "AttemptResult", "SentRequest"]

HTTP_MISDIRECTED = 421
HTTP_SERVER_ERROR = 500
SUCCESS = range(200, 300)
# An answer beyond this is no answer of these services; it is given up.
MAX_ANSWER_BYTES = 32 * 1024 * 1024


class SentRequest(NamedTuple):
    """A request as instances get it, but for the headers of each attempt."""

    request_id: bytes
    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes


class AttemptResult(NamedTuple):
    """How an attempt ended.

    Attributes:
        ending: in a word.
        head: the answer's head, where a whole answer came.
        body: its whole body.
        bytes_sent: whether the request may have left this host.
        reused: whether the connection had carried an earlier request.
        idle_s: how long the connection was idle before.
    """

    ending: AttemptOutcome
    head: ResponseHead | None
    body: bytes
    bytes_sent: bool
    reused: bool
    idle_s: float


class Attempt:
    """Carry a request to an instance; `on_end(attempt, result)` is called once."""

    def __init__(
        self,
        reactor: Reactor,
        pool: ConnectionPool,
        headers: WireHeaders,
        instance: Instance,
        on_end: Callable[["Attempt", AttemptResult], None],
    ) -> None:
        self.instance = instance
        self.started_at = reactor.clock.monotonic()
        self.is_silence_noted = False
        self._reactor = reactor
        self._pool = pool
        self._names = headers
        self._on_end: Callable[[Attempt, AttemptResult], None] | None = on_end
        self._link: BackendConnection | None = None
        self._req: SentRequest | None = None
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._reused = False
        self._idle_s = 0.0
        self._give_up_at = 0.0
        self._timer: Timer | None = None

    @property
    def bytes_sent(self) -> bool:
        """Return whether the request may have left this host."""
        return self._link is not None

    @property
    def is_reused(self) -> bool:
        """Return whether the connection had carried an earlier request."""
        return self._reused

    def start(self, req: SentRequest, give_up_at: float, max_idle_s: float) -> None:
        """Begin.

        Args:
            req: what is sent.
            give_up_at: when to stop waiting, on the monotonic clock.
            max_idle_s: the longest idle time of a connection to use again.
        """
        self._req = req
        self._give_up_at = give_up_at
        wait_s = give_up_at - self._reactor.clock.monotonic()
        self._timer = self._reactor.call_later(wait_s, self._on_timeout)
        self._pool.acquire(self.instance.address, self._on_link, max_idle_s=max_idle_s)

    def cancel(self) -> None:
        """Stop, close the connection, and call nobody."""
        self._on_end = None
        self._stop()

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._link is not None:
            self._link.close()

    def _on_link(self, link: BackendConnection | None, exc: WireError | None) -> None:
        if self._on_end is None:
            if link is not None:
                self._pool.release(link)
            return
        if link is None:
            self._finish(AttemptOutcome.NOT_SENT)
            return
        now = self._reactor.clock.monotonic()
        self._link = link
        self._reused = link.was_used
        self._idle_s = now - link.idle_since
        rules = ResponseRules(
            self._belongs, allow_close_delimited=True, allow_trailing_bytes=True
        )
        out = OutgoingHead(self._req.method, self._req.target, self._headers(now))
        try:
            link.send_request(out, self, self._req.body, rules)
        except WireError:
            self._link = None
            self._finish(AttemptOutcome.NOT_SENT)
            return
        link.end_body()

    def _headers(self, now: float) -> list[Header]:
        left_ms = max(1, int((self._give_up_at - now) * 1000))
        return [
            *self._req.headers,
            (self._names.deadline_ms, str(left_ms).encode()),
            (self._names.expected_instance, self.instance.id.encode()),
        ]

    def _belongs(self, head: ResponseHead) -> bool:
        """Return whether an answer is not one to another request."""
        echoed = head.header(self._names.request_id)
        return echoed is None or echoed == self._req.request_id

    def on_head(self, head: ResponseHead) -> None:
        """Keep the answer's head."""
        self._head = head

    def on_body(self, data: bytes) -> None:
        """Collect the answer's body."""
        self._body += data
        if len(self._body) > MAX_ANSWER_BYTES:
            self._link.close()
            self._finish(AttemptOutcome.MALFORMED)

    def on_end(self) -> None:
        """Judge the whole answer."""
        self._pool.release(self._link)
        self._finish(self._judge())

    def _judge(self) -> AttemptOutcome:
        head = self._head
        if head.status == HTTP_MISDIRECTED:
            return AttemptOutcome.MISDIRECTED
        if head.header(self._names.not_executed) is not None:
            return AttemptOutcome.NOT_EXECUTED
        if head.status in SUCCESS:
            proven = head.header(self._names.signature) is not None
            proven = proven and head.header(self._names.request_id) is not None
            return AttemptOutcome.ANSWERED if proven else AttemptOutcome.MALFORMED
        return (
            AttemptOutcome.FAILED
            if head.status >= HTTP_SERVER_ERROR
            else AttemptOutcome.ANSWERED
        )

    def on_fail(self, exc: WireError) -> None:
        """Note that no whole answer will come."""
        self._finish(AttemptOutcome.CUT)

    def on_drained(self) -> None:
        """Do nothing: the body was handed over in one piece."""

    def _on_timeout(self) -> None:
        if self._link is None:
            self._finish(AttemptOutcome.NOT_SENT)
            return
        self._link.close()
        self._finish(AttemptOutcome.TIMED_OUT)

    def _finish(self, ending: AttemptOutcome) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        whole = ending in (
            AttemptOutcome.ANSWERED,
            AttemptOutcome.FAILED,
            AttemptOutcome.NOT_EXECUTED,
            AttemptOutcome.MISDIRECTED,
        )
        result = AttemptResult(
            ending,
            self._head if whole else None,
            bytes(self._body) if whole else b"",
            self.bytes_sent,
            self._reused,
            self._idle_s,
        )
        on_end(self, result)
