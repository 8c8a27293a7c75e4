"""The callers' connections of a door, whatever its exchanges do."""

import socket
from typing import Generic, Protocol, TypeVar

from ..errors import ErrorKind
from ..misc import Address
from ..reactor import Listener, Reactor
from .conn import RequestHead, ServerConn
from .rejection import ConnectionRejection

__all__ = ["CallerFrontend", "CallerExchange"]

MAX_TURNED_AWAY = 256


class CallerExchange(Protocol):
    """What a door needs of one request's exchange."""

    is_done: bool

    def on_body(self, data: bytes) -> None:
        """Take a piece of the request's body."""

    def on_body_end(self) -> None:
        """Note that the request is whole."""

    def on_request_error(self, kind: ErrorKind, detail: str) -> None:
        """Refuse a request that turned out malformed."""

    def on_conn_drained(self) -> None:
        """Note that the caller takes bytes again."""

    def on_caller_gone(self) -> None:
        """Note that the caller closed the connection."""


ExchangeT = TypeVar("ExchangeT", bound=CallerExchange)


class CallerFrontend(Generic[ExchangeT]):
    """Accept callers, pass their requests to exchanges, and stop gracefully."""

    def __init__(
        self, reactor: Reactor, address: Address, max_connections: int
    ) -> None:
        self._reactor = reactor
        self._max_connections = max_connections
        self._conns: dict[ServerConn, ExchangeT | None] = {}
        self._live: set[ExchangeT] = set()
        self._turned_away: set[ConnectionRejection] = set()
        self._is_leaving = False
        self._listener = Listener(reactor, address, self._on_accept)
        self.address = self._listener.address

    @property
    def in_flight(self) -> int:
        """Return how many requests are under way."""
        return len(self._live)

    @property
    def connections(self) -> int:
        """Return how many callers are connected."""
        return len(self._conns)

    def announce_stop(self) -> None:
        """Let each connection's next answer be its last one.

        A connection closed without a word can meet the request that its caller
        is just sending.  An answer that says it is the last one cannot.
        """
        self._is_leaving = True
        for conn in self._conns:
            conn.close_after_answer()

    def stop_accepting(self) -> None:
        """Take no further connections; close each after its current answer."""
        self._listener.close()
        for conn in list(self._conns):
            conn.close_when_idle()

    def close(self) -> int:
        """Cut what is left and return how many requests that cut."""
        cut = self.in_flight
        for conn in list(self._conns):
            conn.abort()
        return cut

    # What the kinds of doors differ in.

    def _open(self, sock: socket.socket, peer: Address) -> ServerConn:
        """Return a connection with the limits that hold now."""
        raise NotImplementedError

    def _send_error(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        """Answer a malformed request that has no exchange under way."""
        raise NotImplementedError

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Take a request's head."""
        raise NotImplementedError

    # Connections.

    def _on_accept(self, sock: socket.socket, peer: Address) -> None:
        if len(self._conns) >= self._max_connections:
            self._turn_away(sock)
            return
        conn = self._open(sock, peer)
        self._conns[conn] = None
        if self._is_leaving:
            conn.close_after_answer()

    def _turn_away(self, sock: socket.socket) -> None:
        if len(self._turned_away) >= MAX_TURNED_AWAY:
            sock.close()
            return
        caller = ConnectionRejection(self._reactor, sock, self._turned_away.discard)
        if caller.is_open:
            self._turned_away.add(caller)

    def _begin(self, conn: ServerConn, exchange: ExchangeT) -> None:
        self._conns[conn] = exchange
        self._live.add(exchange)

    def on_request_body(self, conn: ServerConn, data: bytes) -> None:
        """Pass a piece of a body to its exchange."""
        exchange = self._conns.get(conn)
        if exchange is not None:
            exchange.on_body(data)

    def on_request_end(self, conn: ServerConn) -> None:
        """Tell the exchange that its request is whole."""
        exchange = self._conns.get(conn)
        if exchange is not None:
            exchange.on_body_end()

    def on_request_error(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        """Refuse a malformed request."""
        exchange = self._conns.get(conn)
        if exchange is not None and not exchange.is_done:
            exchange.on_request_error(kind, detail)
            return
        self._send_error(conn, kind, detail)

    def on_conn_drained(self, conn: ServerConn) -> None:
        """Tell the exchange that its caller takes bytes again."""
        exchange = self._conns.get(conn)
        if exchange is not None:
            exchange.on_conn_drained()

    def on_conn_closed(self, conn: ServerConn) -> None:
        """Tell the exchange that its caller went away."""
        exchange = self._conns.pop(conn, None)
        if exchange is not None:
            exchange.on_caller_gone()
