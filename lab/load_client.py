"""Send requests at their due times, whether or not earlier ones have completed."""

import random
import secrets
from typing import NamedTuple

from circuits import BaseComponent
from circuits.core.pollers import EPoll

from dogwoodtack.backends import (
    BackendConnection,
    ConnectionPool,
    OutgoingHead,
    ResponseHead,
)
from dogwoodtack.clock import SystemClock
from dogwoodtack.errors import WireError
from dogwoodtack.misc import Address
from dogwoodtack.reactor import Reactor

from .load_report import LoadReport

__all__ = ["LoadGenerator", "MixItem", "LoadPlan", "Target"]

CONNECT_TIMEOUT_S = 5.0
DRAIN_TIMEOUT_S = 10.0
LATE_SEND_S = 0.010
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS")


class MixItem(NamedTuple):
    """A kind of request and its weight in the mix."""

    method: str
    path: str
    weight: float


class Target(NamedTuple):
    """Address of an entry host, and the prefix of keys that it owns."""

    address: Address
    key_prefix: str


class LoadPlan(NamedTuple):
    """Parameters of a load run.

    Attributes:
        host: Host header.
        rate: requests per second, at exponentially distributed intervals.
        seconds: duration of the counted part of the run.
        warm_s: seconds at the start that are not counted.
        customers: weights by name; an empty name sends no header.
        deadline_ms: deadline header, 0 for none.
        body_bytes: body size of non-idempotent requests.
    """

    targets: tuple[Target, ...]
    host: str
    mix: tuple[MixItem, ...]
    rate: float
    seconds: float
    warm_s: float
    customers: dict[str, float]
    deadline_ms: int
    body_bytes: int
    seed: int


class LoadGenerator:
    """Generates the load of one process on one event loop."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.report = LoadReport()
        self.root = BaseComponent()
        poller = EPoll().register(self.root)
        self.reactor = Reactor(SystemClock(), poller).register(self.root)
        self.pool = ConnectionPool(self.reactor, CONNECT_TIMEOUT_S)
        self._rng = random.Random(plan.seed)
        self._in_flight = 0
        self._is_finished = False
        self._started_at = 0.0

    def run(self) -> LoadReport:
        """Send all requests and return the report."""
        self._started_at = self.reactor.clock.monotonic()
        self._schedule_next(self._started_at)
        self.root.run()
        return self.report

    def _schedule_next(self, previous_due: float) -> None:
        due = previous_due + self._rng.expovariate(self.plan.rate)
        if due > self._started_at + self.plan.warm_s + self.plan.seconds:
            self._is_finished = True
            self.reactor.call_later(DRAIN_TIMEOUT_S, self.root.stop)
            self._stop_when_done()
            return
        delay_s = due - self.reactor.clock.monotonic()
        self.reactor.call_later(delay_s, self._send, due)

    def _send(self, due: float) -> None:
        plan = self.plan
        item = self._rng.choices(plan.mix, [one.weight for one in plan.mix])[0]
        names = list(plan.customers)
        customer = self._rng.choices(names, list(plan.customers.values()))[0]
        target = self._rng.choice(plan.targets)
        is_counted = due >= self._started_at + plan.warm_s
        if is_counted:
            self.report.sent += 1
            self.report.late_sends += self._delay_since(due) > LATE_SEND_S
        self._in_flight += 1
        LoadRequest(self, target, item, customer, due, is_counted)
        self._schedule_next(due)

    def _delay_since(self, due: float) -> float:
        return self.reactor.clock.monotonic() - due

    def on_done(self, request: "LoadRequest", kind: str, is_good: bool) -> None:
        """Count a request that has ended."""
        self._in_flight -= 1
        if request.is_counted:
            latency_s = self._delay_since(request.due)
            self.report.record(kind, request.customer, latency_s, is_good)
        self._stop_when_done()

    def _stop_when_done(self) -> None:
        if self._is_finished and not self._in_flight:
            self.root.stop()
            self.reactor.call_soon(_wake_loop)


def _wake_loop() -> None:
    """Do nothing; the call makes the loop iterate once more and see that it stopped."""


class LoadRequest:
    """One request of the load."""

    def __init__(
        self,
        load: LoadGenerator,
        target: Target,
        item: MixItem,
        customer: str,
        due: float,
        is_counted: bool,
    ) -> None:
        self.customer = customer
        self.due = due
        self.is_counted = is_counted
        self._load = load
        self._target = target
        self._item = item
        self._conn: BackendConnection | None = None
        self._head: ResponseHead | None = None
        load.pool.acquire(target.address, self._on_connection, fresh=True)

    def _on_connection(
        self, conn: BackendConnection | None, exc: WireError | None
    ) -> None:
        if exc is not None:
            self._load.on_done(self, f"no connection ({exc.kind})", False)
            return
        self._conn = conn
        is_idempotent = self._item.method in IDEMPOTENT_METHODS
        body = b"" if is_idempotent else bytes(self._load.plan.body_bytes)
        method = self._item.method.encode()
        target = self._item.path.encode()
        conn.send_request(
            OutgoingHead(method, target, self._headers(len(body))), self, body
        )
        conn.end_body()

    def _headers(self, body_bytes: int) -> list[tuple[bytes, bytes]]:
        plan = self._load.plan
        headers = [
            (b"host", plan.host.encode()),
            (b"content-length", str(body_bytes).encode()),
        ]
        if self.customer:
            headers.append((b"x-customer", self.customer.encode()))
        if plan.deadline_ms:
            headers.append((b"x-deadline-ms", str(plan.deadline_ms).encode()))
        if self._target.key_prefix and self._item.method not in IDEMPOTENT_METHODS:
            key = self._target.key_prefix + secrets.token_hex(8)
            headers.append((b"idempotency-key", key.encode()))
        return headers

    def on_head(self, head: ResponseHead) -> None:
        """Store the response head."""
        self._head = head

    def on_body(self, data: bytes) -> None:
        """Discard the response body."""

    def on_end(self) -> None:
        """Count a complete response by its status, outcome and error kind."""
        self._load.pool.release(self._conn)
        parts = [str(self._head.status)]
        for name in (b"x-dogwoodtack-outcome", b"x-dogwoodtack-error"):
            value = self._head.header(name)
            if value is not None:
                parts.append(value.decode())
        self._load.on_done(self, " ".join(parts), self._head.status < 400)

    def on_fail(self, exc: WireError) -> None:
        """Count a broken connection."""
        self._load.on_done(self, f"broken ({exc.kind})", False)

    def on_drained(self) -> None:
        """Do nothing: the body was passed to the connection at once."""
