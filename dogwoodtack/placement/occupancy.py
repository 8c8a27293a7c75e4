"""Requests in flight on each instance, from this host, its peers and other zones."""

from collections import Counter, defaultdict

__all__ = ["Occupancy"]

# A peer without a report for this long, three missed heartbeats, holds no slots.
REPORT_TTL_S = 1.5


class Occupancy:
    """Sums of the requests in flight that this host and others report."""

    def __init__(self) -> None:
        self.own: Counter[str] = Counter()
        self._peer_counts: defaultdict[str, dict[str, int]] = defaultdict(dict)
        self._reported_at: dict[str, float] = {}
        self._other_zone_counts: dict[str, dict[str, int]] = {}

    def increment(self, instance_id: str, count: int = 1) -> None:
        """Count a request of this host that was assigned to an instance."""
        self.own[instance_id] += count

    def decrement(self, instance_id: str, count: int = 1) -> None:
        """Stop counting a request of this host that has ended."""
        self.own[instance_id] -= count
        if self.own[instance_id] <= 0:
            del self.own[instance_id]

    def set_peer_count(
        self, host: str, instance_id: str, count: int, now: float
    ) -> None:
        """Set a peer's count for one instance."""
        self._reported_at[host] = now
        self._peer_counts[host][instance_id] = count

    def set_peer_counts(self, host: str, counts: dict[str, int], now: float) -> None:
        """Replace a peer's counts for all instances that it uses."""
        self._reported_at[host] = now
        self._peer_counts[host] = dict(counts)

    def set_zone_counts(self, zone: str, counts: dict[str, int], now: float) -> None:
        """Replace another zone's counts for all instances that its hosts use."""
        self._reported_at[zone] = now
        self._other_zone_counts[zone] = counts

    def own_zone_counts(self) -> dict[str, int]:
        """Return the requests in flight of this zone's hosts, by instance."""
        counts = Counter(self.own)
        for peer in self._peer_counts.values():
            counts.update(peer)
        return {name: count for name, count in counts.items() if count > 0}

    def drop_stale(self, now: float) -> None:
        """Drop the counts of peers and zones without a recent report."""
        for host in [
            h for h, at in self._reported_at.items() if now - at > REPORT_TTL_S
        ]:
            del self._reported_at[host]
            self._peer_counts.pop(host, None)
            self._other_zone_counts.pop(host, None)

    def has_recent_report(self, zone: str) -> bool:
        """Return whether there is a recent report from another zone's hosts."""
        return zone in self._other_zone_counts

    @property
    def reporting_zones(self) -> set[str]:
        """Return the other zones of which there is a recent report."""
        return set(self._other_zone_counts)

    def own_zone_total_for(self, instance_id: str) -> int:
        """Return how many requests of this zone are in flight on an instance."""
        others = sum(
            counts.get(instance_id, 0) for counts in self._peer_counts.values()
        )
        return self.own.get(instance_id, 0) + others

    def total_for(self, instance_id: str) -> int:
        """Return how many requests are in flight on an instance."""
        zones = sum(
            counts.get(instance_id, 0) for counts in self._other_zone_counts.values()
        )
        return self.own_zone_total_for(instance_id) + zones
