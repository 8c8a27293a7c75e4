"""Which hosts of a zone are alive, which of them serve, and which read the store."""

import functools
import hashlib
import math
import random
from typing import NamedTuple

from ..misc import Address
from .reach import FleetReach
from .records import Heartbeat, HostRecord, ServingHost, ZoneHosts

__all__ = ["MAX_STORE_AGE_S", "Peer", "PeerTable"]

# A host is alive until it misses three heartbeats; the rest allows for network delay.
MISSED_HEARTBEATS = 3.2
# Serving hosts, the next few in rank and hosts that aren't ready send heartbeats at
# the short interval, all others at the long one.
HEARTBEAT_INTERVAL_S = 0.4
RESERVE_HEARTBEAT_INTERVAL_S = 2.0
RESERVE_HOSTS = 3
# The cached list of ready hosts is rebuilt at most this often unless readiness changes.
READY_LIST_TTL_S = 0.1
# Three missed lists of a zone's serving hosts, and a margin for network delay.
ZONE_SERVING_TTL_S = 3.3
# A host that reads the store hears from it at least this often; older store data is
# not trusted.
MAX_STORE_AGE_S = 1.3
# Few hosts carry a zone's requests, so that each observes every instance often enough.
# A host of capacity 1.0 handles the requests of this many slots with a third of its
# processor.
SLOTS_PER_CAPACITY = 60
MIN_SERVING_HOSTS = 3
# Callers choose hosts evenly, so a host much weaker than the first one is left out
# unless it is needed. Two hosts are kept, so that the zone survives the loss of one.
MIN_REDUNDANT_HOSTS = 2
WEAK_CAPACITY_RATIO = 1 / 3
CAPACITY_STEP = 0.25


class Peer(NamedTuple):
    """A host of the zone with its last heartbeat and when that was received."""

    heartbeat: Heartbeat
    seen_at: float

    def store_age_s(self, now: float) -> float:
        """Return the seconds since the store last responded to the peer."""
        return self.heartbeat.store_age_s + (now - self.seen_at)


class PeerTable:
    """Track the known hosts, and by heartbeats which of the local zone are alive.

    Attributes:
        local_host: this host.
        zones: the zones that have hosts.
        reach: which share of the fleet is heard.
    """

    def __init__(self, local_host: HostRecord) -> None:
        self.local_host = local_host
        self.reach = FleetReach(local_host.zone)
        self._is_ready = False
        self._reaches_instances = True
        self._known: dict[str, HostRecord] = {}
        self.zones = {local_host.zone}
        self._peers: dict[str, Peer] = {}
        self._ready_list: list[HostRecord] = []
        self._reaching_list: list[HostRecord] = []
        self._ready_list_at = -math.inf
        # Serving hosts of other zones, and when each zone reported them.
        self._zone_serving: dict[str, tuple[list[ServingHost], float]] = {}

    @property
    def is_ready(self) -> bool:
        """Return whether the local host accepts callers."""
        return self._is_ready

    @is_ready.setter
    def is_ready(self, value: bool) -> None:
        self._is_ready = value
        self._ready_list_at = -math.inf

    @property
    def reaches_instances(self) -> bool:
        """Return whether the local host has paths to the instances."""
        return self._reaches_instances

    @reaches_instances.setter
    def reaches_instances(self, value: bool) -> None:
        self._reaches_instances = value
        self._ready_list_at = -math.inf

    def add_record(self, record: HostRecord) -> None:
        """Add a host's record from the store.

        The host counts as alive only after its first heartbeat.
        """
        if record.name != self.local_host.name:
            self._known[record.name] = record
            self.zones.add(record.zone)
            self.reach.add_record(record.name, record.zone)

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat from a host.

        Args:
            heartbeat: the message; the host may belong to another zone.
            now: seconds on the monotonic clock.
        """
        self.add_record(heartbeat.host)
        if (
            heartbeat.host.zone == self.local_host.zone
            and heartbeat.host.name != self.local_host.name
        ):
            known = self._peers.get(heartbeat.host.name)
            if known is None or _standing(known.heartbeat) != _standing(heartbeat):
                self._ready_list_at = -math.inf
            self._peers[heartbeat.host.name] = Peer(heartbeat, now)
            self.reach.on_heartbeat(
                heartbeat.host.name, heartbeat.interval_s, heartbeat.is_ready, now
            )

    def known_hosts(self) -> list[HostRecord]:
        """Return the other hosts known so far, in all zones, alive or not."""
        return list(self._known.values())

    def live_peers(self, now: float) -> list[Peer]:
        """Return the zone's other hosts whose heartbeats are recent."""
        return [
            peer
            for peer in self._peers.values()
            if now - peer.seen_at <= MISSED_HEARTBEATS * peer.heartbeat.interval_s
        ]

    def serving_hosts(self, slots: int, now: float) -> list[HostRecord]:
        """Return the hosts that carry the zone's requests, by rank.

        There is none if no host of the zone reaches the instances.

        Args:
            slots: total slots of the zone's instances.
            now: seconds on the monotonic clock.
        """
        self._update_ready_lists(now)
        reaching = self._reaching_list
        return reaching[: _serving_count(reaching, slots)]

    def reporting_host(self, now: float) -> HostRecord | None:
        """Return the host that reports to other zones: the first one that serves.

        While no host of the zone reaches the instances it is the first ready one:
        the other zones still have to know what instances have crashed under.

        Args:
            now: seconds on the monotonic clock.
        """
        self._update_ready_lists(now)
        hosts = self._reaching_list or self._ready_list
        return hosts[0] if hosts else None

    def directory_hosts(
        self, slots: int, now: float
    ) -> list[HostRecord] | list[ServingHost]:
        """Return the hosts that the zone's callers are directed to.

        These are the serving hosts.  If there is none, they are those of the other
        zones, and if these are unknown, ready hosts of the zone.

        Args:
            slots: total slots of the zone's instances.
            now: seconds on the monotonic clock.
        """
        hosts = self.serving_hosts(slots, now) or self.serving_elsewhere(now)
        return hosts or self._ready_list[: _serving_count(self._ready_list, slots)]

    def on_zone_hosts(self, zone: str, hosts: ZoneHosts, now: float) -> None:
        """Record what another zone reports of hosts."""
        self._zone_serving[zone] = (hosts.serving, now)
        self.zones.update(hosts.zones)

    def serving_elsewhere(self, now: float) -> list[ServingHost]:
        """Return the serving hosts of the other zones."""
        return [
            host
            for hosts, at in self._zone_serving.values()
            if now - at <= ZONE_SERVING_TTL_S
            for host in hosts
        ]

    def heartbeat_interval_s(self, slots: int, now: float) -> float:
        """Return the seconds between heartbeats of the local host.

        Args:
            slots: total slots of the zone's instances.
            now: seconds on the monotonic clock.
        """
        self._update_ready_lists(now)
        reaching = self._reaching_list
        front = reaching[: _serving_count(reaching, slots) + RESERVE_HOSTS]
        is_disturbed = not (self.is_ready and self.reaches_instances)
        return (
            HEARTBEAT_INTERVAL_S
            if self.local_host in front or is_disturbed
            else RESERVE_HEARTBEAT_INTERVAL_S
        )

    def _update_ready_lists(self, now: float) -> None:
        """List the zone's live hosts that accept callers, by rank.

        Those that also reach the instances have a list of their own.
        """
        if now - self._ready_list_at <= READY_LIST_TTL_S:
            return
        ready = {
            peer.heartbeat.host: peer.heartbeat.reaches_instances
            for peer in self.live_peers(now)
            if peer.heartbeat.is_ready
        }
        if self.is_ready:
            ready[self.local_host] = self.reaches_instances
        self._ready_list = sorted(ready, key=_rank)
        self._reaching_list = [host for host in self._ready_list if ready[host]]
        self._ready_list_at = now

    def store_reader(self, now: float) -> Peer | None:
        """Return the peer that reads the store on behalf of the local host.

        None means that the local host has to read the store itself.
        """
        fresh = [
            peer
            for peer in self.live_peers(now)
            if peer.store_age_s(now) <= MAX_STORE_AGE_S
        ]
        ahead = [
            peer
            for peer in fresh
            if _rank(peer.heartbeat.host) < _rank(self.local_host)
        ]
        if not ahead:
            return None
        return min(ahead, key=lambda peer: _rank(peer.heartbeat.host))

    def confirming_addresses(self, now: float, rng: random.Random) -> list[Address]:
        """Return relay addresses of a few hosts that may reach the store.

        The first is that of the zone's reader if another host is that.  One is in
        another zone, and the last choice: its answer costs bytes between zones.

        Args:
            now: seconds on the monotonic clock.
            rng: chooses the host of the other zone.
        """
        zone = self.local_host.zone
        live = self.live_peers(now)
        fresh = [peer for peer in live if peer.store_age_s(now) <= MAX_STORE_AGE_S]
        nearby = sorted((peer.heartbeat.host for peer in fresh or live), key=_rank)
        elsewhere = [host for host in self._known.values() if host.zone != zone]
        hosts = nearby[:1]
        if elsewhere:
            hosts.append(rng.choice(elsewhere))
        return [host.relay_address for host in hosts]

    def rank_among_known(self) -> int:
        """Return how many of the zone's known hosts rank higher, alive or not."""
        zone = self.local_host.zone
        known = [host for host in self._known.values() if host.zone == zone]
        return sum(1 for host in known if _rank(host) < _rank(self.local_host))

    def is_highest_ranked(self, now: float) -> bool:
        """Return whether the local host ranks first among the zone's live hosts."""
        others = (_rank(peer.heartbeat.host) for peer in self.live_peers(now))
        return all(_rank(self.local_host) < other for other in others)


def _standing(heartbeat: Heartbeat) -> tuple[bool, bool]:
    """Return what decides whether a live host may serve."""
    return heartbeat.is_ready, heartbeat.reaches_instances


def _serving_count(ready: list[HostRecord], slots: int) -> int:
    """Return how many of the ready hosts, by rank, carry the zone's requests."""
    served_slots = 0.0
    for count, host in enumerate(ready):
        is_enough = served_slots >= slots and count >= MIN_REDUNDANT_HOSTS
        is_weak = host.capacity < WEAK_CAPACITY_RATIO * ready[0].capacity
        if is_enough and (count >= MIN_SERVING_HOSTS or is_weak):
            return count
        served_slots += SLOTS_PER_CAPACITY * host.capacity
    return len(ready)


@functools.lru_cache(maxsize=4096)
def _rank(host: HostRecord) -> tuple[float, str]:
    """Return a sort key that is the same on every host: by capacity, then by hash."""
    step = -round(min(host.capacity, 1.0) / CAPACITY_STEP)
    return step, hashlib.sha256(host.name.encode()).hexdigest()
