"""A pool of idle connections by address, which opens new ones when needed."""

from collections import deque
from collections.abc import Callable

from ..errors import ErrorKind, WireError
from ..logs import LimitedLog
from ..misc import Address
from ..reactor import ConnectAttempt, Reactor, is_local_error
from .connection import BackendConnection

__all__ = ["NO_REUSE", "ConnectionPool"]

MAX_IDLE_PER_ADDRESS = 8
MAX_IDLE_S = 30.0
RECENT_IDLE_S = 1.0
# As the longest idle time: no connection is reused.
NO_REUSE = -1.0

OnConnection = Callable[[BackendConnection | None, WireError | None], None]


class ConnectionPool:
    """Hand out connections for one request at a time each.

    Args:
        reactor: event loop and clock.
        dial_timeout_s: seconds until connecting fails.
    """

    def __init__(self, reactor: Reactor, dial_timeout_s: float) -> None:
        self._reactor = reactor
        self._dial_timeout_s = dial_timeout_s
        self._idle: dict[Address, deque[BackendConnection]] = {}
        self._limited_log = LimitedLog(reactor.clock.monotonic)

    def acquire(
        self,
        address: Address,
        on_connection: OnConnection,
        fresh: bool = False,
        max_idle_s: float = MAX_IDLE_S,
        only_naming: bool = False,
        request_id: bytes = b"",
    ) -> None:
        """Pass an idle or a new connection to `on_connection(conn, exc)`.

        Args:
            address: where to connect.
            on_connection: called with a connection, or with a WireError that states
                that nothing was sent.
            fresh: whether to reuse only a connection that was idle for at most
                RECENT_IDLE_S, because the other side may be closing an older one at
                this moment; `max_idle_s` is then ignored.
            max_idle_s: longest idle time of a connection to reuse, in seconds; NO_REUSE
                for a new connection.
            only_naming: whether to reuse only a connection whose last response named
                its request, so that the next one is known by that, too.
            request_id: id of the request to send; a connection that has carried it is
                left to other requests.
        """
        conn = None
        if fresh or max_idle_s != NO_REUSE:
            max_idle_s = RECENT_IDLE_S if fresh else max_idle_s
            conn = self._pop_idle(address, max_idle_s, only_naming, request_id)
        if conn is not None:
            on_connection(conn, None)
            return
        self._dial(address, on_connection)

    def _pop_idle(
        self,
        address: Address,
        max_idle_s: float,
        only_naming: bool = False,
        request_id: bytes = b"",
    ) -> BackendConnection | None:
        idle = self._idle.get(address, deque())
        now = self._reactor.clock.monotonic()
        for conn in reversed(list(idle)):
            if only_naming and not conn.names_requests:
                continue
            if request_id and conn.has_carried(request_id):
                continue
            idle.remove(conn)
            if now - conn.idle_since <= max_idle_s and conn.is_quiet:
                return conn
            conn.close()
        return None

    def _dial(self, address: Address, on_connection: OnConnection) -> None:
        def on_done(sock, exc):
            if exc is not None:
                if is_local_error(exc):
                    self._limited_log.warn("connect-failed", error=exc)
                    kind = ErrorKind.HOST_EXHAUSTED
                else:
                    kind = ErrorKind.BACKEND_REFUSED
                on_connection(None, WireError(kind, str(exc), bytes_sent=False))
                return
            on_connection(BackendConnection(self._reactor, sock, address), None)

        ConnectAttempt(self._reactor, address, self._dial_timeout_s, on_done)

    def release(self, conn: BackendConnection) -> None:
        """Return a connection to the pool once its response is complete."""
        if not conn.is_open:
            return
        idle = self._idle.setdefault(conn.address, deque())
        idle.append(conn)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().close()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address, as they may be silently dead."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def retain(self, addresses: set[Address]) -> None:
        """Close the idle connections to other addresses, such as removed back ends."""
        for address in [known for known in self._idle if known not in addresses]:
            for conn in self._idle.pop(address):
                conn.close()

    def close(self) -> None:
        """Close every idle connection."""
        self.retain(set())
