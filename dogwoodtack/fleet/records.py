"""What entry hosts tell each other, and its form on the wire."""

import json
from functools import singledispatch
from typing import Any, NamedTuple

from ..logs import log_event
from ..misc import Address, parse_address
from ..placement import Observation

__all__ = [
    "Heartbeat",
    "ZoneReport",
    "HostRecord",
    "PeerReport",
    "InstanceReport",
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
    caller_address: Address
    peer_address: Address
    relay_address: Address
    capacity: float


class Heartbeat(NamedTuple):
    """A host's regular sign of life to the hosts of its zone.

    Attributes:
        host: who it is.
        is_ready: whether it takes callers.
        version: of the configuration in force on it.
        revision: of the instances that it knows.
        store_age_s: seconds since the store last answered it.
        interval_s: seconds until its next beat.
        in_flight: its requests at each instance.
    """

    host: HostRecord
    is_ready: bool
    version: int
    revision: int
    store_age_s: float
    interval_s: float
    in_flight: dict[str, int]


class InstanceReport(NamedTuple):
    """What became of one instance on a host; `sign` is None at a request's start."""

    instance_id: str
    in_flight: int
    sign: Observation | None


class PeerReport(NamedTuple):
    """Outcomes of a host's requests, sent as they happen."""

    host_name: str
    sightings: list[InstanceReport]


class ZoneReport(NamedTuple):
    """What one zone's hosts do and believe, told to another zone.

    Attributes:
        zone: whose hosts.
        speaker: where the host that speaks for the zone takes datagrams.
        in_flight: the zone's requests at each instance.
        sick: probability in percent that each of the zone's instances is sick.
        is_forwarded: whether a host of the receiving zone has passed it on.
    """

    zone: str
    speaker: Address
    in_flight: dict[str, int]
    sick: dict[str, int]
    is_forwarded: bool


Message = Heartbeat | PeerReport | ZoneReport


def write_host(record: HostRecord) -> dict[str, Any]:
    """Return a record as JSON fields."""
    return {
        "name": record.name,
        "zone": record.zone,
        "callers": str(record.caller_address),
        "peers": str(record.peer_address),
        "relay": str(record.relay_address),
        "strength": record.capacity,
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


@singledispatch
def _message_fields(message: object) -> dict[str, Any]:
    raise TypeError(f"not a message between hosts: {message!r}")


@_message_fields.register
def _(message: PeerReport) -> dict[str, Any]:
    sightings = [
        [one.instance_id, one.in_flight, one.sign or ""] for one in message.sightings
    ]
    return {"news": message.host_name, "of": sightings}


@_message_fields.register
def _(message: Heartbeat) -> dict[str, Any]:
    return {
        "beat": write_host(message.host),
        "ready": message.is_ready,
        "version": message.version,
        "revision": message.revision,
        "age": round(message.store_age_s, 3),
        "next": message.interval_s,
        "load": message.in_flight,
    }


@_message_fields.register
def _(message: ZoneReport) -> dict[str, Any]:
    return {
        "zone": message.zone,
        "from": str(message.speaker),
        "load": message.in_flight,
        "sick": message.sick,
        "on": int(message.is_forwarded),
    }


def write_message(message: Message) -> bytes:
    """Return a message as the bytes of a datagram."""
    return json.dumps(_message_fields(message), separators=(",", ":")).encode()


def read_message(data: bytes) -> Message | None:
    """Read a datagram, or return None for one that cannot be used."""
    try:
        fields = json.loads(data)
        if "news" in fields:
            return _read_news(fields)
        if "beat" in fields:
            return _read_beat(fields)
        return _read_digest(fields)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        log_event("datagram-unusable", level="WARNING", error=repr(exc))
        return None


def _read_news(fields: dict[str, Any]) -> PeerReport:
    sightings = [
        InstanceReport(str(name), int(count), Observation(sign) if sign else None)
        for name, count, sign in fields["of"]
    ]
    return PeerReport(str(fields["news"]), sightings)


def _read_beat(fields: dict[str, Any]) -> Heartbeat | None:
    host = read_host(fields["beat"])
    if host is None:
        return None
    return Heartbeat(
        host,
        bool(fields["ready"]),
        int(fields["version"]),
        int(fields["revision"]),
        float(fields["age"]),
        float(fields["next"]),
        _read_counts(fields["load"]),
    )


def _read_digest(fields: dict[str, Any]) -> ZoneReport:
    return ZoneReport(
        str(fields["zone"]),
        parse_address(fields["from"]),
        _read_counts(fields["load"]),
        _read_counts(fields["sick"]),
        bool(fields["on"]),
    )


def _read_counts(fields: dict[str, Any]) -> dict[str, int]:
    return {str(name): int(count) for name, count in fields.items()}
