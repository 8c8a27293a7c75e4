"""Which hosts of other zones receive this zone's reports.

Traffic between zones is expensive and traffic within a zone is cheap.  So only the
first serving host of a zone, its gateway, sends reports to other zones, to one host
each, and that host forwards them within its own zone.  While no host of a zone reaches
the instances, its first ready one is the gateway.
"""

from collections.abc import Iterable

from ..misc import Address
from .records import HostRecord

__all__ = ["ZoneGateways"]

# Two missed reports and a margin for network delay.
GATEWAY_TIMEOUT_S = 0.9
# Hosts of a zone without a known gateway that receive each report, in rotation.
HOSTS_PER_ATTEMPT = 2


class ZoneGateways:
    """Track the gateway host of each other zone."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._gateways: dict[str, tuple[Address, float]] = {}
        self._next_index: dict[str, int] = {}

    def on_report(self, zone: str, gateway: Address, now: float) -> None:
        """Record which host reported for a zone."""
        self._gateways[zone] = (gateway, now)

    def addresses(self, known_hosts: Iterable[HostRecord], now: float) -> list[Address]:
        """Return where the next report goes: one host or a few of each other zone.

        Args:
            known_hosts: the known hosts of all zones.
            now: seconds on the monotonic clock.
        """
        by_zone: dict[str, list[Address]] = {}
        for host in known_hosts:
            if host.zone != self._zone:
                by_zone.setdefault(host.zone, []).append(host.peer_address)
        # A zone without instances is known only by its reports.
        recent = {
            zone: address
            for zone, (address, seen_at) in self._gateways.items()
            if now - seen_at <= GATEWAY_TIMEOUT_S
        }
        found: list[Address] = []
        for zone in sorted(by_zone.keys() | recent.keys()):
            if zone in recent:
                found.append(recent[zone])
            else:
                found.extend(self._next_hosts(zone, sorted(by_zone[zone])))
        return found

    def _next_hosts(self, zone: str, hosts: list[Address]) -> list[Address]:
        """Return the next hosts to try in a zone without a known gateway."""
        index = self._next_index.get(zone, 0)
        self._next_index[zone] = index + HOSTS_PER_ATTEMPT
        count = min(HOSTS_PER_ATTEMPT, len(hosts))
        return [hosts[(index + step) % len(hosts)] for step in range(count)]
