"""How many requests are on each instance: this host's, its peers', other zones'."""

from collections import Counter, defaultdict

__all__ = ["Occupancy"]

# A peer that was not heard of for this long holds no slots: three missed beats.
PEER_STALE_S = 1.5


class Occupancy:
    """Add up the requests in flight that hosts of a zone tell each other of."""

    def __init__(self) -> None:
        self.own: Counter[str] = Counter()
        self._peers: defaultdict[str, dict[str, int]] = defaultdict(dict)
        self._heard: dict[str, float] = {}
        self._zones: dict[str, dict[str, int]] = {}

    def increment(self, instance_id: str) -> None:
        """Note that a request of this host went to an instance."""
        self.own[instance_id] += 1

    def decrement(self, instance_id: str) -> None:
        """Note that a request of this host has ended."""
        self.own[instance_id] -= 1
        if self.own[instance_id] <= 0:
            del self.own[instance_id]

    def set_peer_count(
        self, host: str, instance_id: str, count: int, now: float
    ) -> None:
        """Take a peer's word about one instance."""
        self._heard[host] = now
        self._peers[host][instance_id] = count

    def set_peer_counts(self, host: str, counts: dict[str, int], now: float) -> None:
        """Take a peer's word about all instances that it uses."""
        self._heard[host] = now
        self._peers[host] = dict(counts)

    def set_zone_counts(self, zone: str, counts: dict[str, int], now: float) -> None:
        """Take another zone's word about all instances that its hosts use."""
        self._heard[zone] = now
        self._zones[zone] = counts

    def zone_counts(self) -> dict[str, int]:
        """Return the requests of this zone's hosts at each instance."""
        counts = Counter(self.own)
        for peer in self._peers.values():
            counts.update(peer)
        return {name: count for name, count in counts.items() if count > 0}

    def drop_stale(self, now: float) -> None:
        """Drop the counts of peers that were not heard of for some time."""
        for host in [h for h, at in self._heard.items() if now - at > PEER_STALE_S]:
            del self._heard[host]
            self._peers.pop(host, None)
            self._zones.pop(host, None)

    def has_recent_report(self, zone: str) -> bool:
        """Return whether another zone's hosts were heard of lately."""
        return zone in self._zones

    def total_for(self, instance_id: str) -> int:
        """Return how many requests an instance has."""
        others = sum(counts.get(instance_id, 0) for counts in self._peers.values())
        zones = sum(counts.get(instance_id, 0) for counts in self._zones.values())
        return self.own.get(instance_id, 0) + others + zones
