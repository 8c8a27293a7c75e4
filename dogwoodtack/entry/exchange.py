"""One request of a caller, from its head to its response."""

import functools
from collections.abc import Callable
from typing import Any, NamedTuple

from ..access import AccessControl, Admission, canonical_name, parse_credentials
from ..backends import ConnectionPool, ConnectionUse, Header
from ..errors import ErrorKind, Outcome, answer_for
from ..fleet import Fleet
from ..frontend.conn import RequestHead, ServerConn, is_bodiless
from ..frontend.headers import response_headers
from ..logs import log_failure
from ..misc import parse_count
from ..placement import (
    NOT_RUN_OUTCOMES,
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
)
from ..quarantine import Quarantine, request_digest
from ..reactor import Reactor, Timer
from ..routing import Organisation, Route, TrafficSplitter
from .attempt import (
    SUCCESS_STATUSES,
    Attempt,
    AttemptResult,
    AttemptTarget,
    OutgoingRequest,
)
from .buffers import RequestBuffers, ResponseBuffers
from .crashes import CrashMonitor, FailedRequest
from .evidence import Evidence
from .grace import GracePeriod
from .idle_limit import IdleLimit
from .notices import NoticeReader
from .paths import PathMonitor
from .rate_limiter import RateLimiter
from .recent_ids import RecentIds
from .repeats import RepeatPermission
from .replies import send_error
from .request import (
    ATTEMPTS_LEFT_HEADER,
    MIN_ATTEMPT_S,
    attempts_left,
    forwarded_headers,
    max_runs,
    time_limit_s,
)
from .request_log import (
    AttemptRecord,
    RequestLog,
    RequestLogEntry,
    RetryEvidence,
    Send,
)
from .wire import HeaderNames, find_header, parse_retry_after

__all__ = ["Exchange", "ExchangeDependencies", "RouteFinder"]

# Bounds all attempts of a request; max_attempts of a route counts only those that may
# have run, not those that reached no instance or were rejected there.
MAX_ATTEMPTS = 6
# An idempotent request without a response is hedged after this share of its latency
# objective, or after this multiple of the usual service time if that is later.
HEDGE_OBJECTIVE_FACTOR = 0.5
HEDGE_SERVICE_TIME_FACTOR = 2.0
# An attempt that takes this many times the usual service time is reported as a timeout
# of its instance, before the request's own deadline.
OVERDUE_SERVICE_TIME_FACTOR = 3.5
# Stays well below the idle timeouts after which instances close connections.
MAX_REUSE_IDLE_S = 7.0
# Hosts that a request is handed over to, one after the other.
MAX_HANDOVERS = 2
# Other hosts close idle connections as callers' are closed, at times after few seconds.
MAX_HOST_IDLE_S = 1.0
CALLER_GONE_STATUS = 499
# From this host, these statuses state that a request was not executed. Those of an
# instance are no such proof without its not-executed header and are not forwarded.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})

# After these no byte of the request has left this host.
UNSENT_OUTCOMES = frozenset({AttemptOutcome.NOT_SENT, AttemptOutcome.HOST_EXHAUSTED})
KIND_BY_OUTCOME = {
    AttemptOutcome.CUT: ErrorKind.BACKEND_CUT,
    AttemptOutcome.MALFORMED: ErrorKind.BACKEND_MALFORMED,
    AttemptOutcome.TIMED_OUT: ErrorKind.BACKEND_TIMEOUT,
    AttemptOutcome.NOT_EXECUTED: ErrorKind.BACKEND_SHED,
    AttemptOutcome.MISDIRECTED: ErrorKind.BACKEND_SHED,
    AttemptOutcome.NOT_SENT: ErrorKind.BACKEND_REFUSED,
    AttemptOutcome.HOST_EXHAUSTED: ErrorKind.HOST_EXHAUSTED,
    AttemptOutcome.FAILED: ErrorKind.BACKEND_CUT,
}

# Other hosts serve at once what this one rejects as it leaves.
LEAVING_RETRY_AFTER_S = 0.0
# A long body is received and sent on within this time.
BODY_RETRY_AFTER_S = 1.0
# Whether a key is valid shows soon, here or at another host.
KEYS_RETRY_AFTER_S = 0.5
# Bodies over this size are received only with a valid key, where one is needed.
LONG_BODY_BYTES = 16_384
# Attempts that time out at a request's deadline get to report this first.
DEADLINE_GRACE_S = 0.05

RouteFinder = Callable[[str, str], tuple[Route | None, int]]


class ExchangeDependencies(NamedTuple):
    """The components that every exchange uses.

    Attributes:
        reactor: event loop and clock.
        placer: chooses an instance for each attempt.
        fleet: receives what attempts show of their instances.
        pool: connections to instances.
        host_pool: connections to other entry hosts.
        buffers: memory of the responses that are being received.
        request_buffers: memory of the requests' bodies.
        paths: whether this host reaches the instances.
        crashes: finds out which instances have crashed.
        quarantine: the requests that are sent to no instance, as they crash them.
        rate_limiter: limits the rates of organisations.
        header_names: header names on the wire.
        notices: reads what responses say about their instances.
        evidence: records what attempts show of their instances.
        find_route: returns the route for a host and target, and the version of
            the configuration; version 0 means that none is known yet.
        confirm_configuration: calls its argument with whether the newest configuration
            is in force here.
        splitter: chooses a service by the route's traffic split.
        grace: which requests end before this host does.
        idle_limit: how long an idle connection is reused for non-idempotent requests.
        request_log: log and metrics of finished requests.
        recent_ids: ids of the last requests.
        response_kb: expected response size in kilobytes by route name, a moving
            average over past responses.
        access: which organisation sends a request, and whether it may.
    """

    reactor: Reactor
    placer: Placer
    fleet: Fleet
    pool: ConnectionPool
    host_pool: ConnectionPool
    buffers: ResponseBuffers
    request_buffers: RequestBuffers
    paths: PathMonitor
    crashes: CrashMonitor
    quarantine: Quarantine
    rate_limiter: RateLimiter
    header_names: HeaderNames
    notices: NoticeReader
    evidence: Evidence
    find_route: RouteFinder
    confirm_configuration: Callable[[Callable[[bool], None]], None]
    splitter: TrafficSplitter
    grace: GracePeriod
    idle_limit: IdleLimit
    request_log: RequestLog
    recent_ids: RecentIds
    response_kb: dict[str, float]
    access: AccessControl


def _isolated(step: Callable[..., None]) -> Callable[..., None]:
    """Wrap a step of an exchange so that an exception ends only this request.

    Steps are called by what is shared with other requests, such as the queue or the
    store's feed, and leave slots and attempts behind if they end halfway.
    """

    @functools.wraps(step)
    def run(self: "Exchange", *args: Any) -> None:
        try:
            step(self, *args)
        except Exception as exc:
            self._on_step_failed(exc)

    return run


class Exchange:
    """Handle one request: place it, send it, and respond to its caller exactly once.

    Args:
        deps: shared components.
        conn: the caller's connection.
        head: the request's head.
        max_body_bytes: longest request body that is accepted.
        on_done: called once with this exchange when it has ended.
        is_handed_over: whether another entry host has handed over the request, so that
            it is not handed over again.
    """

    def __init__(
        self,
        deps: ExchangeDependencies,
        conn: ServerConn,
        head: RequestHead,
        max_body_bytes: int,
        on_done: Callable[["Exchange"], None],
        is_handed_over: bool = False,
    ) -> None:
        self._deps = deps
        self._conn = conn
        self._head = head
        self._max_body_bytes = max_body_bytes
        self._on_done = on_done
        self._is_handed_over = is_handed_over
        self._now = deps.reactor.clock.monotonic
        self._arrived_at = self._now()
        self._body = bytearray()
        # Known once it is complete, and kept when the body has been freed.
        self._body_bytes = 0
        self._route: Route | None = None
        self._organisation: Organisation | None = None
        self._requires_keys = False
        self._config_version = 0
        # Whether its organisation's rate limit is charged with it.
        self._is_charged = False
        self._repeats: RepeatPermission | None = None
        self._service = ""
        self._req: OutgoingRequest | None = None
        self._digest = ""
        self._deadline = 0.0
        self._deadline_timer: Timer | None = None
        self._queued_request: QueuedRequest | None = None
        self._in_flight: dict[Attempt, list[Timer]] = {}
        # What has to be known before the request may be sent once more.
        self._pending_checks = 0
        self._attempt_records: list[AttemptRecord] = []
        self._tried_instances: set[str] = set()
        self._tried_hosts: set[str] = set()
        self._is_counted = False
        self._sent_attempts = 0
        # Instances that may have run it in the attempts that have ended.
        self._runs = 0
        self._best_result: AttemptResult | None = None
        self._first_dispatch_at: float | None = None
        self._is_caller_gone = False
        self._detail = ""
        self.is_done = False
        request_id = find_header(head.headers, deps.header_names.request_id) or b""
        self._request_id = request_id
        if request_id and deps.recent_ids.add(request_id):
            deps.request_log.add_repeated_id(request_id.decode("latin-1"))

    # Receiving the request.

    @_isolated
    def on_head(self) -> None:
        """Reject a request with a long body at once if it has no valid key.

        Others are checked when they are complete, which leaves their connection in use.
        """
        if not self._deps.access.requires_keys or is_bodiless(self._head):
            return
        route, _ = self._deps.find_route(
            self._head.header(b"host") or "", self._head.target
        )
        is_long = self._declared_bytes() > LONG_BODY_BYTES or (
            self._head.header(b"transfer-encoding") is not None
        )
        if route is None:
            if is_long:
                self._send_error(ErrorKind.NO_ROUTE)
            return
        if is_long:
            self._check_access(route)
        else:
            self._organisation = self._admission(route).organisation

    def _declared_bytes(self) -> int:
        return parse_count(self._head.header(b"content-length") or "") or 0

    def _admission(self, route: Route) -> Admission:
        name = self._deps.header_names.authorization
        credentials = parse_credentials(self._head.headers, name)
        return self._deps.access.check(credentials, route.allows_anonymous)

    def _check_access(self, route: Route) -> bool:
        """Find the organisation of the request, or reject it.

        Returns:
            Whether the request may go on.
        """
        admission = self._admission(route)
        self._requires_keys = self._deps.access.requires_keys
        self._organisation = admission.organisation
        if admission.error is None:
            return True
        self._route = route
        self._detail = admission.detail
        is_unconfirmed = admission.error is ErrorKind.CUT_OFF
        self._send_error(
            admission.error, KEYS_RETRY_AFTER_S if is_unconfirmed else None
        )
        return False

    def _caller(self) -> str:
        """Return whose share of the memory the body counts against."""
        if self._organisation is not None:
            return f"organisation {self._organisation.name}"
        return f"address {self._conn.peer.host}"

    @_isolated
    def on_body(self, data: bytes) -> None:
        """Buffer a piece of the body, so that the request can be retried."""
        if self.is_done:
            return
        if len(self._body) + len(data) > self._max_body_bytes:
            self.on_request_error(
                ErrorKind.BODY_TOO_LARGE, f"over {self._max_body_bytes} B"
            )
            return
        if not self._has_room(len(self._body) + len(data)):
            self._detail = (
                "too many long bodies: "
                f"{self._deps.request_buffers.describe(self._caller())}"
            )
            self._send_error(ErrorKind.OVERLOADED, BODY_RETRY_AFTER_S)
            return
        self._body += data

    def _has_room(self, received_bytes: int) -> bool:
        """Return whether the body fits, of which so many bytes are known to come."""
        size = max(received_bytes, min(self._declared_bytes(), self._max_body_bytes))
        return self._deps.request_buffers.reserve(
            self, size, self._caller(), self._now()
        )

    @_isolated
    def on_body_end(self) -> None:
        """Route the complete request and ask for its placement."""
        if self.is_done:
            return
        find_route = functools.partial(
            self._deps.find_route, self._head.header(b"host") or "", self._head.target
        )
        route, self._config_version = find_route()
        if not self._config_version:
            self._send_error(ErrorKind.CUT_OFF, retry_after_s=0.5)
            return
        if route is None:
            self._send_error(ErrorKind.NO_ROUTE)
            return
        self._route = route
        if not self._check_access(route):
            return
        self._body_bytes = len(self._body)
        if self._reject_over_limit():
            return
        self._repeats = RepeatPermission(
            route,
            self._config_version,
            # The host that handed it over may know a newer configuration.
            (
                attempts_left(self._head, route)
                if self._is_handed_over
                else max_runs(route)
            ),
            find_route,
            self._deps.confirm_configuration,
        )
        self._service = self._deps.splitter.next_service(route)
        header_names = self._deps.header_names
        self._deadline = self._arrived_at + time_limit_s(
            self._head, header_names, route
        )
        self._deadline_timer = self._deps.reactor.call_later(
            self._deadline + DEADLINE_GRACE_S - self._now(), self._on_deadline
        )
        self._req = OutgoingRequest(
            self._request_id,
            self._head.method.encode(),
            self._head.target.encode(),
            forwarded_headers(
                self._head, header_names, len(self._body), self._requires_keys
            ),
            self._body,
        )
        self._digest = request_digest(
            self._req.method,
            self._req.target,
            self._req.headers + self._digest_headers(),
            self._req.body,
        )
        self._request_placement()

    def _reject_over_limit(self) -> bool:
        """End a request above its organisation's rate limit; return whether it is.

        A request that was handed over is charged at the host that it came to.
        """
        if self._organisation is None or self._is_handed_over:
            return False
        retry_after_s = self._deps.rate_limiter.try_admit(self._organisation)
        if retry_after_s is not None:
            self._send_error(ErrorKind.RATE_LIMITED, retry_after_s)
            return True
        self._is_charged = True
        self._deps.fleet.report_usage()
        return False

    def _refund_unless_run(self) -> None:
        """Return the allowance of a request that ends and has run nowhere.

        This is so wherever it ends: it was rejected, its caller has gone, or its
        instances or the host that took it over say that they have not run it.
        """
        if self._is_charged and not self._may_have_run:
            self._deps.rate_limiter.refund(self._organisation)
        self._is_charged = False

    @_isolated
    def _on_deadline(self) -> None:
        """Respond, whatever the request still waits for."""
        if self.is_done:
            return
        if self._best_result is None and self._may_have_run:
            self._send_error(ErrorKind.BACKEND_TIMEOUT)
        else:
            self._abandon(ErrorKind.DEADLINE_PASSED)

    def _on_step_failed(self, exc: Exception) -> None:
        request_id = self._request_id.decode("latin-1")
        log_failure("request-failed", exc, request=request_id)
        if self.is_done:
            return
        try:
            self._send_error(ErrorKind.INTERNAL)
        finally:
            if not self.is_done:
                # The response had begun already.
                self._conn.abort()
                status = answer_for(ErrorKind.INTERNAL).status
                self._close(str(ErrorKind.INTERNAL), status)

    # Placement.

    def _placement_request(
        self, on_decision: Callable[[Instance | Rejection], None]
    ) -> PlacementRequest:
        route = self._route
        organisation = self._organisation
        now = self._now()
        service_time_s = self._deps.placer.service_time_s(self._service)
        is_exploratory = (
            self._repeats.is_idempotent
            and not self._sent_attempts
            and self._repeats.max_runs > 1
        )
        if is_exploratory:
            budget = self._deps.placer.budget(self._service)
            is_exploratory = (
                budget.remaining(now, self._deps.placer.retry_budget_hosts, True) > 1
            )
        requirements = Requirements(
            SelectionMode.EXPLORATORY if is_exploratory else SelectionMode.CAUTIOUS,
            self._deps.response_kb.get(route.name, 1.0),
            frozenset(self._tried_instances),
        )
        return PlacementRequest(
            service=self._service,
            requirements=requirements,
            priority=route.priority,
            start_by=self._deps.placer.start_by(
                self._service, self._arrived_at, route.objective_s, route.name
            ),
            abandon_at=self._deadline - service_time_s / 2,
            arrived_at=self._arrived_at,
            on_decision=on_decision,
            organisation="" if organisation is None else organisation.name,
            organisation_priority=0 if organisation is None else organisation.priority,
            body_bytes=self._body_bytes,
            route=route.name,
        )

    def _request_placement(self) -> None:
        """Place the request, or hand it over if this host reaches no instance."""
        if self._attempt_records:
            # Probes that are under way tell within milliseconds, or that it is cut off.
            self._deps.paths.when_settled(self._place_or_hand_over)
        else:
            self._place_or_hand_over()

    @_isolated
    def _place_or_hand_over(self) -> None:
        if self.is_done or self._reject_repeat() or self._reject_quarantined():
            return
        if self._reject_unfinishable() or self._hand_over():
            return
        is_cut_off = self._deps.paths.is_cut_off
        if is_cut_off and (self._is_handed_over or self._tried_hosts):
            # The host that handed it over knows others.
            self._abandon(ErrorKind.BACKEND_REFUSED)
            return
        if not self._is_counted:
            self._is_counted = True
            self._deps.placer.budget(self._service).record_request(self._now())
            self._deps.placer.balancing.record_request(
                self._service, self._repeats.is_idempotent, self._now()
            )
        request = self._placement_request(self._on_placement)
        self._queued_request = self._deps.placer.place(request, self._now())

    def _reject_quarantined(self) -> bool:
        """End a request that is held back, and return whether it is."""
        quarantine, now = self._deps.quarantine, self._now()
        if not quarantine.is_quarantined(self._digest, now):
            return False
        self._detail = f"digest {self._digest}"
        if self._in_flight:
            # An attempt that is under way may still succeed.
            return True
        if self._best_result is not None:
            self._respond_to_failure(self._best_result)
        else:
            self._send_error(
                ErrorKind.QUARANTINED, quarantine.time_left_s(self._digest, now)
            )
        return True

    def _reject_unfinishable(self) -> bool:
        """End a request that takes longer than this host, and return whether it does.

        An attempt that is under way may still end in time.
        """
        if self._deps.grace.can_finish(self._route.name, self._deadline):
            return False
        if self._in_flight:
            return True
        if self._best_result is not None:
            self._respond_to_failure(self._best_result)
        else:
            self._send_error(ErrorKind.DRAINING, LEAVING_RETRY_AFTER_S)
        return True

    @_isolated
    def on_stop_progress(self) -> None:
        """Reject the request if it is not sent yet and can't be finished any more."""
        if self.is_done or self._in_flight or self._pending_checks:
            return
        if self._route is not None:
            self._reject_unfinishable()
        elif not self._can_finish_incomplete():
            self._send_error(ErrorKind.DRAINING, LEAVING_RETRY_AFTER_S)

    def _can_finish_incomplete(self) -> bool:
        """Return whether the request could be finished if it were complete now."""
        host = self._head.header(b"host") or ""
        route, _ = self._deps.find_route(host, self._head.target)
        if route is None:
            return True
        limit_s = time_limit_s(self._head, self._deps.header_names, route)
        return self._deps.grace.can_finish(route.name, self._arrived_at + limit_s)

    @_isolated
    def on_grace_over(self) -> None:
        """Respond before the host ends, as far as is known by now."""
        if self.is_done:
            return
        if self._may_have_run:
            self._send_error(ErrorKind.BACKEND_TIMEOUT)
        else:
            self._send_error(ErrorKind.DRAINING, LEAVING_RETRY_AFTER_S)

    @_isolated
    def _on_placement(self, placed: Instance | Rejection) -> None:
        self._queued_request = None
        if isinstance(placed, Rejection):
            self._on_placement_rejected(placed)
            return
        if not self.is_done and (
            self._reject_repeat()
            or self._reject_quarantined()
            or self._reject_unfinishable()
        ):
            self._deps.placer.release(placed.id, self._body_bytes)
            return
        if self.is_done or self._now() >= self._deadline - MIN_ATTEMPT_S:
            self._deps.placer.release(placed.id, self._body_bytes)
            if not self.is_done and not self._in_flight:
                self._abandon(ErrorKind.DEADLINE_PASSED)
            return
        self._dispatch(placed)

    def _on_placement_rejected(self, rejection: Rejection) -> None:
        if self.is_done or self._in_flight or self._reject_repeat():
            return
        if self._hand_over():
            return
        self._detail = rejection.detail
        if self._best_result is not None:
            self._respond_to_failure(self._best_result)
            return
        self._send_error(ErrorKind.OVERLOADED, rejection.retry_after_s)

    def _dispatch(self, instance: Instance) -> None:
        deps = self._deps
        now = self._now()
        if self._first_dispatch_at is None:
            self._first_dispatch_at = now
        self._tried_instances.add(instance.id)
        expected_instance = (deps.header_names.expected_instance, instance.id.encode())
        attempt = self._make_attempt(
            deps.pool,
            AttemptTarget(
                instance.id,
                instance.address,
                [expected_instance, *self._tenant_headers()],
                instance,
            ),
            functools.partial(deps.paths.on_connect, instance),
        )
        call_later = deps.reactor.call_later
        service_time_s = deps.placer.service_time_s(self._service)
        timers = [
            call_later(
                OVERDUE_SERVICE_TIME_FACTOR * service_time_s, self._on_overdue, attempt
            ),
            call_later(self._hedge_delay_s(service_time_s), self._on_hedge_timer),
        ]
        self._in_flight[attempt] = timers
        deps.fleet.report_instance(instance.id, None)
        max_idle_s = MAX_REUSE_IDLE_S
        if not self._repeats.is_idempotent:
            max_idle_s = deps.idle_limit.limit_s(self._service)
        attempt.start(self._req, self._deadline, max_idle_s)

    def _make_attempt(
        self,
        pool: ConnectionPool,
        target: AttemptTarget,
        on_connect: Callable[[bool], None],
    ) -> Attempt:
        deps = self._deps
        return Attempt(
            deps.reactor,
            pool,
            deps.buffers,
            deps.header_names,
            deps.notices,
            target,
            on_connect,
            self._on_send,
            self._on_attempt_end,
        )

    def _hand_over(self) -> bool:
        """Send the request to a host that reaches instances; return whether it was.

        That host makes further attempts, and rejects a request that has not run.
        """
        deps = self._deps
        if (
            not deps.paths.is_cut_off
            or self._is_handed_over
            or len(self._tried_hosts) >= MAX_HANDOVERS
            or self._now() >= self._deadline - MIN_ATTEMPT_S
            or not deps.grace.can_finish(self._route.name, self._deadline)
        ):
            return False
        hosts = deps.fleet.handover_hosts(self._tried_hosts)
        left = self._repeats.max_runs - self._runs - self._runs_in_flight()
        if not hosts or left < 1:
            return False
        host = hosts[0]
        self._tried_hosts.add(host.name)
        is_last = len(hosts) == 1 or len(self._tried_hosts) == MAX_HANDOVERS
        if not self._repeats.is_granted:
            left = 1
        elif not is_last:
            # One attempt is kept for another host, as this one may fail too.
            left = max(1, left - 1)
        left_header = (ATTEMPTS_LEFT_HEADER, str(left).encode())
        attempt = self._make_attempt(
            deps.host_pool,
            AttemptTarget(
                host.name,
                host.handover_address,
                [left_header, *self._key_headers()],
                None,
                left,
            ),
            _ignore_connect,
        )
        service_time_s = deps.placer.service_time_s(self._service)
        hedge_delay_s = self._hedge_delay_s(service_time_s)
        self._in_flight[attempt] = [
            deps.reactor.call_later(hedge_delay_s, self._on_hedge_timer)
        ]
        attempt.start(self._req, self._deadline, MAX_HOST_IDLE_S)
        return True

    # What says which organisation sends the request.

    def _tenant_headers(self) -> list[Header]:
        """Return the headers that tell an instance the organisation."""
        if self._organisation is None:
            return []
        return [(self._deps.header_names.tenant, self._organisation.name.encode())]

    def _key_headers(self) -> list[Header]:
        """Return the headers by which another host checks the key again."""
        if not self._requires_keys:
            # They are among the forwarded ones.
            return []
        name = self._deps.header_names.authorization
        return [pair for pair in self._head.headers if canonical_name(pair[0]) == name]

    def _digest_headers(self) -> list[Header]:
        """Return headers that keep organisations' equal requests apart.

        The digest takes the Authorization header into account, which is not forwarded.
        All hosts and all keys of an organisation have the same digest.
        """
        return [(b"authorization", value) for _, value in self._tenant_headers()]

    def _hedge_delay_s(self, service_time_s: float) -> float:
        return max(
            HEDGE_OBJECTIVE_FACTOR * self._route.objective_s,
            HEDGE_SERVICE_TIME_FACTOR * service_time_s,
        )

    @_isolated
    def _on_overdue(self, attempt: Attempt) -> None:
        """Report an instance as timed out before the request's deadline."""
        if attempt in self._in_flight and attempt.bytes_sent:
            self._deps.paths.check()
            attempt.is_silence_reported = True
            instance_id = attempt.target.name
            observation = self._deps.evidence.observe(
                instance_id, AttemptOutcome.TIMED_OUT
            )
            self._deps.fleet.report_instance(instance_id, observation)
            if attempt.is_reused:
                # Established connections may be dead while new ones still work.
                self._deps.pool.close_idle(attempt.target.address)

    @_isolated
    def _on_hedge_timer(self) -> None:
        """Hedge an idempotent request: send it to a second instance as well.

        Spends from the retry budget only if an instance has a free slot at once.
        """
        if not self._may_hedge():
            return
        if self._repeats.is_certain:
            self._hedge()
        else:
            [attempt] = self._in_flight
            self._repeats.confirm(functools.partial(self._on_hedge_confirmed, attempt))

    @_isolated
    def _on_hedge_confirmed(self, attempt: Attempt, is_confirmed: bool) -> None:
        # Without a confirmation it stays idempotent as far as is known, so that it is
        # cancelled when its caller leaves.
        if is_confirmed and attempt in self._in_flight and self._may_hedge():
            self._hedge()

    def _may_hedge(self) -> bool:
        if (
            self.is_done
            or len(self._in_flight) != 1
            or self._pending_checks
            or self._queued_request is not None
        ):
            return False
        self._repeats.update()
        now = self._now()
        if (
            not self._repeats.is_idempotent
            or self._deps.quarantine.is_suspect(self._digest, now)
            or self._sent_or_in_flight() >= self._repeats.max_runs
            or now >= self._deadline - MIN_ATTEMPT_S
        ):
            return False
        return self._has_retry_budget()

    def _has_retry_budget(self) -> bool:
        placer = self._deps.placer
        budget = placer.budget(self._service)
        return budget.remaining(self._now(), placer.retry_budget_hosts, True) > 0

    def _hedge(self) -> None:
        placer, now = self._deps.placer, self._now()
        if self._hand_over() or placer.try_place(
            self._placement_request(self._on_placement), now
        ):
            placer.budget(self._service).try_spend(now, placer.retry_budget_hosts, True)

    @property
    def _may_have_run(self) -> bool:
        """Return whether an attempt may have run the request."""
        return self._runs > 0 or any(attempt.bytes_sent for attempt in self._in_flight)

    def _sent_or_in_flight(self) -> int:
        return self._sent_attempts + self._runs_in_flight()

    def _runs_in_flight(self) -> int:
        """Return how many instances may run the request in the attempts in flight."""
        return sum(attempt.target.max_runs for attempt in self._in_flight)

    # Attempts.

    @_isolated
    def _on_attempt_end(self, attempt: Attempt, result: AttemptResult) -> None:
        # First, as later steps may raise, and then the response depends on it.
        if result.bytes_sent:
            self._sent_attempts += attempt.target.max_runs
        if result.outcome not in NOT_RUN_OUTCOMES:
            self._runs += attempt.target.max_runs
        self._deps.evidence.record(
            attempt, result, self._service, self._request_id.decode("latin-1")
        )
        self._close_attempt(attempt, result.outcome)
        self._record_attempt(attempt, result)
        self._best_result = self._more_informative(result)
        instance = attempt.target.instance
        is_silent = result.outcome is AttemptOutcome.TIMED_OUT
        if instance is None or not (is_silent or result.outcome is AttemptOutcome.CUT):
            self._continue(result)
            return
        request_id = self._request_id.decode("latin-1")
        failed = FailedRequest(
            request_id, self._digest, instance, attempt.started_at, is_silent
        )
        if not is_silent and self._repeats.is_idempotent and self._has_attempts_left():
            # Whether it is retried depends on whether the instance has crashed.
            self._pending_checks += 1
            on_done = functools.partial(self._on_checked, result)
            self._deps.crashes.check(failed, on_done)
        else:
            self._deps.crashes.check(failed)
            self._continue(result)

    @_isolated
    def _on_checked(self, result: AttemptResult) -> None:
        self._pending_checks -= 1
        self._continue(result)

    def _continue(self, result: AttemptResult) -> None:
        """Retry or respond after an attempt, unless others are still under way."""
        if self.is_done:
            return
        is_other_pending = self._in_flight or self._pending_checks
        if is_other_pending and result.outcome is not AttemptOutcome.ANSWERED:
            return
        if self._is_caller_gone and result.outcome in NOT_RUN_OUTCOMES:
            self._close("caller-gone", CALLER_GONE_STATUS)
            return
        self._repeats.update()
        if self._needs_confirmation(result):
            self._pending_checks += 1
            self._repeats.confirm(functools.partial(self._on_confirmed, result))
            return
        action = next_action(self._attempt_context(result))
        if action is NextAction.RETRY:
            if result.head is not None and not self._repeats.is_idempotent:
                self._log_retry(result)
            self._request_placement()
            return
        self._finish(
            action, result if action is NextAction.FORWARD else self._best_result
        )

    # Whether it may run once more.

    @_isolated
    def _on_confirmed(self, result: AttemptResult, is_confirmed: bool) -> None:
        if not is_confirmed:
            self._repeats.forbid()
            self._detail = "not repeated: the store has not confirmed the route's kind"
        self._on_checked(result)

    def _reject_repeat(self) -> bool:
        """End a request that may have run and may not run again, and return whether.

        A newer configuration may have come while a retry waited for its instance.
        """
        if not self._may_have_run:
            return False
        self._repeats.update()
        if self._repeats.is_granted:
            return False
        if not self._in_flight:
            self._respond_to_failure(self._best_result)
        return True

    def _needs_confirmation(self, result: AttemptResult) -> bool:
        """Return whether a retry depends on what the newest configuration says."""
        return (
            self._repeats.is_idempotent
            and not self._repeats.is_certain
            and self._may_have_run
            and result.outcome is not AttemptOutcome.ANSWERED
            and self._has_attempts_left()
            and self._has_time()
            and self._has_retry_budget()
        )

    @_isolated
    def _on_send(self, attempt: Attempt, use: ConnectionUse) -> None:
        """Log that the request is sent, and which attempt was before."""
        earlier = [
            (one.target, str(one.outcome))
            for one in self._attempt_records
            if one.outcome not in UNSENT_OUTCOMES
        ]
        earlier += [
            (one.target.name, "in-flight") for one in self._in_flight if one.bytes_sent
        ]
        after, outcome = earlier[-1] if earlier else ("", "")
        send = Send(
            request=self._request_id.decode("latin-1"),
            method=self._head.method,
            target=attempt.target.name,
            attempt=len(earlier) + 1,
            after=after,
            outcome=outcome,
            kind=str(self._repeats.kind),
            prefix=self._route.prefix,
            version=self._repeats.version,
            use=use,
        )
        self._deps.request_log.add_send(send)

    def _log_retry(self, result: AttemptResult) -> None:
        evidence = RetryEvidence(
            request=self._request_id.decode("latin-1"),
            target=self._attempt_records[-1].target,
            outcome=result.outcome,
            status=result.head.status,
            reused=result.reused,
            idle_ms=result.idle_s * 1000,
        )
        self._deps.request_log.add_retry(evidence)

    def _more_informative(self, result: AttemptResult) -> AttemptResult:
        """Return the result to report: the latest with a response, else the latest."""
        if self._best_result is None or result.head is not None:
            return result
        return self._best_result if self._best_result.head is not None else result

    def _has_attempts_left(self) -> bool:
        """Return whether one more instance may get the request.

        It may not if it seems to crash instances and may have run already.
        """
        is_suspect = self._deps.quarantine.is_suspect(self._digest, self._now())
        return (
            self._runs < self._repeats.max_runs
            and len(self._attempt_records) < MAX_ATTEMPTS
            and not (is_suspect and self._may_have_run)
        )

    def _has_time(self) -> bool:
        """Return whether another attempt could still get a response in time."""
        service_time_s = self._deps.placer.service_time_s(self._service)
        return (
            self._now() + service_time_s / 2 < self._deadline
            and self._deps.grace.can_finish(self._route.name, self._deadline)
        )

    def _attempt_context(self, result: AttemptResult) -> AttemptContext:
        placer = self._deps.placer
        has_attempts_left = self._has_attempts_left()
        may_retry = self._repeats.is_granted or not self._may_have_run
        has_time = self._has_time()
        has_retry_budget = True
        if result.bytes_sent and result.outcome is not AttemptOutcome.ANSWERED:
            is_retry_possible = may_retry and has_attempts_left and has_time
            has_retry_budget = is_retry_possible and placer.budget(
                self._service
            ).try_spend(
                self._now(), placer.retry_budget_hosts, self._repeats.is_idempotent
            )
        return AttemptContext(
            outcome=result.outcome,
            is_idempotent=self._repeats.is_granted,
            may_have_run=self._may_have_run,
            attempts=self._runs if has_attempts_left else self._repeats.max_runs,
            max_attempts=self._repeats.max_runs,
            has_retry_budget=has_retry_budget,
            has_time=has_time,
        )

    def _close_attempt(self, attempt: Attempt, outcome: AttemptOutcome | None) -> None:
        for timer in self._in_flight.pop(attempt, ()):
            timer.cancel()
        instance = attempt.target.instance
        if instance is None:
            return
        placer = self._deps.placer
        placer.release(instance.id, self._body_bytes)
        now = self._now()
        observation = None
        if outcome is AttemptOutcome.MISDIRECTED:
            placer.health.record_replaced(instance)
        is_reported = (
            attempt.is_silence_reported and outcome is AttemptOutcome.TIMED_OUT
        )
        if outcome is not None and not is_reported:
            observation = self._deps.evidence.observe(instance.id, outcome)
        self._deps.fleet.report_instance(instance.id, observation)
        self._deps.reactor.call_soon(placer.dispatch_queued, now)

    def _record_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        now = self._now()
        spent_s = now - attempt.started_at
        instance = attempt.target.instance
        unhealthy_probability = None
        if instance is not None:
            unhealthy_probability = self._deps.placer.health.unhealthy_probability(
                instance.id, now
            )
        self._attempt_records.append(
            AttemptRecord(
                attempt.target.name,
                unhealthy_probability,
                result.outcome,
                spent_s * 1000,
            )
        )
        if result.bytes_sent and result.outcome not in NOT_RUN_OUTCOMES:
            self._deps.grace.record(self._route.name, spent_s)
        if instance is None:
            return
        if result.outcome is AttemptOutcome.ANSWERED:
            self._deps.placer.record_service_time(
                self._service, spent_s, self._route.name
            )
            self._deps.placer.speeds.record(
                self._service, self._route.name, instance.id, spent_s
            )
            if result.head.status in SUCCESS_STATUSES:
                self._deps.quarantine.on_success(self._digest, now)
            known = self._deps.response_kb.get(self._route.name, 1.0)
            size_kb = len(result.body) / 1000
            self._deps.response_kb[self._route.name] = known + 0.1 * (size_kb - known)

    # Responding.

    def _finish(self, action: NextAction, result: AttemptResult) -> None:
        if action is NextAction.FORWARD and result.head is not None:
            self._forward_response(result)
            return
        self._respond_to_failure(result)

    def _respond_to_failure(self, result: AttemptResult) -> None:
        """Respond after the last attempt, from the most informative failed result.

        A failure response of an instance is forwarded. An error says that the request
        did not run only if no attempt can have run it.
        """
        if result.outcome is AttemptOutcome.FAILED:
            self._forward_response(result)
            return
        if not self._may_have_run:
            retry_after_s = self._deps.placer.service_time_s(self._service)
            if result.head is not None:
                retry_after_s = parse_retry_after(result.head, retry_after_s)
            self._send_error(KIND_BY_OUTCOME[result.outcome], retry_after_s)
            return
        kind = KIND_BY_OUTCOME[result.outcome]
        if answer_for(kind).outcome is Outcome.NOT_RUN:
            # An earlier attempt may have run it.
            kind = ErrorKind.BACKEND_CUT
        self._send_error(kind)

    def _abandon(self, kind: ErrorKind) -> None:
        if self._best_result is not None:
            self._respond_to_failure(self._best_result)
            return
        self._send_error(kind, self._deps.placer.service_time_s(self._service))

    def _forward_response(self, result: AttemptResult) -> None:
        """Send an instance's complete response to the caller."""
        if result.head.status in NOT_EXECUTED_STATUSES:
            # Without the not-executed header the request may have run.
            self._send_error(ErrorKind.BACKEND_CUT)
            return
        excluded = (b"content-length", b"transfer-encoding", b"connection")
        headers = [
            pair
            for pair in response_headers(result.head.headers)
            if pair[0] not in excluded
        ]
        length = str(len(result.body)).encode()
        if self._head.method == "HEAD":
            length = result.head.header(b"content-length") or b"0"
        headers.append((b"content-length", length))
        request_id_header = self._deps.header_names.request_id
        if self._is_handed_over and result.head.header(request_id_header) is None:
            # The host that handed the request over has to know whose response it is.
            headers.append((request_id_header, self._request_id))
        if not self._is_caller_gone:
            self._conn.send_head(result.head.status, headers)
            if result.body:
                self._conn.send_body(result.body)
            self._conn.end_response()
        self._close("served", result.head.status)

    def _send_error(self, kind: ErrorKind, retry_after_s: float | None = None) -> None:
        status = CALLER_GONE_STATUS
        if not self._is_caller_gone:
            header_names = self._deps.header_names
            headers = []
            if self._request_id:
                headers.append((header_names.request_id, self._request_id))
            if self._is_handed_over and not self._may_have_run:
                headers.append((header_names.not_executed, b"1"))
            status = send_error(self._conn, kind, headers, retry_after_s)
        self._close(str(kind), status)

    def on_request_error(self, kind: ErrorKind, detail: str) -> None:
        """Reject a request that is malformed or too large."""
        if not self.is_done:
            # What follows may quote the request, which may contain a key.
            self._detail = detail.partition(": ")[0]
            self._send_error(kind)

    def on_conn_drained(self) -> None:
        """Do nothing: responses are handed to the connection in one piece."""

    def on_caller_gone(self) -> None:
        """Stop the request, unless it is non-idempotent and an attempt is in flight.

        In that case the request goes on, but no response is sent.
        """
        if self.is_done:
            return
        self._is_caller_gone = True
        if self._in_flight and not self._repeats.is_idempotent:
            return
        self._close("caller-gone", CALLER_GONE_STATUS)

    def _close(self, reason: str, status: int) -> None:
        self.is_done = True
        self._refund_unless_run()
        self._on_done(self)
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if self._queued_request is not None:
            self._deps.placer.cancel(self._queued_request)
            self._queued_request = None
        for attempt in list(self._in_flight):
            attempt.cancel()
            self._close_attempt(attempt, None)
        self._free_bodies()
        now = self._now()
        first_dispatch_at = (
            self._first_dispatch_at if self._first_dispatch_at is not None else now
        )
        entry = RequestLogEntry(
            id=self._request_id.decode("latin-1"),
            route=self._route.name if self._route else "",
            service=self._service,
            kind=str(self._route.kind) if self._route else "",
            version=self._config_version,
            reason=reason,
            status=status,
            ms=(now - self._arrived_at) * 1000,
            waited_ms=(first_dispatch_at - self._arrived_at) * 1000,
            tries=tuple(self._attempt_records),
            detail=self._detail,
            organisation=self._organisation.name if self._organisation else "",
        )
        self._deps.request_log.add(entry)

    def _free_bodies(self) -> None:
        """Free memory: the caller's connection refers to its last exchange."""
        self._deps.request_buffers.release(self)
        self._body = bytearray()
        self._req = None
        self._best_result = None


def _ignore_connect(is_reached: bool) -> None:
    """Ignore whether another entry host was reached: it shows no path to instances."""
