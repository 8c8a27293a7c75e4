"""A frontend with scripted back ends and raw callers, all on one event loop."""

import random
import socket
from collections.abc import Callable
from typing import NamedTuple
from unittest.mock import Mock

from circuits import BaseComponent
from circuits.core.pollers import EPoll
from loguru import logger

from dogwoodtack.backends import ConnectionPool
from dogwoodtack.catalog import Catalog
from dogwoodtack.clock import Clock, VirtualClock
from dogwoodtack.draining import DrainingInstances
from dogwoodtack.floor import Floor
from dogwoodtack.frontend import ExchangeDependencies, Frontend
from dogwoodtack.health import Health, Sample
from dogwoodtack.keys import KeyTable
from dogwoodtack.limits import Limits
from dogwoodtack.misc import Address
from dogwoodtack.reactor import Listener, Reactor
from dogwoodtack.stream import Stream

__all__ = ["Peer", "Reply", "Harness", "ScriptedBackend"]

ANY_PORT = Address("127.0.0.1", 0)
# Time that passes with each round of the event loop, however long the machine takes for
# it: time in which this process does not run must not count as a caller's stall.
ROUND_S = 0.0002
WAIT_S = 2.0
STALL_S = 0.3
TIMEOUT_MS = 400
MAX_BODY_BYTES = 300_000
MAX_CONNECTIONS = 20
HOST = "jobtrack.example"
INCARNATION = "0123456789abcdef"


class Reply(NamedTuple):
    """What a scripted back end does with one request.

    Attributes:
        data: raw bytes to write; REQUEST-ID stands for the id of the request.
        then: `keep`, `close` or `reset` the connection afterwards.
        early: whether to reply as soon as the request's head is received.
    """

    data: bytes
    then: str = "keep"
    early: bool = False


class Peer:
    """One end of a raw connection, which collects the bytes it reads."""

    def __init__(self, reactor: Reactor, sock: socket.socket, on_data=None) -> None:
        self.data = b""
        self.ended = False
        self.reset = False
        self.on_data = on_data
        sock.setblocking(False)
        self.stream = Stream(reactor, sock, self)

    def on_bytes(self, data: bytes) -> None:
        self.data += data
        if self.on_data is not None:
            self.on_data(self)

    def on_eof(self) -> None:
        self.ended = True
        self.stream.close()

    def on_closed(self) -> None:
        self.ended = True
        self.reset = True

    def on_drained(self) -> None:
        pass


class ScriptedBackend:
    """Reply to requests with scripted bytes, in order; the last reply repeats."""

    def __init__(self, reactor: Reactor) -> None:
        self.replies: list[Reply] = []
        self.requests: list[bytes] = []
        self.peers: list[Peer] = []
        self._reactor = reactor
        self._listener = Listener(reactor, ANY_PORT, self._on_accept)
        self.address = self._listener.address

    def _on_accept(self, sock: socket.socket, peer: Address) -> None:
        self.peers.append(Peer(self._reactor, sock, self._on_data))

    def _on_data(self, peer: Peer) -> None:
        head, sep, body = peer.data.partition(b"\r\n\r\n")
        if not sep or not self.replies:
            return
        reply = self.replies[0]
        if not reply.early and not _is_complete(head, body):
            return
        self.requests.append(peer.data)
        peer.data = b""
        if len(self.replies) > 1:
            self.replies.pop(0)
        peer.stream.write(reply.data.replace(b"REQUEST-ID", _request_id(head)))
        if reply.then == "close":
            peer.stream.finish()
        elif reply.then == "reset":
            peer.stream.abort()


def _request_id(head: bytes) -> bytes:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"x-request-id:"):
            return line.partition(b":")[2].strip()
    return b""


def _is_complete(head: bytes, body: bytes) -> bool:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return b"chunked" not in head.lower() or body.endswith(b"0\r\n\r\n")


class RecordingHealth(Health):
    """Keeps every sample."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock, "here")
        self.samples: list[Sample] = []

    def record(self, sample: Sample) -> None:
        self.samples.append(sample)


def discover(name: str, on_response: Callable[[object], None]) -> None:
    on_response({"name": name})


class Harness:
    """A frontend whose event loop runs only while the test waits for a condition."""

    def __init__(self, backends: int = 1, **service: object) -> None:
        logger.remove()
        self.root = BaseComponent()
        self.poller = EPoll().register(self.root)
        self.clock = VirtualClock()
        self.reactor = Reactor(self.clock, self.poller).register(self.root)
        self.backends = [ScriptedBackend(self.reactor) for _ in range(backends)]
        self.health = RecordingHealth(self.reactor.clock)
        self.keys = KeyTable(INCARNATION, self.reactor.clock)
        self.pool = ConnectionPool(self.reactor, 1.0)
        self.catalog = catalog = Catalog()
        catalog.put("jobtrack", 1, self._service_value(service))
        self.confirmations = 0
        self.is_store_reached = True
        self.change_in_store: dict[str, object] | None = None
        draining = DrainingInstances(self.reactor.clock, lambda notice: None)
        limits = Limits(
            self.reactor, catalog, self.health, Floor(), draining, random.Random(1)
        )
        deps = ExchangeDependencies(
            reactor=self.reactor,
            catalog=catalog,
            keys=self.keys,
            limits=limits,
            draining=draining,
            health=self.health,
            pool=self.pool,
            burn=Mock(),
            request_history=Mock(),
            confirm_configuration=self.confirm_configuration,
            max_body_bytes=MAX_BODY_BYTES,
            stall_timeout_s=STALL_S,
        )
        self.limits = limits
        self.frontend = Frontend(deps, ANY_PORT, discover, MAX_CONNECTIONS, STALL_S)

    def _service_value(self, fields: dict[str, object]) -> dict[str, object]:
        instances = [
            {"name": f"jt-{number}", "address": str(one.address), "slots": 2}
            for number, one in enumerate(self.backends)
        ]
        route = {"host": HOST, "prefix": "/", "timeout_ms": TIMEOUT_MS}
        value = {"routes": [route], "instances": instances, "retry_ratio": 1.0}
        value.update(fields)
        return value

    def confirm_configuration(self, on_done: Callable[[bool], None]) -> None:
        """Read a service that was changed in the store, if that is reached."""
        self.confirmations += 1
        if self.is_store_reached and self.change_in_store is not None:
            self.change(self.change_in_store)
        self.reactor.call_later(ROUND_S, on_done, self.is_store_reached)

    def change(self, fields: dict[str, object]) -> None:
        """Put a second version of the service in force."""
        self.catalog.put("jobtrack", 2, self._service_value(fields))

    def script(self, *replies: Reply) -> None:
        """Give every back end the same script."""
        for backend in self.backends:
            backend.replies = list(replies)

    @property
    def requests(self) -> list[bytes]:
        """Return the requests that back ends received."""
        return [one for backend in self.backends for one in backend.requests]

    def caller(self, data: bytes = b"") -> Peer:
        """Connect a caller that sends `data`."""
        peer = Peer(self.reactor, socket.create_connection(self.frontend.address))
        peer.stream.write(data)
        return peer

    def run_until(self, check: Callable[[], bool], timeout_s: float = WAIT_S) -> bool:
        """Run the event loop until a check holds; return the check's last result."""
        end = self.clock.now + timeout_s

        def poll() -> None:
            if check() or self.clock.now > end:
                self.root.stop()
                return
            self.reactor.call_later(ROUND_S, poll)
            self.clock.advance(ROUND_S)

        self.reactor.call_soon(poll)
        self.root.run()
        return check()

    def run_for(self, seconds: float) -> None:
        """Run the event loop for some time."""
        self.run_until(lambda: False, seconds)

    def send(self, data: bytes, timeout_s: float = WAIT_S) -> Peer:
        """Send raw bytes; wait for a complete response or the connection's end."""
        peer = self.caller(data)
        self.run_until(lambda: peer.ended or is_response_complete(peer.data), timeout_s)
        return peer

    def close(self) -> None:
        """Close all connections."""
        self.frontend.stop_accepting()
        self.frontend.close()
        self.pool.close()


def is_response_complete(data: bytes) -> bool:
    """Return whether some bytes contain a complete response."""
    head, sep, body = data.partition(b"\r\n\r\n")
    if b" 100 " in head.split(b"\r\n")[0]:
        return is_response_complete(body)
    return bool(sep) and _is_complete(head, body)
