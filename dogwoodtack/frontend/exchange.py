"""One request of a caller, from its head to the end of its response."""

import functools
import hashlib
from collections.abc import Callable
from functools import singledispatchmethod
from typing import NamedTuple

from ..backends import ConnectionPool, ConnectionUse, OutgoingHead, ResponseHead
from ..burn import BurnTracker, RequestResult
from ..catalog import Catalog, Match
from ..draining import DrainingInstances
from ..errors import ErrorKind, Outcome, RequestError, WireError, answer_for
from ..health import Health, Sample, SampleKind
from ..keys import (
    KeyDecision,
    KeyRequest,
    KeyResult,
    KeyTable,
    KeyTicket,
    NotRun,
    Ran,
    Refuse,
    Replay,
    Run,
    Unknown,
)
from ..limits import Limits, Slot, SlotRequest, Waiter
from ..logs import log_event
from ..misc import is_safe_method, new_token
from ..reactor import Reactor, Timer
from .attempt import Attempt
from .conn import RequestHead, ServerConn, is_bodiless
from .headers import (
    DRAINING,
    IDEMPOTENCY_KEY,
    NOT_EXECUTED,
    backend_headers,
    customer_of,
    time_limit_s,
)
from .history import AttemptRecord, RequestHistory, RequestRecord
from .relay import MAX_BUFFER_TIME_S, Relay
from .replies import send_error, send_stored
from .upload import MAX_BUFFER_BYTES, Upload

__all__ = ["Exchange", "ExchangeDependencies"]

MAX_ATTEMPTS = 3
FIRST_ATTEMPT_SHARE = 0.6
HTTP_SERVER_ERROR = 500
CALLER_GONE_STATUS = 499

SAMPLE_KIND_BY_ERROR: dict[ErrorKind, SampleKind] = {
    ErrorKind.BACKEND_REFUSED: SampleKind.REFUSED,
    ErrorKind.BACKEND_TIMEOUT: SampleKind.TIMEOUT,
    ErrorKind.BACKEND_CUT: SampleKind.CUT,
    ErrorKind.BACKEND_MALFORMED: SampleKind.MALFORMED,
}


class ExchangeDependencies(NamedTuple):
    """The components and limits that every exchange uses.

    Attributes:
        reactor: event loop and clock.
        catalog: services and their routes.
        keys: table of idempotency keys.
        limits: assigns slots of instances.
        draining: receives which instances are draining.
        health: receives a sample of each attempt.
        pool: connections to instances.
        burn: error budgets, which count each request.
        request_history: receives a record of each request.
        confirm_configuration: calls its argument with whether the newest configuration
            is in force here.
        max_body_bytes: longest request body that is accepted.
        stall_timeout_s: seconds without progress after which a transfer ends.
    """

    reactor: Reactor
    catalog: Catalog
    keys: KeyTable
    limits: Limits
    draining: DrainingInstances
    health: Health
    pool: ConnectionPool
    burn: BurnTracker
    request_history: RequestHistory
    confirm_configuration: Callable[[Callable[[bool], None]], None]
    max_body_bytes: int
    stall_timeout_s: float


class Exchange:
    """Route a request, settle its key, attempt instances and relay one response.

    Args:
        deps: shared components and limits.
        conn: the caller's connection.
        head: the request's head.
        on_done: called once with this exchange when it has ended.
    """

    def __init__(
        self,
        deps: ExchangeDependencies,
        conn: ServerConn,
        head: RequestHead,
        on_done: Callable[["Exchange"], None],
    ) -> None:
        self._deps = deps
        self._on_done = on_done
        self._conn = conn
        self._head = head
        self.request_id = new_token()
        self.started_at = deps.reactor.clock.monotonic()
        self.is_done = False
        self._match: Match | None = None
        self._is_idempotent = False
        self._is_kind_confirmed = False
        self._deadline = 0.0
        self._upload = Upload(
            conn, deps.reactor, deps.stall_timeout_s, self._on_upload_stalled
        )
        self._settle_timer: Timer | None = None
        self._ticket: KeyTicket | None = None
        self._waiter: Waiter | None = None
        self._attempt: Attempt | None = None
        self._tried_instances: set[str] = set()
        self._attempt_count = 0
        self._attempt_records: list[AttemptRecord] = []
        self._relay = Relay(conn, deps.reactor.clock, self.request_id)
        self._is_checking_progress = False
        self._last_error_kind = ErrorKind.NO_INSTANCE
        self._may_have_run = False
        self._has_reached_backend = False

    @property
    def deadline(self) -> float:
        """Return the request's deadline, on the monotonic clock."""
        return self._deadline

    # Receiving the request.

    def start(self) -> None:
        """Check the head; the request waits for its body after that."""
        try:
            self._check_head()
        except RequestError as exc:
            self.reject(exc.kind, exc.detail)
            return
        if not is_bodiless(self._head):
            self._upload.begin_stall_checks()

    def _on_upload_stalled(self) -> None:
        self.on_request_error(ErrorKind.CALLER_TIMEOUT, "the body stopped coming")

    def _check_head(self) -> None:
        head = self._head
        self._match = self._find_match()
        if self._match is None:
            detail = f"{self._host()}{head.target}"[:200]
            raise RequestError(ErrorKind.NO_ROUTE, detail)
        route = self._match.route
        self._is_idempotent = self._is_idempotent_by(self._match)
        try:
            allowed_s = time_limit_s(head, route.timeout_s)
        except ValueError as exc:
            raise RequestError(ErrorKind.BAD_REQUEST, str(exc)) from exc
        self._deadline = self.started_at + allowed_s
        length = int(head.header(b"content-length") or 0)
        if length > self._deps.max_body_bytes:
            raise RequestError(ErrorKind.BODY_TOO_LARGE, f"{length} bytes")

    def _host(self) -> str:
        return (self._head.header(b"host") or "").rsplit(":", 1)[0]

    def _find_match(self) -> Match | None:
        return self._deps.catalog.match(self._host(), self._head.target)

    def _is_idempotent_by(self, match: Match) -> bool:
        """Return whether the request may run more than once.

        With a key it runs at most once, whatever its method: the host may not know yet
        that its route no longer lists the method.
        """
        return (
            self._head.method in match.route.idempotent_methods
            and self._head.header(IDEMPOTENCY_KEY) is None
        )

    def _is_still_idempotent(self) -> bool:
        match = self._find_match()
        return match is not None and self._is_idempotent_by(match)

    def on_body(self, data: bytes) -> None:
        """Buffer a piece of the request's body, or forward it."""
        if self.is_done:
            return
        upload = self._upload
        upload.record_received(data)
        if upload.total_bytes > self._deps.max_body_bytes:
            self.on_request_error(
                ErrorKind.BODY_TOO_LARGE, f"over {upload.total_bytes} bytes"
            )
            return
        attempt = self._attempt
        if upload.is_streamed and attempt is not None and attempt.is_head_sent:
            self._forward_body(attempt, data)
        elif upload.add_to_buffer(data):
            self._settle_key()

    def _forward_body(self, attempt: Attempt, data: bytes) -> None:
        """Forward a piece of a streamed body, no faster than the back end reads it."""
        attempt.send_body(data)
        if attempt.is_full:
            attempt.reset_timeout(self._deps.stall_timeout_s)
            self._upload.pause()
        else:
            attempt.reset_timeout(self._deps.stall_timeout_s * 2)

    def on_body_end(self) -> None:
        """Handle the end of the request."""
        if self.is_done:
            return
        self._upload.is_complete = True
        if not self._upload.is_streamed:
            self._settle_key()
        elif self._attempt is not None and self._attempt.is_head_sent:
            self._attempt.end_body()
            self._attempt.reset_timeout(self._deps.stall_timeout_s)

    def on_request_error(self, kind: ErrorKind, detail: str) -> None:
        """End a request whose rest is malformed, too large or stalled."""
        if self.is_done:
            return
        if self._attempt is not None and self._attempt.bytes_sent:
            self._cancel_pending(Unknown())
            self._abort_caller(str(kind))
            return
        self.reject(kind, detail)

    def on_caller_gone(self) -> None:
        """Cancel the request, unless it is non-idempotent and was dispatched.

        In that case it goes on, so that its outcome is known when the caller retries
        with the same key, but not without end: a faulty back end may send one response
        for ever. A streamed request is cancelled in any case.
        """
        if self.is_done:
            return
        self._relay.is_caller_gone = True
        dispatched = self._attempt is not None and self._attempt.bytes_sent
        if dispatched and not self._is_idempotent and not self._upload.is_streamed:
            left_s = self._deadline - self._deps.reactor.clock.monotonic()
            delay_s = max(left_s, self._deps.stall_timeout_s)
            self._deps.reactor.call_later(delay_s, self._end_without_caller, Unknown())
            return
        self._end_without_caller(Unknown() if dispatched else NotRun())

    def _end_without_caller(self, result: KeyResult) -> None:
        if self.is_done:
            return
        self._cancel_pending(result)
        self._close(
            "caller-gone", CALLER_GONE_STATUS, Outcome.UNKNOWN, is_complete=False
        )

    # Settling the key.

    def _settle_key(self) -> None:
        key = self._head.header(IDEMPOTENCY_KEY)
        if self._is_idempotent:
            self._acquire_slot()
            return
        service = self._match.service
        if key is None:
            if service.keyless == "refuse":
                self.reject(ErrorKind.KEY_MISSING)
                return
            self._acquire_slot()
            return
        left_s = self._deadline - self._deps.reactor.clock.monotonic()
        self._settle_timer = self._deps.reactor.call_later(
            left_s, self.reject, ErrorKind.DEADLINE_PASSED
        )
        req = KeyRequest(key, service.name, self._request_digest())
        self._deps.keys.begin(req, self._on_key_settled)

    def _on_key_settled(self, decision: KeyDecision) -> None:
        self._settle_timer.cancel()
        self._on_decision(decision)

    def _request_digest(self) -> str:
        digest = hashlib.sha256()
        digest.update(self._head.method.encode())
        digest.update(b"\0" + self._head.target.encode() + b"\0")
        if self._upload.is_streamed:
            length = self._head.header(b"content-length") or ""
            digest.update(f"in pieces, {length} bytes\0".encode())
        digest.update(bytes(self._upload.buffer[:MAX_BUFFER_BYTES]))
        return digest.hexdigest()

    @singledispatchmethod
    def _on_decision(self, decision: object) -> None:
        raise TypeError(f"not a key decision: {decision!r}")

    @_on_decision.register
    def _(self, decision: Run) -> None:
        self._ticket = decision.ticket
        if self.is_done:
            self._settle_ticket(NotRun())
            return
        self._acquire_slot()

    @_on_decision.register
    def _(self, decision: Replay) -> None:
        if self.is_done:
            return
        response = decision.response
        send_stored(self._conn, response, self.request_id)
        self._close("replayed", response.status, Outcome.RAN, is_complete=True)

    @_on_decision.register
    def _(self, decision: Refuse) -> None:
        if not self.is_done:
            outcome = decision.outcome or answer_for(decision.kind).outcome
            self._send_error(decision.kind, decision.detail, outcome)

    # Attempts.

    def _acquire_slot(self) -> None:
        req = SlotRequest(
            service=self._match.service,
            customer=customer_of(self._head),
            deadline=self._deadline,
            exclude=frozenset(self._tried_instances),
            is_retry=self._has_reached_backend,
            is_idempotent=self._is_idempotent,
        )
        self._waiter = self._deps.limits.acquire(req, self._on_slot)

    def _on_slot(self, slot: Slot | None, kind: ErrorKind | None) -> None:
        if slot is None:
            if self._attempt_count:
                kind = self._last_error_kind
            self._finish_not_run(kind)
            return
        if self.is_done:
            slot.release()
            return
        if self._may_have_run and not self._is_still_idempotent():
            # A newer configuration has come while the retry waited.
            slot.release()
            self._send_error(self._last_error_kind, "", Outcome.UNKNOWN)
            return
        self._dispatch(slot)

    def _dispatch(self, slot: Slot) -> None:
        left_s = self._deadline - self._deps.reactor.clock.monotonic()
        if left_s <= 0:
            slot.release()
            self._finish_not_run(ErrorKind.DEADLINE_PASSED)
            return
        if not self._is_idempotent and self._conn.has_peer_closed():
            slot.release()
            self._relay.is_caller_gone = True
            self._settle_ticket(NotRun())
            self._close(
                "caller-gone", CALLER_GONE_STATUS, Outcome.NOT_RUN, is_complete=False
            )
            return
        self._attempt_count += 1
        self._tried_instances.add(slot.instance.name)
        timeout_s = left_s
        if self._attempt_count == 1 and self._should_reserve_retry_time():
            timeout_s = left_s * FIRST_ATTEMPT_SHARE
        request_id = f"{self.request_id}-{self._attempt_count}"
        body = None if self._upload.is_streamed else bytes(self._upload.buffer)
        length = None if body is None else len(body)
        headers = backend_headers(self._head, request_id, left_s, length)
        out = OutgoingHead(
            self._head.method.encode(), self._head.target.encode(), headers
        )
        self._attempt = Attempt(
            self._deps.reactor, self._deps.pool, slot, self, request_id, timeout_s
        )
        self._attempt.start(out, body, self._is_idempotent)

    def on_attempt_send(self, attempt: Attempt, use: ConnectionUse) -> None:
        """Log a send that is not the first one, or of a method that is not safe."""
        is_resent = self._has_reached_backend
        if not is_resent and is_safe_method(self._head.method):
            return
        service = self._match.service.name
        last = self._attempt_records[-1] if is_resent else None
        log_event(
            "request-resent" if is_resent else "request-sent",
            request=self.request_id,
            method=self._head.method,
            target=attempt.slot.instance.name,
            attempt=self._attempt_count,
            after=last.instance if last else "",
            outcome=last.kind if last else "",
            service=service,
            version=self._deps.catalog.version(service),
            **use._asdict(),
        )

    def on_attempt_head_sent(self, attempt: Attempt) -> None:
        """Forward the buffered part of a streamed body."""
        if attempt is not self._attempt or not self._upload.is_streamed:
            return
        attempt.send_body(self._upload.take_buffer())
        if self._upload.is_complete:
            attempt.end_body()
        elif not attempt.is_full:
            attempt.reset_timeout(self._deps.stall_timeout_s * 2)
            self._upload.resume()

    def on_attempt_drained(self, attempt: Attempt) -> None:
        """Continue reading from the caller."""
        if attempt is self._attempt and not self._upload.is_complete:
            attempt.reset_timeout(self._deps.stall_timeout_s * 2)
            self._upload.resume()

    def on_attempt_fail(self, attempt: Attempt, exc: WireError) -> None:
        """Retry at another instance if that is safe, else end the request."""
        if attempt is not self._attempt or self.is_done:
            return
        self._attempt = None
        if exc.kind not in SAMPLE_KIND_BY_ERROR:
            self._finish_not_run(exc.kind, exc.detail)
            return
        self._record_attempt(attempt, SAMPLE_KIND_BY_ERROR[exc.kind])
        self._last_error_kind = exc.kind
        if exc.bytes_sent:
            self._may_have_run = True
            self._has_reached_backend = True
        else:
            self._last_error_kind = ErrorKind.BACKEND_REFUSED
        if self._relay.is_forwarding:
            self._settle_ticket(Unknown())
            self._abort_caller(str(exc.kind))
            return
        self._relay.discard()
        if exc.bytes_sent and self._is_idempotent and self._can_retry():
            self._check_kind(exc)
        else:
            self._retry_or_finish(exc)

    def _check_kind(self, exc: WireError) -> None:
        """Retry a request that may have run, if the newest configuration allows it."""
        if self._is_kind_confirmed:
            self._on_configuration_confirmed(exc, True)
            return
        on_done = functools.partial(self._on_configuration_confirmed, exc)
        self._deps.confirm_configuration(on_done)

    def _on_configuration_confirmed(self, exc: WireError, is_confirmed: bool) -> None:
        if self.is_done:
            return
        self._is_kind_confirmed = is_confirmed
        if not is_confirmed or not self._is_still_idempotent():
            self._is_idempotent = False
        self._retry_or_finish(exc)

    def _retry_or_finish(self, exc: WireError) -> None:
        may_retry = self._is_idempotent or not exc.bytes_sent
        if may_retry and self._can_retry():
            self._acquire_slot()
            return
        if exc.bytes_sent:
            self._finish_unknown(exc)
            return
        self._finish_not_run(ErrorKind.BACKEND_REFUSED, exc.detail)

    def _should_reserve_retry_time(self) -> bool:
        """Return whether to reserve time for an attempt at another instance."""
        if self._upload.is_streamed or not self._is_idempotent:
            return False
        return len(self._match.service.instances) > 1

    def _can_retry(self) -> bool:
        if self._upload.is_streamed and not self._upload.buffer:
            return False
        return self._attempt_count < MAX_ATTEMPTS and not self._relay.is_caller_gone

    def _record_attempt(self, attempt: Attempt, kind: SampleKind) -> None:
        sample = Sample(
            service=self._match.service.name,
            instance=attempt.slot.instance.name,
            is_idempotent=self._is_idempotent,
            kind=kind,
            latency_s=attempt.latency_s,
            at=self._deps.reactor.clock.monotonic(),
        )
        self._deps.health.record(sample)
        self._deps.limits.record(sample)
        record = AttemptRecord(sample.instance, kind, sample.latency_s * 1000)
        self._attempt_records.append(record)

    # Relaying the response.

    def on_attempt_head(self, attempt: Attempt, head: ResponseHead) -> None:
        """Handle the response's head.

        A short response has to be complete by the attempt's timeout; a long one only
        has to make progress.
        """
        if attempt is not self._attempt:
            return
        self._relay.on_head(head)
        if self._relay.may_exceed_buffer:
            attempt.reset_timeout(self._deps.stall_timeout_s)
            self._deps.reactor.call_later(
                MAX_BUFFER_TIME_S, self._end_buffering, attempt
            )

    def _end_buffering(self, attempt: Attempt) -> None:
        if attempt is self._attempt:
            self._relay.end_buffering()

    def on_attempt_body(self, attempt: Attempt, data: bytes) -> None:
        """Relay a piece of the response, unless the request was shed."""
        if attempt is not self._attempt:
            return
        if self._relay.head.header(NOT_EXECUTED) is not None:
            return
        if self._relay.may_exceed_buffer:
            attempt.reset_timeout(self._deps.stall_timeout_s)
        self._relay.on_body(data)
        if self._conn.is_full:
            attempt.pause()
            self._begin_progress_check()

    def on_conn_drained(self) -> None:
        """Continue reading from the back end."""
        if self._attempt is not None:
            self._attempt.reset_timeout(self._deps.stall_timeout_s)
            self._attempt.resume()

    def _begin_progress_check(self) -> None:
        """Extend the attempt's timeout as long as a slow caller receives bytes."""
        delivered_before = self._conn.delivered_bytes()
        timeout_s = self._deps.stall_timeout_s
        self._attempt.reset_timeout(timeout_s * 2)
        if self._is_checking_progress:
            return
        self._is_checking_progress = True
        self._deps.reactor.call_later(timeout_s, self._check_progress, delivered_before)

    def _check_progress(self, delivered_before: int) -> None:
        self._is_checking_progress = False
        if self.is_done or self._attempt is None or not self._conn.is_full:
            return
        if self._conn.delivered_bytes() > delivered_before:
            self._begin_progress_check()
            return
        self._cancel_pending(Unknown())
        self._abort_caller("caller-stalled")

    def on_attempt_end(self, attempt: Attempt) -> None:
        """Finish the response to the caller, as the back end's is complete."""
        if attempt is not self._attempt:
            return
        self._attempt = None
        head = self._relay.head
        self._record_draining(attempt, head)
        if head.header(NOT_EXECUTED) is not None:
            self._on_not_executed(attempt)
            return
        is_error = head.status >= HTTP_SERVER_ERROR
        self._record_attempt(attempt, SampleKind.ERROR if is_error else SampleKind.OK)
        self._settle_ticket(Ran(self._relay.stored_response()))
        self._relay.finish()
        is_complete = not self._relay.is_caller_gone
        self._close("served", head.status, Outcome.RAN, is_complete=is_complete)

    def _record_draining(self, attempt: Attempt, head: ResponseHead) -> None:
        if head.header(DRAINING) is not None:
            service = self._match.service.name
            self._deps.draining.record_drain_response(
                service, attempt.slot.instance.name
            )

    def _on_not_executed(self, attempt: Attempt) -> None:
        """Retry a request that a back end shed, as its not-executed header states."""
        self._record_attempt(attempt, SampleKind.SHED)
        self._has_reached_backend = True
        self._relay.discard()
        self._last_error_kind = ErrorKind.BACKEND_SHED
        if self._can_retry():
            self._acquire_slot()
            return
        self._finish_not_run(ErrorKind.BACKEND_SHED)

    # Finishing.

    def reject(self, kind: ErrorKind, detail: str = "") -> None:
        """Respond with an error before any part of the request was forwarded."""
        if self.is_done:
            return
        self._cancel_pending(NotRun())
        outcome = answer_for(kind).outcome
        if outcome is Outcome.NOT_RUN and self._key_may_have_run():
            outcome = Outcome.UNKNOWN
        self._send_error(kind, detail, outcome)

    def _key_may_have_run(self) -> bool:
        """Return whether another copy of a rejected request may have run.

        A caller that retries with a key asks about its request and not about this
        copy. The outcome of a copy that is rejected before its key is settled must
        therefore not be "not-run".
        """
        key = self._head.header(IDEMPOTENCY_KEY)
        if key is None or self._is_idempotent:
            return False
        return self._deps.keys.may_have_run(key)

    def _finish_not_run(self, kind: ErrorKind, detail: str = "") -> None:
        """Respond that the request was not run.

        An idempotent request may have been attempted before; the response then
        reports the error of its last attempt.
        """
        self._settle_ticket(NotRun())
        self._send_error(kind, detail, answer_for(kind).outcome)

    def _finish_unknown(self, exc: WireError) -> None:
        self._settle_ticket(Unknown())
        self._send_error(exc.kind, exc.detail, Outcome.UNKNOWN)

    def _send_error(self, kind: ErrorKind, detail: str, outcome: Outcome) -> None:
        if self._may_have_run and outcome is Outcome.NOT_RUN:
            outcome = Outcome.UNKNOWN
        if not self._relay.is_caller_gone:
            send_error(self._conn, kind, detail, self.request_id, outcome)
        status = answer_for(kind).status
        self._close(kind, status, outcome, is_complete=True)

    def _abort_caller(self, reason: str) -> None:
        self._close(reason, 0, Outcome.UNKNOWN, is_complete=False)
        self._conn.abort()

    def _cancel_pending(self, result: KeyResult) -> None:
        if self._waiter is not None:
            self._waiter.cancel()
        if self._attempt is not None:
            attempt, self._attempt = self._attempt, None
            attempt.cancel()
        self._settle_ticket(result)

    def _settle_ticket(self, result: KeyResult) -> None:
        ticket, self._ticket = self._ticket, None
        if ticket is not None:
            self._deps.keys.finish(ticket, result)

    def _close(
        self, reason: str, status: int, outcome: Outcome, is_complete: bool
    ) -> None:
        self.is_done = True
        self._upload.end()
        self._on_done(self)
        now = self._deps.reactor.clock.monotonic()
        latency_s = now - self.started_at
        service = self._match.service.name if self._match else ""
        result = RequestResult(
            service=service,
            is_idempotent=self._is_idempotent,
            outcome=outcome,
            status=status,
            latency_s=(self._relay.forwarding_began_at or now) - self.started_at,
            is_complete=is_complete,
            error=reason if isinstance(reason, ErrorKind) else None,
            is_caller_gone=self._relay.is_caller_gone,
        )
        self._deps.burn.record(result)
        record = RequestRecord(
            id=self.request_id,
            service=service,
            method=self._head.method,
            reason=reason,
            status=status,
            outcome=outcome,
            ms=latency_s * 1000,
            attempts=tuple(self._attempt_records),
        )
        self._deps.request_history.add(record)
        log_event("request", **{**record._asdict(), "attempts": self._attempt_count})
