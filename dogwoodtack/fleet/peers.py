"""Which hosts of a zone are alive, which of them serve, and who reads the store."""

import functools
import hashlib
import math
from typing import NamedTuple

from .records import Heartbeat, HostRecord

__all__ = ["Peer", "PeerTable"]

# A host is alive until it has missed three beats, and a little for their way.
MISSED_BEATS = 3.2
# Hosts that serve, and the next few, beat often; all others seldom.
BEAT_S = 0.4
RESERVE_BEAT_S = 2.0
RESERVES = 3
# The list of serving hosts is made anew at most this often.
LIST_AGE_S = 0.1
# A reader asks the store at least this often; later words are not to be trusted.
FRESH_S = 1.3
# Few hosts carry a zone's requests, so that each sees enough of every instance: one of
# strength 1.0 handles the requests of this many slots with a third of its processor.
SLOTS_PER_STRENGTH = 60
MIN_SERVING = 3
# Callers choose evenly, so a host much weaker than the first is left out where it is
# not needed; two hosts are kept, so that the loss of one is borne.
FEWEST_SERVING = 2
WEAK_SHARE = 1 / 3
STRENGTH_STEP = 0.25


class Peer(NamedTuple):
    """A host that was heard of, with its last beat and when that came."""

    beat: Heartbeat
    heard_at: float

    def store_age_s(self, now: float) -> float:
        """Return how old the peer's last word from the store is."""
        return self.beat.store_age_s + (now - self.heard_at)


class PeerTable:
    """Keep the hosts of this host's zone by their beats."""

    def __init__(self, local_host: HostRecord) -> None:
        self.local_host = local_host
        self._is_ready = False
        self._known: dict[str, HostRecord] = {}
        self._peers: dict[str, Peer] = {}
        self._list: list[HostRecord] = []
        self._listed_at = -math.inf

    @property
    def is_ready(self) -> bool:
        """Return whether this host takes callers."""
        return self._is_ready

    @is_ready.setter
    def is_ready(self, value: bool) -> None:
        self._is_ready = value
        self._listed_at = -math.inf

    def add_record(self, record: HostRecord) -> None:
        """Take a host's record from the store; it counts once it is heard."""
        if record.name != self.local_host.name:
            self._known[record.name] = record

    def on_heartbeat(self, beat: Heartbeat, now: float) -> None:
        """Take a host's sign of life."""
        self.add_record(beat.host)
        if (
            beat.host.zone == self.local_host.zone
            and beat.host.name != self.local_host.name
        ):
            known = self._peers.get(beat.host.name)
            if known is None or known.beat.is_ready != beat.is_ready:
                self._listed_at = -math.inf
            self._peers[beat.host.name] = Peer(beat, now)

    def known_hosts(self) -> list[HostRecord]:
        """Return every host that was ever heard of, but this one."""
        return list(self._known.values())

    def live_peers(self, now: float) -> list[Peer]:
        """Return the zone's other hosts that were heard lately."""
        return [
            peer
            for peer in self._peers.values()
            if now - peer.heard_at <= MISSED_BEATS * peer.beat.interval_s
        ]

    def serving_hosts(self, slots: int, now: float) -> list[HostRecord]:
        """Return the hosts that callers of the zone are sent to, best first.

        Args:
            slots: slots of the zone's instances.
            now: seconds on the monotonic clock.
        """
        ready = self._ready(now)
        return ready[: _serving_count(ready, slots)]

    def heartbeat_interval_s(self, slots: int, now: float) -> float:
        """Return how often this host has to give a sign of life, in seconds."""
        ready = self._ready(now)
        front = ready[: _serving_count(ready, slots) + RESERVES]
        return (
            BEAT_S if self.local_host in front or not self.is_ready else RESERVE_BEAT_S
        )

    def _ready(self, now: float) -> list[HostRecord]:
        """Return the zone's hosts that take callers, best first."""
        if now - self._listed_at > LIST_AGE_S:
            ready = [
                peer.beat.host for peer in self.live_peers(now) if peer.beat.is_ready
            ]
            if self.is_ready:
                ready.append(self.local_host)
            self._list = sorted(ready, key=_rank)
            self._listed_at = now
        return self._list

    def store_reader(self, now: float) -> Peer | None:
        """Return the peer whose word from the store this host relies on.

        None means that this host has to ask the store itself.
        """
        fresh = [
            peer for peer in self.live_peers(now) if peer.store_age_s(now) <= FRESH_S
        ]
        ahead = [
            peer for peer in fresh if _rank(peer.beat.host) < _rank(self.local_host)
        ]
        if not ahead:
            return None
        return min(ahead, key=lambda peer: _rank(peer.beat.host))

    def rank_among_known(self) -> int:
        """Return how many of the zone's hosts come before this one, alive or not."""
        zone = self.local_host.zone
        known = [host for host in self._known.values() if host.zone == zone]
        return sum(1 for host in known if _rank(host) < _rank(self.local_host))

    def is_highest_ranked(self, now: float) -> bool:
        """Return whether this host is the first of the zone's living hosts."""
        others = (_rank(peer.beat.host) for peer in self.live_peers(now))
        return all(_rank(self.local_host) < other for other in others)


def _serving_count(ready: list[HostRecord], slots: int) -> int:
    """Return how many of the hosts, best first, carry the zone's requests."""
    capacity = 0.0
    for count, host in enumerate(ready):
        is_enough = capacity >= slots and count >= FEWEST_SERVING
        is_weak = host.capacity < WEAK_SHARE * ready[0].capacity
        if is_enough and (count >= MIN_SERVING or is_weak):
            return count
        capacity += SLOTS_PER_STRENGTH * host.capacity
    return len(ready)


@functools.lru_cache(maxsize=4096)
def _rank(host: HostRecord) -> tuple[float, str]:
    """Order hosts the same way everywhere: strong ones first, then by hash."""
    step = -round(min(host.capacity, 1.0) / STRENGTH_STEP)
    return step, hashlib.sha256(host.name.encode()).hexdigest()
