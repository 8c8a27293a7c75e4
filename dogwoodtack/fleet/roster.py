"""Which hosts of a zone are alive, which of them serve, and who reads the store."""

import functools
import hashlib
import math
from typing import NamedTuple

from .records import Beat, HostRecord

__all__ = ["Peer", "Roster"]

# Three beats missed, and a little for their way.
ALIVE_S = 1.3
# A reader asks the store at least this often; later words are not to be trusted.
FRESH_S = 1.3
# Few hosts carry a zone's requests, so that each sees enough of every instance.
SLOTS_PER_HOST = 12
MIN_SERVING = 3
STRENGTH_STEP = 0.25


class Peer(NamedTuple):
    """A host that was heard of, with its last beat and when that came."""

    beat: Beat
    heard_at: float

    def store_age_s(self, now: float) -> float:
        """Return how old the peer's last word from the store is."""
        return self.beat.store_age_s + (now - self.heard_at)


class Roster:
    """Keep the hosts of this host's zone by their beats."""

    def __init__(self, me: HostRecord) -> None:
        self.me = me
        self.is_ready = False
        self._known: dict[str, HostRecord] = {}
        self._peers: dict[str, Peer] = {}

    def on_record(self, record: HostRecord) -> None:
        """Take a host's record from the store; it counts once it is heard."""
        if record.name != self.me.name:
            self._known[record.name] = record

    def on_beat(self, beat: Beat, now: float) -> None:
        """Take a host's sign of life."""
        self.on_record(beat.host)
        if beat.host.zone == self.me.zone and beat.host.name != self.me.name:
            self._peers[beat.host.name] = Peer(beat, now)

    def known(self) -> list[HostRecord]:
        """Return every host that was ever heard of, but this one."""
        return list(self._known.values())

    def alive(self, now: float) -> list[Peer]:
        """Return the zone's other hosts that were heard lately."""
        return [peer for peer in self._peers.values() if now - peer.heard_at <= ALIVE_S]

    def serving(self, slots: int, now: float) -> list[HostRecord]:
        """Return the hosts that callers of the zone are sent to, best first.

        Args:
            slots: slots of the zone's instances.
            now: seconds on the monotonic clock.
        """
        ready = [peer.beat.host for peer in self.alive(now) if peer.beat.is_ready]
        if self.is_ready:
            ready.append(self.me)
        ready.sort(key=_rank)
        return ready[: max(MIN_SERVING, math.ceil(slots / SLOTS_PER_HOST))]

    def reader(self, now: float) -> Peer | None:
        """Return the peer whose word from the store this host relies on.

        None means that this host has to ask the store itself.
        """
        fresh = [peer for peer in self.alive(now) if peer.store_age_s(now) <= FRESH_S]
        ahead = [peer for peer in fresh if _rank(peer.beat.host) < _rank(self.me)]
        if not ahead:
            return None
        return min(ahead, key=lambda peer: _rank(peer.beat.host))

    def is_first(self, now: float) -> bool:
        """Return whether this host is the first of the zone's living hosts."""
        others = (_rank(peer.beat.host) for peer in self.alive(now))
        return all(_rank(self.me) < other for other in others)


@functools.lru_cache(maxsize=4096)
def _rank(host: HostRecord) -> tuple[float, str]:
    """Order hosts the same way everywhere: strong ones first, then by hash."""
    step = -round(min(host.strength, 1.0) / STRENGTH_STEP)
    return step, hashlib.sha256(host.name.encode()).hexdigest()
