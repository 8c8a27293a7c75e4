"""The callers' port of an entry host."""

import socket
from collections.abc import Callable

from ..door.conn import RequestHead, ServerConn
from ..errors import ErrorKind
from ..misc import Address
from ..reactor import Listener, Reactor
from ..routing import CallerLimits
from .exchange import Exchange, Parts
from .replies import send_own

__all__ = ["EntryDoor"]


class EntryDoor:
    """Accept callers and start an exchange for each request."""

    def __init__(
        self,
        parts: Parts,
        address: Address,
        limits: Callable[[], CallerLimits],
        max_connections: int,
    ) -> None:
        self._parts = parts
        self._reactor: Reactor = parts.reactor
        self._limits = limits
        self._max_connections = max_connections
        self._conns: dict[ServerConn, Exchange | None] = {}
        self._body_bytes: dict[ServerConn, int] = {}
        self._live: set[Exchange] = set()
        self._is_leaving = False
        self._listener = Listener(parts.reactor, address, self._on_accept)

    @property
    def in_flight(self) -> int:
        """Return how many requests are under way."""
        return len(self._live)

    @property
    def connections(self) -> int:
        """Return how many callers are connected."""
        return len(self._conns)

    def announce_stop(self) -> None:
        """Let each connection's next answer be its last one."""
        self._is_leaving = True
        for conn in self._conns:
            conn.close_after_answer()

    def stop_accepting(self) -> None:
        """Take no further connections; close each after its current answer."""
        self._listener.close()
        for conn in list(self._conns):
            conn.close_when_idle()

    def _on_accept(self, sock: socket.socket, peer: Address) -> None:
        if len(self._conns) >= self._max_connections:
            sock.close()
            return
        limits = self._limits()
        conn = ServerConn(
            self._reactor,
            sock,
            peer,
            self,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )
        self._conns[conn] = None
        if self._is_leaving:
            conn.close_after_answer()

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Start an exchange."""
        exchange = Exchange(self._parts, conn, head, self._live.discard)
        self._conns[conn] = exchange
        self._body_bytes[conn] = 0
        self._live.add(exchange)

    def on_request_body(self, conn: ServerConn, data: bytes) -> None:
        """Pass a piece of a body to its exchange, within the limit."""
        exchange = self._conns.get(conn)
        if exchange is None or exchange.is_done:
            return
        self._body_bytes[conn] += len(data)
        if self._body_bytes[conn] > self._limits().max_body_bytes:
            exchange.on_fault(ErrorKind.BODY_TOO_LARGE)
            return
        exchange.on_body(data)

    def on_request_end(self, conn: ServerConn) -> None:
        """Let the exchange begin its work."""
        exchange = self._conns.get(conn)
        if exchange is not None:
            exchange.start()

    def on_request_fault(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        """Refuse a malformed request."""
        exchange = self._conns.get(conn)
        if exchange is not None and not exchange.is_done:
            exchange.on_fault(kind)
            return
        send_own(conn, kind, None)

    def on_conn_drained(self, conn: ServerConn) -> None:
        """Do nothing: answers are handed over whole."""

    def on_conn_gone(self, conn: ServerConn) -> None:
        """Tell the exchange that its caller went away."""
        exchange = self._conns.pop(conn, None)
        self._body_bytes.pop(conn, None)
        if exchange is not None:
            exchange.on_caller_gone()
