"""Key prefixes of other entry hosts, asked for and kept for a moment.

A key should be owned by a host that the caller will use.  A host that is not in
a service's home set therefore hands out a home host's prefix instead of its own.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..calls import Reply
from ..errors import WireError
from ..membership import Member
from ..peers import Peers
from ..reactor import Reactor
from ..surface import Route, SurfaceRequest

__all__ = ["PREFIX_PATH", "KeyPrefixCache"]

PREFIX_PATH = "/keys/prefix"
MAX_KEPT_S = 150.0
ASK_TIMEOUT_S = 0.5
HTTP_OK = 200

OnPrefix = Callable[[str | None], None]


class _Kept(NamedTuple):
    """A prefix and when it was asked for."""

    prefix: str
    asked_at: float


class KeyPrefixCache:
    """Give the key prefix of any entry host.

    Args:
        reactor: gives the time.
        peers: carries the questions.
        own_prefix: returns this host's prefix.
        window_s: seconds in which a host takes new keys under one prefix; a
            prefix is kept for a quarter of that, so that the keys made from it
            have the rest.
    """

    def __init__(
        self,
        reactor: Reactor,
        peers: Peers,
        own_prefix: Callable[[], str],
        window_s: float,
    ) -> None:
        self._reactor = reactor
        self._peers = peers
        self._own_prefix = own_prefix
        self._kept_s = min(MAX_KEPT_S, window_s / 4)
        self._kept: dict[str, _Kept] = {}

    def own(self) -> str:
        """Return this host's own prefix."""
        return self._own_prefix()

    def get(self, member: Member, on_prefix: OnPrefix) -> None:
        """Give a member's prefix to a callback, None where it did not answer."""
        now = self._reactor.clock.boottime()
        self._forget(now)
        kept = self._kept.get(member.incarnation)
        if kept is not None:
            on_prefix(kept.prefix)
            return

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            prefix = _prefix_in(reply, member)
            if prefix is not None:
                self._kept[member.incarnation] = _Kept(prefix, now)
            on_prefix(prefix)

        address = member.peer_address
        self._peers.call(address, PREFIX_PATH, {}, on_reply, ASK_TIMEOUT_S)

    def _forget(self, now: float) -> None:
        stale = [
            incarnation
            for incarnation, kept in self._kept.items()
            if now - kept.asked_at > self._kept_s
        ]
        for incarnation in stale:
            del self._kept[incarnation]

    def routes(self) -> list[Route]:
        """Return what the peer port answers for this slice."""
        return [Route("POST", PREFIX_PATH, self._view_prefix)]

    def _view_prefix(self, req: SurfaceRequest) -> Any:
        return {"prefix": self.own()}


def _prefix_in(reply: Reply | None, member: Member) -> str | None:
    """Return the prefix of a reply, unless another incarnation answered."""
    if reply is None or reply.status != HTTP_OK:
        return None
    prefix = str(reply.body["prefix"])
    return prefix if prefix.startswith(member.incarnation) else None
