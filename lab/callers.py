"""Concurrent callers on one event loop that record the response to each request."""

import json
import random
import signal
from collections.abc import Callable
from typing import NamedTuple

from dogwoodtack.backends import BackendConnection, OutgoingHead, ResponseHead
from dogwoodtack.errors import WireError
from dogwoodtack.misc import Address
from dogwoodtack.reactor import ConnectAttempt
from dogwoodtack_standins.process import Process

from .history import CopyResult

__all__ = ["Callers", "Copy", "ScheduledAction", "plan_copies"]

CONNECT_TIMEOUT_S = 2.0
STATUS_OK = 200


class Copy(NamedTuple):
    """One copy of a request to send.

    Attributes:
        at_s: seconds after the start of the run.
        host: name of the entry host.
        address: the entry host's address for callers.
        key: idempotency key.
        target: request target, unique to the request.
        abandon_after_s: seconds after which the caller closes its connection.
    """

    at_s: float
    host: str
    address: Address
    key: str
    target: str
    abandon_after_s: float


class ScheduledAction(NamedTuple):
    """An action at a set time of a run, such as injecting a fault.

    Attributes:
        at_s: seconds after the start of the run.
    """

    at_s: float
    func: Callable[[], None]


class Caller:
    """Sends one copy on a new connection and records the response."""

    def __init__(
        self,
        process: Process,
        copy: Copy,
        host: str,
        on_result: Callable[[CopyResult], None],
    ) -> None:
        self._process = process
        self._copy = copy
        self._host = host
        self._on_result: Callable[[CopyResult], None] | None = on_result
        self._began_at = process.clock.boottime()
        self._conn: BackendConnection | None = None
        self._head: ResponseHead | None = None
        self._body = bytearray()
        process.reactor.call_later(copy.abandon_after_s, self._abandon)
        ConnectAttempt(
            process.reactor, copy.address, CONNECT_TIMEOUT_S, self._on_connection
        )

    def _on_connection(self, sock, exc) -> None:
        if sock is None:
            self._record()
            return
        self._conn = BackendConnection(self._process.reactor, sock, self._copy.address)
        body = self._copy.target.encode()
        headers = [
            (b"host", self._host.encode()),
            (b"content-length", str(len(body)).encode()),
            (b"idempotency-key", self._copy.key.encode()),
        ]
        head = OutgoingHead(b"POST", self._copy.target.encode(), headers)
        self._conn.send_request(head, self, body)
        self._conn.end_body()

    def _abandon(self) -> None:
        if self._on_result is not None:
            self._head = None
            self._record()

    def on_head(self, head: ResponseHead) -> None:
        """Store the response head."""
        self._head = head

    def on_body(self, data: bytes) -> None:
        """Append a chunk of the response body."""
        self._body += data

    def on_end(self) -> None:
        """Record a complete response."""
        self._record()

    def on_fail(self, exc: WireError) -> None:
        """Record that the response was not complete."""
        self._head = None
        self._record()

    def on_drained(self) -> None:
        """Do nothing: the request body was passed to the connection at once."""

    def _record(self) -> None:
        on_result, self._on_result = self._on_result, None
        if self._conn is not None:
            self._conn.close()
        if on_result is not None:
            on_result(self._build_result())

    def _build_result(self) -> CopyResult:
        copy = self._copy
        result = CopyResult(
            copy.target,
            copy.key,
            copy.host,
            self._began_at,
            self._process.clock.boottime(),
        )
        if self._head is None:
            return result
        return result._replace(
            status=self._head.status,
            outcome=self._header(b"x-dogwoodtack-outcome"),
            answer_id=self._header(b"x-request-id"),
            echo=self._echo(),
        )

    def _header(self, name: bytes) -> str:
        return (self._head.header(name) or b"").decode("latin-1")

    def _echo(self) -> str:
        if self._head.status != STATUS_OK:
            return ""
        return json.loads(self._body)["target"]


class Callers(Process):
    """Sends every copy at its time and stops when all have a result."""

    channel = "callers"

    def __init__(
        self, host: str, copies: list[Copy], actions: list[ScheduledAction] = ()
    ) -> None:
        super().__init__()
        self.results: list[CopyResult] = []
        self._host = host
        self._remaining = len(copies)
        for copy in copies:
            self.reactor.call_later(copy.at_s, self._send, copy)
        for action in actions:
            self.reactor.call_later(action.at_s, action.func)

    def _send(self, copy: Copy) -> None:
        Caller(self, copy, self._host, self._on_result)

    def _on_result(self, result: CopyResult) -> None:
        self.results.append(result)
        self._remaining -= 1
        if self._remaining == 0:
            self.stop()

    def record(self) -> list[CopyResult]:
        """Send all copies and return their results once they are complete."""
        try:
            self.run()
        finally:
            signal.signal(signal.SIGINT, signal.default_int_handler)
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
        return self.results


def plan_copies(
    rng: random.Random,
    hosts: dict[str, Address],
    prefixes: list[str],
    requests: int,
    duration_s: float,
) -> list[Copy]:
    """Draw one to four copies of each request, to random hosts, shortly after another.

    Some copies are abandoned early.  None waits for the copy before it, so that copies
    can overtake each other.

    Args:
        prefixes: key prefixes that the entry hosts announce.
        requests: number of requests.
        duration_s: period in which the first copies are sent.
    """
    copies = []
    names = sorted(hosts)
    for number in range(requests):
        key = f"{rng.choice(prefixes)}{rng.getrandbits(64):016x}"
        at_s = rng.uniform(0, duration_s)
        for _ in range(rng.randint(1, 4)):
            name = rng.choice(names)
            abandon_after_s = rng.choice((0.05, 0.3, 10.0, 10.0))
            copies.append(
                Copy(
                    at_s, name, hosts[name], key, f"/release/{number}", abandon_after_s
                )
            )
            at_s += rng.choice((0.0, rng.uniform(0, 0.1), rng.uniform(0, 1.0)))
    return copies
