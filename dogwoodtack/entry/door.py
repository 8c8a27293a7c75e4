"""The callers' port of an entry host."""

import socket
from collections.abc import Callable

from ..door import CallerDoor, RequestHead, ServerConn
from ..errors import ErrorKind
from ..misc import Address
from ..routing import CallerLimits
from .exchange import Exchange, Parts
from .replies import send_own

__all__ = ["EntryDoor"]


class EntryDoor(CallerDoor[Exchange]):
    """Start an exchange for each request, within the configuration's limits."""

    def __init__(
        self,
        parts: Parts,
        address: Address,
        limits: Callable[[], CallerLimits],
        max_connections: int,
    ) -> None:
        self._parts = parts
        self._limits = limits
        super().__init__(parts.reactor, address, max_connections)

    def _open(self, sock: socket.socket, peer: Address) -> ServerConn:
        limits = self._limits()
        return ServerConn(
            self._reactor,
            sock,
            peer,
            self,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )

    def _send_fault(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        send_own(conn, kind, None)

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Start an exchange; it waits for the whole body."""
        max_bytes = self._limits().max_body_bytes
        exchange = Exchange(self._parts, conn, head, max_bytes, self._live.discard)
        self._begin(conn, exchange)
