"""One request of a caller, from its head to its answer."""

from collections.abc import Callable
from typing import NamedTuple

from ..backends import ConnectionPool
from ..door.conn import RequestHead, ServerConn
from ..door.headers import answer_headers
from ..errors import ErrorKind
from ..fleet import Fleet
from ..placement import (
    NOT_RUN,
    AttemptContext,
    AttemptOutcome,
    Instance,
    NextAction,
    PlacementRequest,
    Placer,
    QueuedRequest,
    Rejection,
    Requirements,
    SelectionMode,
    next_action,
    observation_for,
)
from ..reactor import Reactor, Timer
from ..routing import Route, TrafficSplitter
from .attempt import Attempt, AttemptResult, SentRequest
from .replies import send_own
from .request import MIN_ATTEMPT_S, sent_headers, time_left_s
from .trail import RequestLine, Trail, Try
from .trust import IdleTrust
from .wire import WireHeaders, find_header

__all__ = ["Exchange", "Parts", "RouteFinder"]

# Attempts that reached no instance or were turned away there are bounded too.
MAX_ATTEMPTS = 6
# A look-up without an answer after this part of its objective is sent again.
HEDGE_SHARE = 0.5
HEDGE_WORK_FACTOR = 2.0
# An attempt this much longer than usual says that its instance is silent.
OVERDUE_FACTOR = 3.5
# Instances close idle connections after their own time; stay well below.
MAX_REUSE_IDLE_S = 7.0
CALLER_GONE = 499
# Statuses that promise "not run"; an instance's own are not passed on as such.
PROMISES = frozenset({408, 421, 429, 503})

KINDS = {
    AttemptOutcome.CUT: ErrorKind.BACKEND_CUT,
    AttemptOutcome.MALFORMED: ErrorKind.BACKEND_MALFORMED,
    AttemptOutcome.TIMED_OUT: ErrorKind.BACKEND_TIMEOUT,
    AttemptOutcome.NOT_EXECUTED: ErrorKind.BACKEND_SHED,
    AttemptOutcome.MISDIRECTED: ErrorKind.BACKEND_SHED,
    AttemptOutcome.NOT_SENT: ErrorKind.BACKEND_REFUSED,
    AttemptOutcome.FAILED: ErrorKind.BACKEND_CUT,
}

RouteFinder = Callable[[str, str], tuple[Route | None, int]]


class Parts(NamedTuple):
    """What every exchange needs.

    Attributes:
        find_route: returns the route for a host and target, and the version of
            the configuration; version 0 means that none is known yet.
        answer_kb: expected answer sizes by route, learned as answers pass.
    """

    reactor: Reactor
    placer: Placer
    fleet: Fleet
    pool: ConnectionPool
    names: WireHeaders
    find_route: RouteFinder
    dealer: TrafficSplitter
    trust: IdleTrust
    trail: Trail
    answer_kb: dict[str, float]


class Exchange:
    """Place a request, send it, and answer its caller exactly once."""

    def __init__(
        self,
        parts: Parts,
        conn: ServerConn,
        head: RequestHead,
        max_body_bytes: int,
        on_done: Callable[["Exchange"], None],
    ) -> None:
        self._parts = parts
        self._conn = conn
        self._head = head
        self._max_body_bytes = max_body_bytes
        self._on_done = on_done
        self._now = parts.reactor.clock.monotonic
        self._arrived_at = self._now()
        self._body = bytearray()
        self._route: Route | None = None
        self._version = 0
        self._service = ""
        self._req: SentRequest | None = None
        self._deadline = 0.0
        self._ticket: QueuedRequest | None = None
        self._live: dict[Attempt, list[Timer]] = {}
        self._tries: list[Try] = []
        self._tried: set[str] = set()
        self._sent = 0
        self._may_have_run = False
        self._last: AttemptResult | None = None
        self._first_sent_at: float | None = None
        self._is_caller_gone = False
        self._detail = ""
        self.is_done = False
        raw_id = find_header(head.headers, parts.names.request_id) or b""
        self._id = raw_id

    # The request.

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body, so that it can be sent again."""
        if self.is_done:
            return
        if len(self._body) + len(data) > self._max_body_bytes:
            self.on_fault(ErrorKind.BODY_TOO_LARGE, f"over {self._max_body_bytes} B")
            return
        self._body += data

    def on_body_end(self) -> None:
        """Begin, now that the request is whole."""
        if self.is_done:
            return
        host = self._head.header(b"host") or ""
        route, self._version = self._parts.find_route(host, self._head.target)
        if not self._version:
            self._answer_own(ErrorKind.CUT_OFF, retry_after_s=0.5)
            return
        if route is None:
            self._answer_own(ErrorKind.NO_ROUTE)
            return
        self._route = route
        self._service = self._parts.dealer.next_service(route)
        names = self._parts.names
        self._deadline = self._arrived_at + time_left_s(self._head, names, route)
        self._req = SentRequest(
            self._id,
            self._head.method.encode(),
            self._head.target.encode(),
            sent_headers(self._head, names, bytes(self._body)),
            bytes(self._body),
        )
        self._parts.placer.budget(self._service).record_request(self._now())
        self._seek()

    # Placing.

    def _ask(
        self, on_place: Callable[[Instance | Rejection], None]
    ) -> PlacementRequest:
        route = self._route
        now = self._now()
        work_s = self._parts.placer.service_time_s(self._service)
        scouts = route.kind.is_idempotent and not self._sent and route.max_attempts > 1
        if scouts:
            budget = self._parts.placer.budget(self._service)
            scouts = (
                budget.remaining(now, self._parts.placer.retry_budget_hosts, True) > 1
            )
        want = Requirements(
            SelectionMode.EXPLORATORY if scouts else SelectionMode.CAUTIOUS,
            self._parts.answer_kb.get(route.name, 1.0),
            frozenset(self._tried),
        )
        return PlacementRequest(
            service=self._service,
            requirements=want,
            priority=route.priority,
            start_by=self._parts.placer.start_by(
                self._service, self._arrived_at, route.objective_s
            ),
            abandon_at=self._deadline - work_s / 2,
            arrived_at=self._arrived_at,
            on_decision=on_place,
        )

    def _seek(self) -> None:
        ask = self._ask(self._on_place)
        self._ticket = self._parts.placer.place(ask, self._now())

    def _on_place(self, placed: Instance | Rejection) -> None:
        self._ticket = None
        if isinstance(placed, Rejection):
            self._on_refused(placed)
            return
        if self.is_done or self._now() >= self._deadline - MIN_ATTEMPT_S:
            self._parts.placer.release(placed.id)
            if not self.is_done:
                self._give_up(ErrorKind.DEADLINE_PASSED)
            return
        self._dispatch(placed)

    def _on_refused(self, refusal: Rejection) -> None:
        if self.is_done or self._live:
            return
        self._detail = refusal.detail
        if self._last is not None:
            self._end_with(self._last)
            return
        self._answer_own(ErrorKind.OVERLOADED, refusal.retry_after_s)

    def _dispatch(self, instance: Instance) -> None:
        parts = self._parts
        now = self._now()
        if self._first_sent_at is None:
            self._first_sent_at = now
        self._tried.add(instance.id)
        attempt = Attempt(
            parts.reactor, parts.pool, parts.names, instance, self._on_attempt_end
        )
        later = parts.reactor.call_later
        work_s = parts.placer.service_time_s(self._service)
        timers = [
            later(OVERDUE_FACTOR * work_s, self._on_overdue, attempt),
            later(self._hedge_s(work_s), self._on_hedge_time),
        ]
        self._live[attempt] = timers
        parts.fleet.report_instance(instance.id, None)
        idle_s = MAX_REUSE_IDLE_S
        if not self._route.kind.is_idempotent:
            idle_s = parts.trust.limit_s(self._service)
        attempt.start(self._req, self._deadline, idle_s)

    def _hedge_s(self, work_s: float) -> float:
        return max(HEDGE_SHARE * self._route.objective_s, HEDGE_WORK_FACTOR * work_s)

    def _on_overdue(self, attempt: Attempt) -> None:
        """Tell others of an instance that is silent before the request's time ends."""
        if attempt in self._live and attempt.bytes_sent:
            attempt.is_silence_noted = True
            sign = observation_for(AttemptOutcome.TIMED_OUT)
            self._parts.placer.health.observe(attempt.instance.id, sign, self._now())
            self._parts.fleet.report_instance(attempt.instance.id, sign)
            if attempt.is_reused:
                # Old connections may have gone silent while new ones work.
                self._parts.pool.close_idle(attempt.instance.address)

    def _on_hedge_time(self) -> None:
        """Send a look-up to a second instance while the first one is silent."""
        if self.is_done or len(self._live) != 1 or self._ticket is not None:
            return
        route = self._route
        if not route.kind.is_idempotent or self._sent_or_live() >= route.max_attempts:
            return
        placer = self._parts.placer
        now = self._now()
        budget = placer.budget(self._service)
        if budget.remaining(now, placer.retry_budget_hosts, True) <= 0:
            return
        if placer.try_place(self._ask(self._on_place), now):
            budget.try_spend(now, placer.retry_budget_hosts, True)

    def _sent_or_live(self) -> int:
        return self._sent + len(self._live)

    # Attempts.

    def _on_attempt_end(self, attempt: Attempt, result: AttemptResult) -> None:
        self._close_attempt(attempt, result.ending)
        self._note(attempt, result)
        if self.is_done:
            return
        is_safe = self._route.kind.is_idempotent
        if result.bytes_sent:
            self._sent += 1
        if result.ending not in NOT_RUN:
            self._may_have_run = True
        self._last = self._better(result)
        if self._live and result.ending is not AttemptOutcome.ANSWERED:
            return
        step = next_action(self._turn(result, is_safe))
        if step is NextAction.RETRY:
            self._seek()
            return
        self._finish(step, result if step is NextAction.FORWARD else self._last)

    def _better(self, result: AttemptResult) -> AttemptResult:
        """Return which failed result says more to the caller."""
        if self._last is None or result.head is not None:
            return result
        return self._last if self._last.head is not None else result

    def _turn(self, result: AttemptResult, is_idempotent: bool) -> AttemptContext:
        placer = self._parts.placer
        now = self._now()
        work_s = placer.service_time_s(self._service)
        runs = sum(1 for one in self._tries if one.ending not in NOT_RUN)
        has_tries = runs < self._route.max_attempts and len(self._tries) < MAX_ATTEMPTS
        may_repeat = is_idempotent or not self._may_have_run
        has_time = now + work_s / 2 < self._deadline
        has_budget = True
        if result.bytes_sent and result.ending is not AttemptOutcome.ANSWERED:
            wants = may_repeat and has_tries and has_time
            has_budget = wants and placer.budget(self._service).try_spend(
                now, placer.retry_budget_hosts, is_idempotent
            )
        return AttemptContext(
            outcome=result.ending,
            is_idempotent=is_idempotent,
            may_have_run=self._may_have_run,
            attempts=runs if has_tries else self._route.max_attempts,
            max_attempts=self._route.max_attempts,
            has_retry_budget=has_budget,
            has_time=has_time,
        )

    def _close_attempt(self, attempt: Attempt, ending: AttemptOutcome | None) -> None:
        for timer in self._live.pop(attempt, ()):
            timer.cancel()
        placer = self._parts.placer
        placer.release(attempt.instance.id)
        now = self._now()
        sign = None
        if ending is AttemptOutcome.MISDIRECTED:
            placer.health.record_replaced(attempt.instance)
        if ending is not None:
            sign = observation_for(ending)
            if not (attempt.is_silence_noted and ending is AttemptOutcome.TIMED_OUT):
                placer.health.observe(attempt.instance.id, sign, now)
        self._parts.fleet.report_instance(attempt.instance.id, sign)
        self._parts.reactor.call_soon(placer.dispatch_queued, now)

    def _note(self, attempt: Attempt, result: AttemptResult) -> None:
        now = self._now()
        spent_s = now - attempt.started_at
        sick = self._parts.placer.health.unhealthy_probability(attempt.instance.id, now)
        self._tries.append(
            Try(attempt.instance.id, sick, result.ending, spent_s * 1000)
        )
        if result.ending is AttemptOutcome.ANSWERED:
            self._parts.placer.record_service_time(self._service, spent_s)
            known = self._parts.answer_kb.get(self._route.name, 1.0)
            size_kb = len(result.body) / 1000
            self._parts.answer_kb[self._route.name] = known + 0.1 * (size_kb - known)
        if result.reused and result.ending is AttemptOutcome.CUT:
            self._parts.trust.on_dropped(self._service, result.idle_s)
        elif result.reused and result.ending is AttemptOutcome.ANSWERED:
            self._parts.trust.on_good(self._service)

    # Answers.

    def _finish(self, step: NextAction, result: AttemptResult) -> None:
        if step is NextAction.FORWARD and result.head is not None:
            self._pass_on(result)
            return
        self._end_with(result)

    def _end_with(self, result: AttemptResult) -> None:
        """Answer with what the last attempts left."""
        if result.ending is AttemptOutcome.FAILED:
            self._pass_on(result)
            return
        if not self._may_have_run:
            retry_s = self._parts.placer.service_time_s(self._service)
            self._answer_own(KINDS[result.ending], retry_s)
            return
        kind = KINDS[result.ending]
        if kind in (ErrorKind.BACKEND_SHED, ErrorKind.BACKEND_REFUSED):
            kind = ErrorKind.BACKEND_CUT
        self._answer_own(kind)

    def _give_up(self, kind: ErrorKind) -> None:
        if self._last is not None:
            self._end_with(self._last)
            return
        self._answer_own(kind, self._parts.placer.service_time_s(self._service))

    def _pass_on(self, result: AttemptResult) -> None:
        """Give the caller an instance's whole answer."""
        if result.head.status in PROMISES:
            # Without the word that it was not run, it may have run.
            self._answer_own(ErrorKind.BACKEND_CUT)
            return
        dropped = (b"content-length", b"transfer-encoding", b"connection")
        headers = [
            pair
            for pair in answer_headers(result.head.headers)
            if pair[0] not in dropped
        ]
        length = str(len(result.body)).encode()
        if self._head.method == "HEAD":
            length = result.head.header(b"content-length") or b"0"
        headers.append((b"content-length", length))
        if not self._is_caller_gone:
            self._conn.send_head(result.head.status, headers)
            if result.body:
                self._conn.send_body(result.body)
            self._conn.end_answer()
        self._close("served", result.head.status)

    def _answer_own(self, kind: ErrorKind, retry_after_s: float | None = None) -> None:
        status = CALLER_GONE
        if not self._is_caller_gone:
            names = self._parts.names
            id_header = (names.request_id, self._id) if self._id else None
            status = send_own(self._conn, kind, id_header, retry_after_s)
        self._close(str(kind), status)

    def on_fault(self, kind: ErrorKind, detail: str) -> None:
        """Refuse a request that turned out malformed."""
        if not self.is_done:
            self._detail = detail
            self._answer_own(kind)

    def on_conn_drained(self) -> None:
        """Do nothing: answers are handed over whole."""

    def on_caller_gone(self) -> None:
        """Stop what may be stopped; work that may run once goes on."""
        if self.is_done:
            return
        self._is_caller_gone = True
        if self._live and not self._route.kind.is_idempotent:
            return
        self._close("caller-gone", CALLER_GONE)

    def _close(self, reason: str, status: int) -> None:
        self.is_done = True
        if self._ticket is not None:
            self._parts.placer.cancel(self._ticket)
            self._ticket = None
        for attempt in list(self._live):
            attempt.cancel()
            self._close_attempt(attempt, None)
        self._on_done(self)
        now = self._now()
        first = self._first_sent_at if self._first_sent_at is not None else now
        line = RequestLine(
            id=self._id.decode("latin-1"),
            route=self._route.name if self._route else "",
            service=self._service,
            kind=str(self._route.kind) if self._route else "",
            version=self._version,
            reason=reason,
            status=status,
            ms=(now - self._arrived_at) * 1000,
            waited_ms=(first - self._arrived_at) * 1000,
            tries=tuple(self._tries),
            detail=self._detail,
        )
        self._parts.trail.add(line)
