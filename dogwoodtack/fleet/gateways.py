"""What zones tell each other: one small digest from a zone's first host.

Bytes between zones are dear, and bytes within one are not.  So only the first
serving host of a zone speaks to other zones, to one host there, and that host
passes the digest on to its own zone.
"""

from collections.abc import Iterable

from ..misc import Address
from .records import HostRecord

__all__ = ["ZoneGateways"]

# Two digests missed, and a little for their way.
HEARD_S = 0.9
# Hosts of a silent zone that are tried in turn with each digest.
TRIED_AT_ONCE = 2


class ZoneGateways:
    """Remember which host of each other zone speaks for it."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._speakers: dict[str, tuple[Address, float]] = {}
        self._turns: dict[str, int] = {}

    def on_digest(self, zone: str, speaker: Address, now: float) -> None:
        """Note that a host spoke for its zone."""
        self._speakers[zone] = (speaker, now)

    def addresses(self, known: Iterable[HostRecord], now: float) -> list[Address]:
        """Return where the next digest goes, one host or a few for each zone."""
        by_zone: dict[str, list[Address]] = {}
        for host in known:
            if host.zone != self._zone:
                by_zone.setdefault(host.zone, []).append(host.peer_address)
        found: list[Address] = []
        for zone, hosts in sorted(by_zone.items()):
            speaker = self._speakers.get(zone)
            if speaker is not None and now - speaker[1] <= HEARD_S:
                found.append(speaker[0])
            else:
                found.extend(self._next_of(zone, sorted(hosts)))
        return found

    def _next_of(self, zone: str, hosts: list[Address]) -> list[Address]:
        """Return the next hosts of a zone that nobody speaks for."""
        turn = self._turns.get(zone, 0)
        self._turns[zone] = turn + TRIED_AT_ONCE
        count = min(TRIED_AT_ONCE, len(hosts))
        return [hosts[(turn + step) % len(hosts)] for step in range(count)]
