"""Messages between entry hosts and their JSON encoding."""

import json
import math
from functools import singledispatch
from typing import Any, NamedTuple

from ..errors import DECODE_ERRORS
from ..jsontext import parse_json
from ..logs import log_event
from ..misc import Address, parse_address
from ..placement import Observation, RateLimitReport, RequestMix, check_name
from ..position import StorePosition, decode_position
from ..quarantine import CrashReport, crash_reports_from_json, crash_reports_to_json
from ..quotas import OrganisationTotal
from .reach import HostCounts, Party

__all__ = [
    "Heartbeat",
    "ZoneReport",
    "HostRecord",
    "ServingHost",
    "UsageReport",
    "ZoneHosts",
    "PeerReport",
    "RelayedUsage",
    "InstanceReport",
    "decode_host",
    "decode_message",
    "encode_host",
    "encode_message",
]


# Longest name of a sender's process that is accepted.
MAX_RUN_CHARS = 32
# Numbers up to it are exact in JSON and in floating point.
MAX_TOTAL = 2**53
# Of one full core with a fast link; no machine has more cores.
MAX_CAPACITY = 10_000.0


class HostRecord(NamedTuple):
    """An entry host and its addresses.

    Attributes:
        name: the host's name.
        zone: its availability zone.
        caller_address: where it accepts callers' connections.
        peer_address: where it receives datagrams from other hosts.
        relay_address: where other hosts read its instances and configuration.
        capacity: load it can carry; 1.0 is one full core with a fast link.
    """

    name: str
    zone: str
    caller_address: Address
    peer_address: Address
    relay_address: Address
    capacity: float

    @property
    def handover_address(self) -> Address:
        """Return where it accepts requests that other hosts hand over."""
        return self.peer_address


class RelayedUsage(NamedTuple):
    """What the sender has heard from a host or zone that others don't hear.

    Attributes:
        party: that host or zone.
        run: its process.
        totals: all its totals.
        host_counts: hosts of the zone; None for a host.
    """

    party: Party
    run: str
    totals: tuple[OrganisationTotal, ...]
    host_counts: HostCounts | None


class UsageReport(NamedTuple):
    """What the sender has done for organisations, in totals since its process began.

    Attributes:
        run: the sender's process; empty if no organisation has a limit or any work.
        totals: the totals; those of a zone report are the zone's sums.
        missing: whom the sender does not hear directly any more.
        relayed: reports of those whom others miss and the sender hears.
    """

    run: str = ""
    totals: tuple[OrganisationTotal, ...] = ()
    missing: tuple[Party, ...] = ()
    relayed: tuple[RelayedUsage, ...] = ()


class Heartbeat(NamedTuple):
    """Periodic message from a host to the hosts of its zone.

    Attributes:
        host: the sender.
        is_ready: whether the sender accepts callers.
        version: version of the configuration in force on the sender.
        position: store position of the sender's instances.
        store_age_s: seconds since the store last responded to the sender.
        interval_s: seconds until the sender's next heartbeat.
        in_flight: the sender's in-flight requests per instance.
        rate_limits: what the sender knows of instances' rate limits.
        reaches_instances: whether the sender has paths to the instances.
        leaving: instances that have said that they leave, with their start times in
            Unix milliseconds.
        crash_reports: what the sender knows of requests that crash instances.
        usage: all that the sender has done for organisations.
        request_mixes: the sender's recent requests by service.
        body_kb: bodies of the sender's requests in kB, per instance.
    """

    host: HostRecord
    is_ready: bool
    version: int
    position: StorePosition
    store_age_s: float
    interval_s: float
    in_flight: dict[str, int]
    rate_limits: list[RateLimitReport]
    reaches_instances: bool
    leaving: dict[str, int]
    crash_reports: tuple[CrashReport, ...] = ()
    usage: UsageReport = UsageReport()
    request_mixes: tuple[RequestMix, ...] = ()
    body_kb: dict[str, int] = {}


class InstanceReport(NamedTuple):
    """A host's in-flight count and latest observation at one instance.

    Attributes:
        instance_id: the instance.
        in_flight: the host's in-flight requests at the instance.
        observation: what an attempt showed of the instance; None when a request
            starts or ends without showing anything.
    """

    instance_id: str
    in_flight: int
    observation: Observation | None


class PeerReport(NamedTuple):
    """Starts and outcomes of a host's requests, sent as they happen.

    Attributes:
        host_name: the sender.
        instances: the sender's requests, by instance.
        rate_limits: what the sender knows of rate limits of these instances.
        leaving: those of them that have said that they leave, with their start times.
        usage: what the sender has done for organisations, where that has changed.
        body_kb: the sender's bodies in kB at those of them that have any.
    """

    host_name: str
    instances: list[InstanceReport]
    rate_limits: list[RateLimitReport]
    leaving: dict[str, int]
    usage: UsageReport = UsageReport()
    body_kb: dict[str, int] = {}


class ServingHost(NamedTuple):
    """A serving host, as other zones know it.

    Attributes:
        name: the host's name.
        caller_address: where it accepts callers' connections.
        handover_address: where it accepts requests that other hosts hand over.
    """

    name: str
    caller_address: Address
    handover_address: Address


class ZoneHosts(NamedTuple):
    """What a zone reports of hosts.

    Attributes:
        serving: the zone's serving hosts, by rank.
        zones: the zones that are known to have hosts.
    """

    serving: list[ServingHost]
    zones: list[str]


class ZoneReport(NamedTuple):
    """Load and health of instances as seen by one zone, sent to another zone.

    Attributes:
        zone: the reporting zone.
        gateway: where the reporting zone's gateway host receives datagrams.
        in_flight: the zone's in-flight requests per instance.
        unhealthy_percent: probability, in percent, that an instance is unhealthy,
            per instance, as estimated by the zone.
        is_forwarded: whether a host of the receiving zone has forwarded it.
        rate_limits: what the zone knows of instances' rate limits.
        hosts: the zone's serving hosts; None in most reports.
        leaving: instances that have said that they leave, with their start times.
        crash_reports: what the zone knows of requests that crash instances.
        usage: all that the zone has done for organisations.
        host_counts: the zone's hosts; None if `usage` names no process.
        body_kb: bodies of the zone's requests in kB, per instance.
    """

    zone: str
    gateway: Address
    in_flight: dict[str, int]
    unhealthy_percent: dict[str, int]
    is_forwarded: bool
    rate_limits: list[RateLimitReport]
    hosts: ZoneHosts | None
    leaving: dict[str, int]
    crash_reports: tuple[CrashReport, ...] = ()
    usage: UsageReport = UsageReport()
    host_counts: HostCounts | None = None
    body_kb: dict[str, int] = {}


Message = Heartbeat | PeerReport | ZoneReport


def encode_host(record: HostRecord) -> dict[str, Any]:
    """Return a host record as JSON fields."""
    return {
        "name": record.name,
        "zone": record.zone,
        "callers": str(record.caller_address),
        "peers": str(record.peer_address),
        "relay": str(record.relay_address),
        "strength": record.capacity,
    }


def decode_host(fields: Any) -> HostRecord | None:
    """Return the host record in JSON fields, or None if they are invalid."""
    try:
        record = HostRecord(
            fields["name"],
            fields["zone"],
            parse_address(fields["callers"]),
            parse_address(fields["peers"]),
            parse_address(fields["relay"]),
            float(fields["strength"]),
        )
        check_name(record.name)
        check_name(record.zone)
        if not 0.0 <= record.capacity <= MAX_CAPACITY:
            raise ValueError("strength is no capacity")
    except DECODE_ERRORS as exc:
        log_event("host-record-unusable", level="WARNING", error=repr(exc))
        return None
    return record


@singledispatch
def _message_fields(message: object) -> dict[str, Any]:
    raise TypeError(f"not a message between hosts: {message!r}")


@_message_fields.register
def _(message: PeerReport) -> dict[str, Any]:
    reports = [
        [report.instance_id, report.in_flight, report.observation or ""]
        for report in message.instances
    ]
    fields = {"news": message.host_name, "of": reports}
    return fields | (
        _notice_fields(message) | _usage_fields(message.usage) | _body_fields(message)
    )


@_message_fields.register
def _(message: Heartbeat) -> dict[str, Any]:
    return {
        "beat": encode_host(message.host),
        "ready": message.is_ready,
        "version": message.version,
        "era": message.position.era,
        "revision": message.position.revision,
        "age": round(message.store_age_s, 3),
        "next": message.interval_s,
        "load": message.in_flight,
        "paths": message.reaches_instances,
    } | (
        _notice_fields(message)
        | _crash_fields(message.crash_reports)
        | _usage_fields(message.usage)
        | _body_fields(message)
        | _mix_fields(message.request_mixes)
    )


@_message_fields.register
def _(message: ZoneReport) -> dict[str, Any]:
    return {
        "zone": message.zone,
        "from": str(message.gateway),
        "load": message.in_flight,
        "sick": message.unhealthy_percent,
        "on": int(message.is_forwarded),
    } | (
        _notice_fields(message)
        | _zone_hosts_fields(message.hosts)
        | _crash_fields(message.crash_reports)
        | _usage_fields(message.usage)
        | _host_counts_fields(message.host_counts)
        | _body_fields(message)
    )


def _zone_hosts_fields(hosts: ZoneHosts | None) -> dict[str, Any]:
    if hosts is None:
        return {}
    rows = [[name, str(caller), str(peer)] for name, caller, peer in hosts.serving]
    return {"serving": rows, "zones": hosts.zones}


def _notice_fields(message: Message) -> dict[str, Any]:
    """Return the fields of instances' notices, which are left out if they are empty."""
    rows = [
        [report.instance_id, report.per_s, round(report.age_s, 3), report.sent]
        for report in message.rate_limits
    ]
    fields = {"limits": rows, "leaving": message.leaving}
    return {name: value for name, value in fields.items() if value}


def _crash_fields(reports: tuple[CrashReport, ...]) -> dict[str, Any]:
    return {"crashes": crash_reports_to_json(reports)} if reports else {}


def _usage_fields(usage: UsageReport) -> dict[str, Any]:
    """Return the fields of organisations' totals; none without organisations."""
    if not usage.run:
        return {}
    fields: dict[str, Any] = {"run": usage.run, "orgs": usage.totals}
    if usage.missing:
        fields["missing"] = usage.missing
    if usage.relayed:
        fields["relayed"] = usage.relayed
    return fields


def _host_counts_fields(counts: HostCounts | None) -> dict[str, Any]:
    return {} if counts is None else {"hosts": list(counts)}


def _body_fields(message: Message) -> dict[str, Any]:
    """Return the field of the bodies at instances, which is left out without any."""
    return {"bodies": message.body_kb} if message.body_kb else {}


def _mix_fields(mixes: tuple[RequestMix, ...]) -> dict[str, Any]:
    return {"mixes": [list(mix) for mix in mixes]} if mixes else {}


def encode_message(message: Message) -> bytes:
    """Return the payload of the datagram that carries a message."""
    return json.dumps(_message_fields(message), separators=(",", ":")).encode()


def decode_message(data: bytes) -> Message | None:
    """Return the message in a datagram's payload, or None if it is invalid."""
    try:
        fields = parse_json(data)
        if "news" in fields:
            return _decode_peer_report(fields)
        if "beat" in fields:
            return _decode_heartbeat(fields)
        return _decode_zone_report(fields)
    except DECODE_ERRORS as exc:
        log_event("datagram-unusable", level="WARNING", error=repr(exc))
        return None


def _decode_peer_report(fields: dict[str, Any]) -> PeerReport:
    reports = [
        InstanceReport(
            str(name), int(count), Observation(observation) if observation else None
        )
        for name, count, observation in fields["of"]
    ]
    return PeerReport(
        str(fields["news"]),
        reports,
        _decode_rate_limits(fields),
        _decode_leaving(fields),
        _decode_usage(fields),
        _decode_body_kb(fields),
    )


def _decode_heartbeat(fields: dict[str, Any]) -> Heartbeat | None:
    host = decode_host(fields["beat"])
    if host is None:
        return None
    return Heartbeat(
        host,
        bool(fields["ready"]),
        int(fields["version"]),
        decode_position(fields),
        float(fields["age"]),
        float(fields["next"]),
        _decode_counts(fields["load"]),
        _decode_rate_limits(fields),
        # Hosts of earlier builds do not send it.
        bool(fields.get("paths", True)),
        _decode_leaving(fields),
        _decode_crash_reports(fields),
        _decode_usage(fields),
        _decode_request_mixes(fields),
        _decode_body_kb(fields),
    )


def _decode_zone_report(fields: dict[str, Any]) -> ZoneReport:
    return ZoneReport(
        str(fields["zone"]),
        parse_address(fields["from"]),
        _decode_counts(fields["load"]),
        _decode_counts(fields["sick"]),
        bool(fields["on"]),
        _decode_rate_limits(fields),
        _decode_zone_hosts(fields),
        _decode_leaving(fields),
        _decode_crash_reports(fields),
        _decode_usage(fields),
        # Hosts of earlier builds do not send it.
        _decode_host_counts(fields["hosts"]) if "hosts" in fields else None,
        _decode_body_kb(fields),
    )


def _decode_zone_hosts(fields: dict[str, Any]) -> ZoneHosts | None:
    if "serving" not in fields:
        return None
    serving = [
        ServingHost(str(name), parse_address(caller), parse_address(peer))
        for name, caller, peer in fields["serving"]
    ]
    return ZoneHosts(serving, [str(zone) for zone in fields["zones"]])


def _decode_rate_limits(fields: dict[str, Any]) -> list[RateLimitReport]:
    """Return the reports in a message; hosts of earlier builds send none."""
    return [
        RateLimitReport(
            str(name), None if per_s is None else float(per_s), float(age_s), int(sent)
        )
        for name, per_s, age_s, sent in fields.get("limits", [])
    ]


def _decode_leaving(fields: dict[str, Any]) -> dict[str, int]:
    """Return the leaving instances in a message; earlier builds send none."""
    return _decode_counts(fields.get("leaving", {}))


def _decode_crash_reports(fields: dict[str, Any]) -> tuple[CrashReport, ...]:
    """Return the crash reports in a message; earlier builds send none."""
    return crash_reports_from_json(fields.get("crashes", []))


def _decode_usage(fields: dict[str, Any]) -> UsageReport:
    """Return the organisations' totals; hosts of earlier builds send none."""
    relayed = tuple(
        RelayedUsage(
            _decode_party(*party),
            _decode_run(run),
            _decode_totals(rows),
            None if counts is None else _decode_host_counts(counts),
        )
        for party, run, rows, counts in fields.get("relayed", [])
    )
    return UsageReport(
        _decode_run(fields.get("run", "")),
        _decode_totals(fields.get("orgs", [])),
        tuple(_decode_party(*party) for party in fields.get("missing", [])),
        relayed,
    )


def _decode_run(value: Any) -> str:
    run = str(value)
    if len(run) > MAX_RUN_CHARS:
        raise ValueError("run is too long")
    return run


def _decode_party(name: Any, is_zone: Any) -> Party:
    return Party(str(name), bool(is_zone))


def _decode_totals(rows: Any) -> tuple[OrganisationTotal, ...]:
    return tuple(
        OrganisationTotal(str(name), _decode_total(admitted), _decode_total(work_ms))
        for name, admitted, work_ms in rows
    )


def _decode_total(value: Any) -> int:
    total = int(value)
    if not 0 <= total <= MAX_TOTAL:
        raise ValueError("a total is out of range")
    return total


def _decode_host_counts(counts: Any) -> HostCounts:
    known, silent = (_decode_total(count) for count in counts)
    if not silent < known:
        raise ValueError("the sender is not silent itself")
    return HostCounts(known, silent)


def _decode_body_kb(fields: dict[str, Any]) -> dict[str, int]:
    """Return the bodies in a message; earlier builds send none.

    Raises:
        ValueError: a size is negative, and would hide the bodies of others.
    """
    sizes = _decode_counts(fields.get("bodies", {}))
    if any(size_kb < 0 for size_kb in sizes.values()):
        raise ValueError("a body has a negative size")
    return sizes


def _decode_request_mixes(fields: dict[str, Any]) -> tuple[RequestMix, ...]:
    """Return the mixes in a heartbeat; earlier builds send none."""
    mixes = tuple(
        RequestMix(str(service), float(requests), float(idempotent))
        for service, requests, idempotent in fields.get("mixes", [])
    )
    if not all(0.0 <= mix.idempotent <= mix.requests < math.inf for mix in mixes):
        raise ValueError("a mix has impossible counts")
    return mixes


def _decode_counts(fields: dict[str, Any]) -> dict[str, int]:
    return {str(name): int(count) for name, count in fields.items()}
