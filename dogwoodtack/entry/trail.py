"""One log line for each request, within a bound, and its place in the metrics."""

from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ..clock import Clock
from ..logs import log_event

__all__ = ["RequestLine", "Trail", "Try"]

# Lines a second; what went wrong is written before what went well.
GOOD_LINES_PER_S = 20
BAD_LINES_PER_S = 200
LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4]
GOOD_STATUS = range(200, 400)


class Try(NamedTuple):
    """One attempt of a request: where, what was believed of it, and its end."""

    instance: str
    sick: float
    ending: str
    ms: float

    def __str__(self) -> str:
        return f"{self.instance}/{self.sick:.2f}/{self.ending}/{self.ms:.0f}"


class RequestLine(NamedTuple):
    """What is written of a request that has ended."""

    id: str
    route: str
    service: str
    kind: str
    version: int
    reason: str
    status: int
    ms: float
    waited_ms: float
    tries: tuple[Try, ...]
    detail: str


class Trail:
    """Write requests' lines and count them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._second = 0
        self._written = {True: 0, False: 0}
        self.registry = Registry()
        self._requests = Counter(
            "dogwoodtack_requests_total",
            "Requests by kind, reason and status.",
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

    def add(self, line: RequestLine) -> None:
        """Take in a request that has ended."""
        labels = {"kind": line.kind, "reason": line.reason, "status": str(line.status)}
        self._requests.inc(labels)
        self._latency.observe({"kind": line.kind}, line.ms / 1000)
        is_good = line.status in GOOD_STATUS and len(line.tries) == 1
        if not self._may_write(is_good):
            self._dropped.inc({})
            return
        tries = "|".join(str(one) for one in line.tries)
        log_event("request", **{**line._asdict(), "tries": tries})

    def _may_write(self, is_good: bool) -> bool:
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._written = {True: 0, False: 0}
        self._written[is_good] += 1
        limit = GOOD_LINES_PER_S if is_good else BAD_LINES_PER_S
        return self._written[is_good] <= limit

    def render(self, state: dict[str, float]) -> bytes:
        """Return the metrics in the text format.

        Args:
            state: further values by name, taken at this moment.
        """
        for name, value in state.items():
            self._gauges.set({"name": name}, value)
        content, _headers = render(self.registry, ["text/plain"])
        return content
