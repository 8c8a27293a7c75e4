"""Bytes of request bodies at each instance, from this host, its peers and other zones.

Load pattern: a burst of uploads.  An instance ends when the bodies of the requests that
it holds exceed its memory, which no host knows, and with it end all its requests.  So
bytes are a resource of an instance like its slots.
"""

from .instances import Instance
from .occupancy import Occupancy

__all__ = ["BodyLoad", "counted_kb"]

# 15 instances of 3 slots with bodies of 360 kB hold 1.1 MB each; the bound leaves room
# for those and keeps several of the longest bodies from meeting at one instance.
MAX_INSTANCE_KB = 4000
# Reports between zones are 250 ms old, in which a burst fills an instance.  So hosts of
# other zones together keep to this part, and those of its own zone to the rest; a
# zone that relied on the others' reports exceeded the bound by 2.9 MB in a replay.
OTHER_ZONES_KB = 1000
# Bodies of other requests are as short as their headers; their messages would cost more
# than they prevent.
MIN_COUNTED_BYTES = 16_000
BYTES_PER_KB = 1000


class BodyLoad:
    """Sums of the bodies that this host and others report, in kB by instance.

    Args:
        zone: this host's zone.

    Attributes:
        is_bounded: whether the configuration has uploads.  Others have been served
            without a bound.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._load = Occupancy()
        self.is_bounded = False

    @property
    def own(self) -> dict[str, int]:
        """Return the bodies of this host's requests, in kB by instance."""
        return dict(self._load.own)

    def add(self, instance_id: str, body_bytes: int) -> None:
        """Count the body of a request of this host that was assigned to an instance."""
        size_kb = counted_kb(body_bytes)
        if size_kb:
            self._load.increment(instance_id, size_kb)

    def remove(self, instance_id: str, body_bytes: int) -> None:
        """Stop counting the body of a request of this host that has ended."""
        size_kb = counted_kb(body_bytes)
        if size_kb:
            self._load.decrement(instance_id, size_kb)

    def bounds(self, body_bytes: int) -> bool:
        """Return whether a body needs room at its instance."""
        return self.is_bounded and counted_kb(body_bytes) > 0

    def has_room(
        self, instance: Instance, body_bytes: int, may_exceed_alone: bool = True
    ) -> bool:
        """Return whether a body may go to an instance.

        Args:
            instance: the instance.
            body_bytes: size of the body.
            may_exceed_alone: whether a body that exceeds this zone's part of the bound
                may go where no other is.
        """
        if not self.bounds(body_bytes):
            return True
        size_kb = counted_kb(body_bytes)
        known_kb = self._load.total_for(instance.id)
        if not known_kb and may_exceed_alone:
            return True
        zone_kb = self._load.own_zone_total_for(instance.id)
        return (
            known_kb + size_kb <= MAX_INSTANCE_KB
            and zone_kb + size_kb <= self._zone_part_kb(instance.zone)
        )

    def _zone_part_kb(self, instance_zone: str) -> int:
        """Return how many kB this zone's hosts may keep at an instance of a zone."""
        present = self._load.reporting_zones | {self._zone}
        elsewhere = present - {instance_zone}
        if not elsewhere:
            return MAX_INSTANCE_KB
        if instance_zone == self._zone:
            return MAX_INSTANCE_KB - OTHER_ZONES_KB
        has_own_hosts = instance_zone in present
        shared_kb = OTHER_ZONES_KB if has_own_hosts else MAX_INSTANCE_KB
        return shared_kb // len(elsewhere)

    def set_peer_kb(
        self, host: str, instance_id: str, size_kb: int, now: float
    ) -> None:
        """Set a peer's bodies at one instance; `now` is in seconds."""
        self._load.set_peer_count(host, instance_id, size_kb, now)

    def set_peer_loads(self, host: str, sizes_kb: dict[str, int], now: float) -> None:
        """Replace a peer's bodies at all instances that it uses."""
        self._load.set_peer_counts(host, sizes_kb, now)

    def set_zone_loads(self, zone: str, sizes_kb: dict[str, int], now: float) -> None:
        """Replace another zone's bodies at all instances that its hosts use."""
        self._load.set_zone_counts(zone, sizes_kb, now)

    def own_zone_loads(self) -> dict[str, int]:
        """Return the bodies of this zone's hosts, in kB by instance."""
        return self._load.own_zone_counts()

    def drop_stale(self, now: float) -> None:
        """Drop what peers and zones without a recent report have reported."""
        self._load.drop_stale(now)


def counted_kb(body_bytes: int) -> int:
    """Return how many kB a body counts for, rounded up; 0 for a small one."""
    if body_bytes < MIN_COUNTED_BYTES:
        return 0
    return -(-body_bytes // BYTES_PER_KB)
