"""A server for small requests, most of which are handled at once from memory."""

import functools
import socket
from collections.abc import Callable
from typing import NamedTuple

from ..errors import ErrorKind
from ..frontend import KEPT_CONNECTIONS_SHARE, RequestHead, ServerConn
from ..misc import Address
from ..reactor import Listener, Reactor

__all__ = ["DeferredResponse", "Responder", "SimpleResponse"]

# Clients of these ports send small heads and reuse their connections.
HEAD_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 60.0
NOT_FOUND = 404
BAD_REQUEST = 400


class SimpleResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


class DeferredResponse(NamedTuple):
    """A response that is not there yet.

    Attributes:
        begin: starts what it needs and calls its argument once with the response.
    """

    begin: Callable[[Callable[[SimpleResponse], None]], None]


RequestHandler = Callable[[str, str], SimpleResponse | DeferredResponse | None]


class Responder:
    """Respond to each request with the result of a handler.

    When most connections are in use, a new one is closed after its first response, so
    that clients that keep theirs don't shut out others.

    Args:
        reactor: event loop.
        address: where to listen.
        handle: returns the response for a method and target, or None for status 404.
        max_connections: most connections at a time; further ones are closed.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        handle: RequestHandler,
        max_connections: int,
    ) -> None:
        self._reactor = reactor
        self._handle = handle
        self._max_connections = max_connections
        self._conns: set[ServerConn] = set()
        self._request_heads: dict[ServerConn, RequestHead] = {}
        self._listener = Listener(reactor, address, self._on_accept)
        self.address = self._listener.address

    @property
    def connections(self) -> int:
        """Return how many clients are connected."""
        return len(self._conns)

    def _on_accept(self, sock: socket.socket, peer: Address) -> None:
        if len(self._conns) >= self._max_connections:
            sock.close()
            return
        conn = ServerConn(
            self._reactor, sock, peer, self, HEAD_TIMEOUT_S, IDLE_TIMEOUT_S
        )
        self._conns.add(conn)
        if len(self._conns) > KEPT_CONNECTIONS_SHARE * self._max_connections:
            conn.close_after_response()

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Keep the head until the request is complete."""
        self._request_heads[conn] = head

    def on_request_body(self, conn: ServerConn, data: bytes) -> None:
        """Ignore the body: no handler uses one."""

    def on_request_end(self, conn: ServerConn) -> None:
        """Send the handler's response."""
        head = self._request_heads.pop(conn)
        response = self._handle(head.method, head.target) or SimpleResponse(NOT_FOUND)
        if isinstance(response, DeferredResponse):
            response.begin(functools.partial(self._send_later, conn))
        else:
            self._send(conn, response)

    def _send_later(self, conn: ServerConn, response: SimpleResponse) -> None:
        if conn in self._conns:
            self._send(conn, response)

    def on_request_error(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        """Reject a malformed request."""
        self._send(conn, SimpleResponse(BAD_REQUEST))

    def _send(self, conn: ServerConn, response: SimpleResponse) -> None:
        headers = [
            (b"content-type", response.content_type.encode()),
            (b"content-length", str(len(response.body)).encode()),
        ]
        conn.send_head(response.status, headers)
        if response.body:
            conn.send_body(response.body)
        conn.end_response()

    def on_conn_drained(self, conn: ServerConn) -> None:
        """Do nothing: responses are handed to the connection in one piece."""

    def on_conn_closed(self, conn: ServerConn) -> None:
        """Forget the request of a client that disconnected."""
        self._conns.discard(conn)
        self._request_heads.pop(conn, None)
