"""The callers' port of an entry host."""

import socket
from collections.abc import Callable

from ..errors import ErrorKind
from ..frontend import CallerFrontend, RequestHead, ServerConn
from ..misc import Address
from ..routing import CallerLimits
from .exchange import Exchange, ExchangeDependencies
from .replies import send_error

__all__ = ["EntryFrontend"]


class EntryFrontend(CallerFrontend[Exchange]):
    """Start an exchange for each request, within the configuration's limits.

    Args:
        deps: shared components of the exchanges.
        address: where callers connect.
        limits: returns the limits in force.
        max_connections: most connections of callers at a time.
        max_rejections: most connections beyond these that are being rejected.
        is_handover: whether the callers are other entry hosts, which hand over
            requests that they can't serve.
    """

    def __init__(
        self,
        deps: ExchangeDependencies,
        address: Address,
        limits: Callable[[], CallerLimits],
        max_connections: int,
        max_rejections: int,
        is_handover: bool = False,
    ) -> None:
        self._deps = deps
        self._is_handover = is_handover
        self._caller_limits = limits
        super().__init__(deps.reactor, address, max_connections, max_rejections)

    def _make_conn(self, sock: socket.socket, peer: Address) -> ServerConn:
        limits = self._caller_limits()
        return ServerConn(
            self._reactor,
            sock,
            peer,
            self,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )

    def _send_error(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        send_error(conn, kind)

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Start an exchange, which waits for the complete body."""
        max_bytes = self._caller_limits().max_body_bytes
        exchange = Exchange(
            self._deps,
            conn,
            head,
            max_bytes,
            self._exchanges.discard,
            self._is_handover,
        )
        self._add_exchange(conn, exchange)
        exchange.on_head()

    def on_stop_progress(self) -> None:
        """Reject the requests that are not sent yet and can't be finished any more."""
        for exchange in list(self._exchanges):
            exchange.on_stop_progress()

    def on_grace_over(self) -> None:
        """Respond to the requests that are left, as the host ends."""
        for exchange in list(self._exchanges):
            exchange.on_grace_over()
