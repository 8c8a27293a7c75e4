"""A cache for the key prefixes of other entry hosts.

A key should be owned by a host that the caller will use. A host that is not assigned
to a service therefore hands out the prefix of an assigned host instead of its own.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..calls import Reply
from ..control import ControlRequest, Route
from ..errors import WireError
from ..membership import Member
from ..peers import PeerClient
from ..reactor import Reactor

__all__ = ["PREFIX_PATH", "KeyPrefixCache"]

PREFIX_PATH = "/keys/prefix"
MAX_CACHE_TIME_S = 150.0
CALL_TIMEOUT_S = 0.5
HTTP_OK = 200

OnPrefix = Callable[[str | None], None]


class _CachedPrefix(NamedTuple):
    """A prefix, and when it was requested in seconds of the boottime clock."""

    prefix: str
    requested_at: float


class KeyPrefixCache:
    """Provide the key prefix of any entry host.

    Args:
        reactor: provides the clock.
        peers: calls other hosts.
        own_prefix: returns this host's prefix.
        window_s: seconds for which a host accepts new keys with one prefix. A prefix is
            cached for at most a quarter of that, so that keys made from it have the
            rest.
    """

    def __init__(
        self,
        reactor: Reactor,
        peers: PeerClient,
        own_prefix: Callable[[], str],
        window_s: float,
    ) -> None:
        self._reactor = reactor
        self._peers = peers
        self._own_prefix = own_prefix
        self._cache_time_s = min(MAX_CACHE_TIME_S, window_s / 4)
        self._cached: dict[str, _CachedPrefix] = {}

    def local_prefix(self) -> str:
        """Return this host's prefix."""
        return self._own_prefix()

    def get(self, member: Member, on_prefix: OnPrefix) -> None:
        """Pass a member's prefix to a callback, None if the member did not reply."""
        now = self._reactor.clock.boottime()
        self._evict_expired(now)
        cached = self._cached.get(member.incarnation)
        if cached is not None:
            on_prefix(cached.prefix)
            return

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            prefix = _parse_prefix(reply, member)
            if prefix is not None:
                self._cached[member.incarnation] = _CachedPrefix(prefix, now)
            on_prefix(prefix)

        address = member.peer_address
        self._peers.call(address, PREFIX_PATH, {}, on_reply, CALL_TIMEOUT_S)

    def _evict_expired(self, now: float) -> None:
        expired = [
            incarnation
            for incarnation, cached in self._cached.items()
            if now - cached.requested_at > self._cache_time_s
        ]
        for incarnation in expired:
            del self._cached[incarnation]

    def routes(self) -> list[Route]:
        """Return the routes on the peer port."""
        return [Route("POST", PREFIX_PATH, self._view_prefix)]

    def _view_prefix(self, req: ControlRequest) -> Any:
        return {"prefix": self.local_prefix()}


def _parse_prefix(reply: Reply | None, member: Member) -> str | None:
    """Return the prefix in a reply, None if another incarnation replied."""
    if reply is None or reply.status != HTTP_OK:
        return None
    prefix = str(reply.body["prefix"])
    return prefix if prefix.startswith(member.incarnation) else None
