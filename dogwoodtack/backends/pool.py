"""Idle connections to each address, and the opening of new ones."""

from collections import deque
from collections.abc import Callable

from ..errors import ErrorKind, WireError
from ..misc import Address
from ..reactor import Dial, Reactor
from .link import Link

__all__ = ["LinkPool"]

MAX_IDLE_PER_ADDRESS = 8
MAX_IDLE_S = 30.0
FRESH_IDLE_S = 1.0

OnLink = Callable[[Link | None, WireError | None], None]


class LinkPool:
    """Hand out connections, one request on each at a time."""

    def __init__(self, reactor: Reactor, dial_timeout_s: float) -> None:
        self._reactor = reactor
        self._dial_timeout_s = dial_timeout_s
        self._idle: dict[Address, deque[Link]] = {}

    def acquire(
        self,
        address: Address,
        on_link: OnLink,
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
        link = self._take_idle(address, FRESH_IDLE_S if fresh else max_idle_s)
        if link is not None:
            on_link(link, None)
            return
        self._dial(address, on_link)

    def _take_idle(self, address: Address, max_idle_s: float) -> Link | None:
        idle = self._idle.get(address)
        now = self._reactor.clock.monotonic()
        while idle:
            link = idle.pop()
            if now - link.idle_since <= max_idle_s and link.is_quiet:
                return link
            link.close()
        return None

    def _dial(self, address: Address, on_link: OnLink) -> None:
        def on_done(sock, exc):
            if exc is not None:
                error = WireError(ErrorKind.BACKEND_REFUSED, str(exc), bytes_sent=False)
                on_link(None, error)
                return
            on_link(Link(self._reactor, sock, address), None)

        Dial(self._reactor, address, self._dial_timeout_s, on_done)

    def release(self, link: Link) -> None:
        """Take a connection back once its answer is whole."""
        if not link.is_open:
            return
        idle = self._idle.setdefault(link.address, deque())
        idle.append(link)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().close()

    def forget(self, address: Address) -> None:
        """Close what is idle to an address, as it may be dead without a word."""
        for link in self._idle.pop(address, ()):
            link.close()

    def retain(self, addresses: set[Address]) -> None:
        """Close what is idle to any other address, such as a removed back end."""
        for address in [known for known in self._idle if known not in addresses]:
            for link in self._idle.pop(address):
                link.close()

    def close(self) -> None:
        """Close every idle connection."""
        self.retain(set())
