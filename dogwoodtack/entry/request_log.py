"""A rate-limited log line for each request, and the request metrics."""

from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ..clock import Clock
from ..logs import log_event
from ..misc import is_safe_method

__all__ = [
    "AttemptRecord",
    "RequestLog",
    "RequestLogEntry",
    "Resend",
    "RetryEvidence",
]

# Requests that failed or were retried have a higher limit of their own, so that the
# others cannot crowd them out of the log.
ROUTINE_LINES_PER_S = 20
PROBLEM_LINES_PER_S = 200
LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4]
SUCCESS_STATUSES = range(200, 400)


class AttemptRecord(NamedTuple):
    """One attempt of a request.

    Attributes:
        target: id of the instance, or name of the entry host that took over.
        unhealthy_probability: estimate for the instance after the attempt; None for an
            entry host.
        outcome: how the attempt ended.
        ms: duration in milliseconds.
    """

    target: str
    unhealthy_probability: float | None
    outcome: str
    ms: float

    def __str__(self) -> str:
        probability = self.unhealthy_probability
        estimate = "-" if probability is None else f"{probability:.2f}"
        return f"{self.target}/{estimate}/{self.outcome}/{self.ms:.0f}"


class RequestLogEntry(NamedTuple):
    """The log line of a finished request; the field names are those in the log.

    Attributes:
        id: request id.
        route: name of the route, empty if none matched.
        service: name of the service, empty if no route matched.
        kind: kind of the route's requests, empty if no route matched.
        version: version of the configuration that was used.
        reason: "served", "caller-gone" or an error kind.
        status: HTTP status of the response.
        ms: milliseconds from the request's head to its end.
        waited_ms: milliseconds until the first attempt, or to the end without any.
        tries: the attempts, in the order in which they ended.
        detail: further explanation of an error.
    """

    id: str
    route: str
    service: str
    kind: str
    version: int
    reason: str
    status: int
    ms: float
    waited_ms: float
    tries: tuple[AttemptRecord, ...]
    detail: str


class RetryEvidence(NamedTuple):
    """Why a non-idempotent request that was sent may be sent once more.

    Attributes:
        request: id of the request.
        target: id of the instance, or name of the entry host, that had it.
        outcome: how the attempt ended.
        status: status of the response.
        reused: whether the connection had carried an earlier request.
        idle_ms: milliseconds for which the connection was idle before.
    """

    request: str
    target: str
    outcome: str
    status: int
    reused: bool
    idle_ms: float


class Resend(NamedTuple):
    """A request that is about to be sent once more.

    Attributes:
        request: id of the request.
        method: its HTTP method.
        target: id of the instance, or name of the entry host, that gets it.
        attempt: number of this attempt, from 2 on.
        after: the target of the attempt before.
        outcome: how that attempt ended, or "in-flight".
        kind: kind of the route's requests.
        prefix: path prefix of the route.
        version: version of the configuration that the route is taken from.
    """

    request: str
    method: str
    target: str
    attempt: int
    after: str
    outcome: str
    kind: str
    prefix: str
    version: int


class RequestLog:
    """Log finished requests and count them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current_second = 0
        self._lines_this_second = {True: 0, False: 0}
        self.registry = Registry()
        self._requests = Counter(
            "dogwoodtack_requests_total",
            "Requests by kind, reason and status.",
            registry=self.registry,
        )
        self._retries = Counter(
            "dogwoodtack_not_executed_retries_total",
            "Non-idempotent requests sent once more, by outcome and reused connection.",
            registry=self.registry,
        )
        self._resends = Counter(
            "dogwoodtack_resends_total",
            "Requests sent once more, by kind and outcome of the attempt before.",
            registry=self.registry,
        )
        self._repeated_ids = Counter(
            "dogwoodtack_repeated_request_ids_total",
            "Requests whose id this host has seen shortly before.",
            registry=self.registry,
        )
        self._dropped = Counter(
            "dogwoodtack_log_lines_dropped_total",
            "Request lines left out of the log.",
            registry=self.registry,
        )
        self._latency = Histogram(
            "dogwoodtack_request_seconds",
            "Time from a request's head to its answer, by kind.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._gauges = Gauge(
            "dogwoodtack_state",
            "What the host holds and believes, by name.",
            registry=self.registry,
        )

    def add(self, entry: RequestLogEntry) -> None:
        """Count a finished request, and log it within the rate limits."""
        labels = {
            "kind": entry.kind,
            "reason": entry.reason,
            "status": str(entry.status),
        }
        self._requests.inc(labels)
        self._latency.observe({"kind": entry.kind}, entry.ms / 1000)
        is_routine = entry.status in SUCCESS_STATUSES and len(entry.tries) == 1
        if not self._may_log(is_routine):
            self._dropped.inc({})
            return
        tries = "|".join(str(record) for record in entry.tries)
        log_event("request", **{**entry._asdict(), "tries": tries})

    def add_retry(self, evidence: RetryEvidence) -> None:
        """Count and log a retry of a non-idempotent request."""
        labels = {
            "outcome": evidence.outcome,
            "reused": str(evidence.reused).lower(),
        }
        self._retries.inc(labels)
        log_event("not-executed-retry", **evidence._asdict())

    def add_resend(self, resend: Resend) -> None:
        """Count a request that is sent once more, and log it before that is done.

        The request's own line comes at its end, which a host that is killed does not
        reach.  Only requests of safe methods are logged within the limits.
        """
        self._resends.inc({"kind": resend.kind, "outcome": resend.outcome})
        if is_safe_method(resend.method) and not self._may_log(is_routine=False):
            self._dropped.inc({})
            return
        log_event("request-resent", **resend._asdict())

    def add_repeated_id(self, request_id: str) -> None:
        """Count a request whose id came before, and log it within the limits."""
        self._repeated_ids.inc({})
        if self._may_log(is_routine=False):
            log_event("request-id-repeated", level="WARNING", request=request_id)
        else:
            self._dropped.inc({})

    def _may_log(self, is_routine: bool) -> bool:
        second = int(self._clock.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = {True: 0, False: 0}
        self._lines_this_second[is_routine] += 1
        limit = ROUTINE_LINES_PER_S if is_routine else PROBLEM_LINES_PER_S
        return self._lines_this_second[is_routine] <= limit

    def render(self, state: dict[str, float]) -> bytes:
        """Return the metrics in the Prometheus text format.

        Args:
            state: current values of the state gauge, by name.
        """
        for name, value in state.items():
            self._gauges.set({"name": name}, value)
        content, _headers = render(self.registry, ["text/plain"])
        return content
