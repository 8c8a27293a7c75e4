"""The callers' port: requests and discovery."""

import json
import math
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

from ..errors import ErrorKind, RequestError
from ..misc import Address
from .callers import CallerFrontend
from .conn import RequestHead, ServerConn
from .exchange import Exchange, ExchangeDependencies
from .replies import send_error

__all__ = ["DISCOVERY_PREFIX", "Frontend"]

DISCOVERY_PREFIX = "/.well-known/dogwoodtack/"

Discover = Callable[[str, Callable[[Any], None]], None]


class Frontend(CallerFrontend[Exchange]):
    """Start an exchange for each request, and respond to discovery queries.

    Args:
        deps: shared components of the exchanges.
        address: where callers connect.
        discover: called with a query, the path after DISCOVERY_PREFIX, and a callback
            for the response; raises RequestError for an error.
        max_connections: most connections of callers at a time.
        head_timeout_s: seconds for which a connection may be idle, and in which a
            request's head must be complete once it has begun.

    Attributes:
        rejection_kind: the error sent to each new request, None to accept requests.
        ends_at: monotonic time at which a planned stop cuts what is left; infinite
            unless the host stops.
    """

    def __init__(
        self,
        deps: ExchangeDependencies,
        address: Address,
        discover: Discover,
        max_connections: int,
        head_timeout_s: float,
    ) -> None:
        self._deps = deps
        self._discover = discover
        self._head_timeout_s = head_timeout_s
        self.rejection_kind: ErrorKind | None = None
        self.ends_at = math.inf
        super().__init__(deps.reactor, address, max_connections)

    def _make_conn(self, sock: socket.socket, peer: Address) -> ServerConn:
        return ServerConn(self._reactor, sock, peer, self, self._head_timeout_s)

    def _send_error(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        send_error(conn, kind, detail)

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Start an exchange, or respond to a discovery query."""
        if head.target.startswith(DISCOVERY_PREFIX):
            self._handle_discovery(conn, head)
            return
        exchange = Exchange(self._deps, conn, head, self._exchanges.discard)
        self._add_exchange(conn, exchange)
        if self.rejection_kind is not None:
            exchange.reject(self.rejection_kind)
            return
        exchange.start()
        if not exchange.is_done and exchange.deadline > self.ends_at:
            exchange.reject(ErrorKind.DRAINING)

    def _handle_discovery(self, conn: ServerConn, head: RequestHead) -> None:
        self._conns[conn] = None
        query = head.target.removeprefix(DISCOVERY_PREFIX)
        try:
            self._discover(query, partial(self._send_discovery, conn))
        except RequestError as exc:
            send_error(conn, exc.kind, exc.detail)

    @staticmethod
    def _send_discovery(conn: ServerConn, response: Any) -> None:
        body = json.dumps(response).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"cache-control", b"no-store"),
        ]
        conn.send_head(200, headers)
        conn.send_body(body)
        conn.end_response()
