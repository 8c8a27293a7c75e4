"""The callers' connections of a frontend, independent of its exchanges."""

import socket
from typing import Generic, Protocol, TypeVar

from ..errors import ErrorKind
from ..misc import Address
from ..reactor import Listener, Reactor
from .conn import RequestHead, ServerConn
from .rejection import ConnectionRejection

__all__ = [
    "KEPT_CONNECTIONS_SHARE",
    "MAX_PENDING_REJECTIONS",
    "CallerExchange",
    "CallerFrontend",
]

MAX_PENDING_REJECTIONS = 256
# Connections beyond this share of the most that are accepted are closed after their
# first response, so that callers that keep theirs don't shut out others.
KEPT_CONNECTIONS_SHARE = 0.75


class CallerExchange(Protocol):
    """The exchange of one request, as its frontend uses it."""

    is_done: bool

    def on_body(self, data: bytes) -> None:
        """Handle a piece of the request's body."""

    def on_body_end(self) -> None:
        """Handle the end of the request."""

    def on_request_error(self, kind: ErrorKind, detail: str) -> None:
        """Reject a request that turned out malformed."""

    def on_conn_drained(self) -> None:
        """Continue: the caller's connection accepts bytes again."""

    def on_caller_gone(self) -> None:
        """Handle that the caller closed the connection."""


ExchangeT = TypeVar("ExchangeT", bound=CallerExchange)


class CallerFrontend(Generic[ExchangeT]):
    """Accept callers, pass their requests to exchanges, and stop gracefully.

    Args:
        reactor: event loop.
        address: where callers connect.
        max_connections: most connections at a time; further ones are rejected.
        max_rejections: most rejections under way at a time; connections beyond them are
            closed without a response.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        max_connections: int,
        max_rejections: int = MAX_PENDING_REJECTIONS,
    ) -> None:
        self._reactor = reactor
        self._max_connections = max_connections
        self._max_rejections = max_rejections
        self._conns: dict[ServerConn, ExchangeT | None] = {}
        self._exchanges: set[ExchangeT] = set()
        self._rejections: set[ConnectionRejection] = set()
        self._is_stopping = False
        self._listener = Listener(reactor, address, self._on_accept)
        self.address = self._listener.address

    @property
    def in_flight(self) -> int:
        """Return how many requests are in flight."""
        return len(self._exchanges)

    @property
    def connections(self) -> int:
        """Return how many callers are connected."""
        return len(self._conns)

    def announce_stop(self) -> None:
        """Announce in each connection's next response that it is the last one.

        Closing a connection without notice can race with a request that its caller
        is just sending. A response that announces the close cannot.
        """
        self._is_stopping = True
        for conn in self._conns:
            conn.close_after_response()

    def stop_accepting(self) -> None:
        """Accept no further connections; close each after its current response."""
        self._listener.close()
        for conn in list(self._conns):
            conn.close_when_idle()

    def close(self) -> int:
        """Abort the remaining connections; return how many requests were cut."""
        cut = self.in_flight
        for conn in list(self._conns):
            conn.abort()
        return cut

    # Implemented by subclasses.

    def _make_conn(self, sock: socket.socket, peer: Address) -> ServerConn:
        """Return a connection with the limits in force."""
        raise NotImplementedError

    def _send_error(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        """Send an error for a malformed request without an exchange in progress."""
        raise NotImplementedError

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Handle a request's head."""
        raise NotImplementedError

    # Connections.

    def _on_accept(self, sock: socket.socket, peer: Address) -> None:
        if len(self._conns) >= self._max_connections:
            self._reject(sock)
            return
        conn = self._make_conn(sock, peer)
        self._conns[conn] = None
        is_nearly_full = (
            len(self._conns) > KEPT_CONNECTIONS_SHARE * self._max_connections
        )
        if self._is_stopping or is_nearly_full:
            conn.close_after_response()

    def _reject(self, sock: socket.socket) -> None:
        if len(self._rejections) >= self._max_rejections:
            sock.close()
            return
        rejection = ConnectionRejection(self._reactor, sock, self._rejections.discard)
        if rejection.is_open:
            self._rejections.add(rejection)

    def _add_exchange(self, conn: ServerConn, exchange: ExchangeT) -> None:
        self._conns[conn] = exchange
        self._exchanges.add(exchange)

    def on_request_body(self, conn: ServerConn, data: bytes) -> None:
        """Pass a piece of a body to its exchange."""
        exchange = self._conns.get(conn)
        if exchange is not None:
            exchange.on_body(data)

    def on_request_end(self, conn: ServerConn) -> None:
        """Notify the exchange that its request is complete."""
        exchange = self._conns.get(conn)
        if exchange is not None:
            exchange.on_body_end()

    def on_request_error(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        """Reject a malformed request."""
        exchange = self._conns.get(conn)
        if exchange is not None and not exchange.is_done:
            exchange.on_request_error(kind, detail)
            return
        self._send_error(conn, kind, detail)

    def on_conn_drained(self, conn: ServerConn) -> None:
        """Notify the exchange that its caller's connection accepts bytes again."""
        exchange = self._conns.get(conn)
        if exchange is not None:
            exchange.on_conn_drained()

    def on_conn_closed(self, conn: ServerConn) -> None:
        """Notify the exchange that its caller disconnected."""
        exchange = self._conns.pop(conn, None)
        if exchange is not None:
            exchange.on_caller_gone()
