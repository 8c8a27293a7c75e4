"""A rate-limited log line for each request, and the request metrics."""

import enum
from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ..access import OrganisationCounts
from ..backends import ConnectionUse
from ..clock import Clock
from ..logs import log_event
from ..misc import is_safe_method

__all__ = [
    "AttemptRecord",
    "RequestLog",
    "RequestLogEntry",
    "RetryEvidence",
    "Send",
]

LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4]
SUCCESS_STATUSES = range(200, 400)
SERVER_ERROR = 500
# With these a host or an instance says that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class LineClass(enum.Enum):
    """Lines that share a limit, so that no others crowd them out of the log.

    Attributes:
        ROUTINE: the ends of requests that went well.
        PROBLEM: the ends of requests that failed or were retried.
        SEND: the first sends of requests.
    """

    ROUTINE = enum.auto()
    PROBLEM = enum.auto()
    SEND = enum.auto()


LINES_PER_S = {LineClass.ROUTINE: 20, LineClass.PROBLEM: 200, LineClass.SEND: 200}


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
        organisation: name of the organisation that sent it, empty if it named none.
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
    organisation: str = ""


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


class Send(NamedTuple):
    """A request that is about to be sent.

    Attributes:
        request: id of the request.
        method: its HTTP method.
        target: id of the instance, or name of the entry host, that gets it.
        attempt: number of this attempt, from 1 on.
        after: the target of the attempt before, empty if there was none.
        outcome: how that attempt ended, or "in-flight"; empty if there was none.
        kind: kind of the route's requests.
        prefix: path prefix of the route.
        version: version of the configuration that the route is taken from.
        use: what the connection was used for until then.
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
    use: ConnectionUse


class RequestLog:
    """Log finished requests and count them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current_second = 0
        self._lines_this_second = dict.fromkeys(LineClass, 0)
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
        self._sends = Counter(
            "dogwoodtack_sends_total",
            "Requests sent, by kind and whether the connection had carried others.",
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
        self._by_organisation = Counter(
            "dogwoodtack_organisation_requests_total",
            "Requests of the largest organisations by result.",
            registry=self.registry,
        )
        self._organisations = OrganisationCounts()
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
        if entry.organisation:
            self._organisations.record(entry.organisation, _result_of(entry.status))
        is_routine = entry.status in SUCCESS_STATUSES and len(entry.tries) == 1
        line_class = LineClass.ROUTINE if is_routine else LineClass.PROBLEM
        if not self._may_log(line_class):
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

    def add_send(self, send: Send) -> None:
        """Count a request that is about to be sent, and log it before that is done.

        The request's own line comes at its end, which a host that is killed does not
        reach.  What is sent once more is logged without a limit, unless its method is
        safe; the first send of a request with a safe method is not logged.
        """
        is_reused = str(send.use.carried > 0).lower()
        self._sends.inc({"kind": send.kind, "reused": is_reused})
        if send.attempt > 1:
            self._resends.inc({"kind": send.kind, "outcome": send.outcome})
        if not self._may_log_send(send):
            return
        fields = {**send._asdict(), **send.use._asdict()}
        del fields["use"]
        log_event("request-sent" if send.attempt == 1 else "request-resent", **fields)

    def _may_log_send(self, send: Send) -> bool:
        is_safe = is_safe_method(send.method)
        if is_safe and send.attempt == 1:
            return False
        if not is_safe and send.attempt > 1:
            return True
        return self._may_log(LineClass.PROBLEM if is_safe else LineClass.SEND)

    def add_repeated_id(self, request_id: str) -> None:
        """Count a request whose id came before, and log it within the limits."""
        self._repeated_ids.inc({})
        if self._may_log(LineClass.PROBLEM):
            log_event("request-id-repeated", level="WARNING", request=request_id)

    def _may_log(self, line_class: LineClass) -> bool:
        """Return whether a line is within its limit, and count it if it is not."""
        second = int(self._clock.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = dict.fromkeys(LineClass, 0)
        self._lines_this_second[line_class] += 1
        may_log = self._lines_this_second[line_class] <= LINES_PER_S[line_class]
        if not may_log:
            self._dropped.inc({})
        return may_log

    def render(self, state: dict[str, float]) -> bytes:
        """Return the metrics in the Prometheus text format.

        Args:
            state: current values of the state gauge, by name.
        """
        for name, value in state.items():
            self._gauges.set({"name": name}, value)
        self._by_organisation.values.clear()
        for organisation, result, count in self._organisations.rows():
            labels = {"organisation": _escaped(organisation), "result": result}
            self._by_organisation.set(labels, count)
        content, _headers = render(self.registry, ["text/plain"])
        return content


def _result_of(status: int) -> str:
    """Return how a request ended, in one of the words by which metrics are kept."""
    if status in NOT_RUN_STATUSES:
        return "rejected"
    return "served" if status < SERVER_ERROR else "failed"


def _escaped(label: str) -> str:
    """Return a label's value as the text format requires; the renderer does not."""
    return label.replace("\\", "\\\\").replace('"', '\\"')
