"""Idle connections to each address, and the opening of new ones."""

from collections import deque
from collections.abc import Callable

from ..errors import ErrorKind, WireError
from ..misc import Address
from ..reactor import Dial, Reactor
from .connection import BackendConnection

__all__ = ["ConnectionPool"]

MAX_IDLE_PER_ADDRESS = 8
MAX_IDLE_S = 30.0
RECENT_IDLE_S = 1.0

OnConnection = Callable[[BackendConnection | None, WireError | None], None]


class ConnectionPool:
    """Hand out connections, one request on each at a time."""

    def __init__(self, reactor: Reactor, dial_timeout_s: float) -> None:
        self._reactor = reactor
        self._dial_timeout_s = dial_timeout_s
        self._idle: dict[Address, deque[BackendConnection]] = {}

    def acquire(
        self,
        address: Address,
        on_connection: OnConnection,
        fresh: bool = False,
        max_idle_s: float = MAX_IDLE_S,
    ) -> None:
        """Give a connection to `on_link(link, exc)`.

        Args:
            address: where to connect.
            on_link: gets a Link, or a WireError that tells nothing was sent.
            fresh: whether a connection that was idle for long is passed over,
                because the other side may be closing it at this moment.
            max_idle_s: seconds after which an idle connection is passed over.
        """
        conn = self._pop_idle(address, RECENT_IDLE_S if fresh else max_idle_s)
        if conn is not None:
            on_connection(conn, None)
            return
        self._dial(address, on_connection)

    def _pop_idle(
        self, address: Address, max_idle_s: float
    ) -> BackendConnection | None:
        idle = self._idle.get(address)
        now = self._reactor.clock.monotonic()
        while idle:
            conn = idle.pop()
            if now - conn.idle_since <= max_idle_s and conn.is_quiet:
                return conn
            conn.close()
        return None

    def _dial(self, address: Address, on_connection: OnConnection) -> None:
        def on_done(sock, exc):
            if exc is not None:
                error = WireError(ErrorKind.BACKEND_REFUSED, str(exc), bytes_sent=False)
                on_connection(None, error)
                return
            on_connection(BackendConnection(self._reactor, sock, address), None)

        Dial(self._reactor, address, self._dial_timeout_s, on_done)

    def release(self, conn: BackendConnection) -> None:
        """Take a connection back once its answer is whole."""
        if not conn.is_open:
            return
        idle = self._idle.setdefault(conn.address, deque())
        idle.append(conn)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().close()

    def close_idle(self, address: Address) -> None:
        """Close what is idle to an address, as it may be dead without a word."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def retain(self, addresses: set[Address]) -> None:
        """Close what is idle to any other address, such as a removed back end."""
        for address in [known for known in self._idle if known not in addresses]:
            for conn in self._idle.pop(address):
                conn.close()

    def close(self) -> None:
        """Close every idle connection."""
        self.retain(set())
