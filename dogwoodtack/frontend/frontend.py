"""The callers' port: requests and discovery."""

import json
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
    """Start an exchange for each request, and answer discovery questions."""

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
        super().__init__(deps.reactor, address, max_connections)

    def _open(self, sock: socket.socket, peer: Address) -> ServerConn:
        return ServerConn(self._reactor, sock, peer, self, self._head_timeout_s)

    def _send_error(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        send_error(conn, kind, detail)

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Start an exchange, or answer a discovery question."""
        if head.target.startswith(DISCOVERY_PREFIX):
            self._answer_discovery(conn, head)
            return
        exchange = Exchange(self._deps, conn, head, self._live.discard)
        self._begin(conn, exchange)
        if self.rejection_kind is not None:
            exchange.refuse(self.rejection_kind)
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
