"""What entry hosts tell each other, and its form on the wire."""

import json
from typing import Any, NamedTuple

from ..logs import log_event
from ..misc import Address, parse_address
from ..placement import Sign

__all__ = [
    "Beat",
    "HostRecord",
    "News",
    "Sighting",
    "read_host",
    "read_message",
    "write_host",
    "write_message",
]


class HostRecord(NamedTuple):
    """One entry host.

    Attributes:
        name: the host's name.
        zone: its availability zone.
        callers: where callers connect.
        peers: where it takes datagrams from other hosts.
        relay: where other hosts read what it knows.
        strength: how much work it can carry, 1.0 for a whole core and a fast link.
    """

    name: str
    zone: str
    callers: Address
    peers: Address
    relay: Address
    strength: float


class Beat(NamedTuple):
    """A host's regular sign of life to the hosts of its zone.

    Attributes:
        host: who it is.
        is_ready: whether it takes callers.
        version: of the configuration in force on it.
        revision: of the instances that it knows.
        store_age_s: seconds since the store last answered it.
        in_flight: its requests at each instance.
    """

    host: HostRecord
    is_ready: bool
    version: int
    revision: int
    store_age_s: float
    in_flight: dict[str, int]


class Sighting(NamedTuple):
    """What became of one instance on a host; `sign` is None at a request's start."""

    instance_id: str
    in_flight: int
    sign: Sign | None


class News(NamedTuple):
    """Outcomes of a host's requests, sent as they happen."""

    host_name: str
    sightings: list[Sighting]


def write_host(record: HostRecord) -> dict[str, Any]:
    """Return a record as JSON fields."""
    return {
        "name": record.name,
        "zone": record.zone,
        "callers": str(record.callers),
        "peers": str(record.peers),
        "relay": str(record.relay),
        "strength": record.strength,
    }


def read_host(fields: Any) -> HostRecord | None:
    """Read a record, or return None for one that cannot be used."""
    try:
        return HostRecord(
            str(fields["name"]),
            str(fields["zone"]),
            parse_address(fields["callers"]),
            parse_address(fields["peers"]),
            parse_address(fields["relay"]),
            float(fields["strength"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        log_event("host-record-unusable", level="WARNING", error=repr(exc))
        return None


def write_message(message: Beat | News) -> bytes:
    """Return a message as the bytes of a datagram."""
    if isinstance(message, News):
        sightings = [
            [one.instance_id, one.in_flight, one.sign or ""]
            for one in message.sightings
        ]
        fields = {"news": message.host_name, "of": sightings}
    else:
        fields = {
            "beat": write_host(message.host),
            "ready": message.is_ready,
            "version": message.version,
            "revision": message.revision,
            "age": round(message.store_age_s, 3),
            "load": message.in_flight,
        }
    return json.dumps(fields, separators=(",", ":")).encode()


def read_message(data: bytes) -> Beat | News | None:
    """Read a datagram, or return None for one that cannot be used."""
    try:
        fields = json.loads(data)
        if "news" in fields:
            sightings = [
                Sighting(str(name), int(count), Sign(sign) if sign else None)
                for name, count, sign in fields["of"]
            ]
            return News(str(fields["news"]), sightings)
        host = read_host(fields["beat"])
        if host is None:
            return None
        return Beat(
            host,
            bool(fields["ready"]),
            int(fields["version"]),
            int(fields["revision"]),
            float(fields["age"]),
            {str(name): int(count) for name, count in fields["load"].items()},
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        log_event("datagram-unusable", level="WARNING", error=repr(exc))
        return None
