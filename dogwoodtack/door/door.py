"""The callers' port: connections, requests and discovery."""

import json
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

from ..errors import ErrorKind, RequestError
from ..misc import Address
from ..reactor import Listener
from .conn import RequestHead, ServerConn
from .exchange import Exchange, Parts
from .replies import send_error
from .turnaway import TurnAway

__all__ = ["DISCOVERY_PREFIX", "Door"]

MAX_TURNED_AWAY = 256
DISCOVERY_PREFIX = "/.well-known/dogwoodtack/"

Discover = Callable[[str, Callable[[Any], None]], None]


class Door:
    """Accept callers and start an exchange for each request."""

    def __init__(
        self,
        parts: Parts,
        address: Address,
        discover: Discover,
        max_connections: int,
        head_timeout_s: float,
    ) -> None:
        self._parts = parts
        self._discover = discover
        self._max_connections = max_connections
        self._head_timeout_s = head_timeout_s
        self._conns: dict[ServerConn, Exchange | None] = {}
        self._live: set[Exchange] = set()
        self._turned_away: set[TurnAway] = set()
        self._is_leaving = False
        self.refusal: ErrorKind | None = None
        self._listener = Listener(parts.reactor, address, self._on_accept)
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

    def _on_accept(self, sock: socket.socket, peer: Address) -> None:
        if len(self._conns) >= self._max_connections:
            self._turn_away(sock)
            return
        conn = ServerConn(self._parts.reactor, sock, peer, self, self._head_timeout_s)
        self._conns[conn] = None
        if self._is_leaving:
            conn.close_after_answer()

    def _turn_away(self, sock: socket.socket) -> None:
        if len(self._turned_away) >= MAX_TURNED_AWAY:
            sock.close()
            return
        caller = TurnAway(self._parts.reactor, sock, self._turned_away.discard)
        if caller.is_open:
            self._turned_away.add(caller)

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Start an exchange, or answer a discovery question."""
        if head.target.startswith(DISCOVERY_PREFIX):
            self._answer_discovery(conn, head)
            return
        exchange = Exchange(self._parts, conn, head, self._live.discard)
        self._conns[conn] = exchange
        self._live.add(exchange)
        if self.refusal is not None:
            exchange.refuse(self.refusal)
            return
        exchange.start()

    def _answer_discovery(self, conn: ServerConn, head: RequestHead) -> None:
        self._conns[conn] = None
        question = head.target.removeprefix(DISCOVERY_PREFIX)
        try:
            self._discover(question, partial(self._send_discovery, conn))
        except RequestError as exc:
            send_error(conn, exc.kind, exc.detail)

    @staticmethod
    def _send_discovery(conn: ServerConn, answer: Any) -> None:
        body = json.dumps(answer).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"cache-control", b"no-store"),
        ]
        conn.send_head(200, headers)
        conn.send_body(body)
        conn.end_answer()

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

    def on_request_fault(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        """Refuse a malformed request."""
        exchange = self._conns.get(conn)
        if exchange is not None and not exchange.is_done:
            exchange.on_fault(kind, detail)
            return
        send_error(conn, kind, detail)

    def on_conn_drained(self, conn: ServerConn) -> None:
        """Tell the exchange that its caller takes bytes again."""
        exchange = self._conns.get(conn)
        if exchange is not None:
            exchange.on_conn_drained()

    def on_conn_gone(self, conn: ServerConn) -> None:
        """Tell the exchange that its caller went away."""
        exchange = self._conns.pop(conn, None)
        if exchange is not None:
            exchange.on_caller_gone()
