"""Exchange of heartbeats and reports with the other entry hosts."""

import math
import random
import uuid
from collections.abc import Callable, Collection
from functools import singledispatchmethod

from ..logs import log_event
from ..misc import Address
from ..placement import Observation, Placer
from ..position import START_POSITION, StorePosition
from ..quarantine import CrashReport, Quarantine
from ..quotas import Quotas
from ..reactor import Reactor
from .datagrams import Datagrams
from .gateways import ZoneGateways
from .peers import PeerTable
from .records import (
    Heartbeat,
    HostRecord,
    InstanceReport,
    Message,
    PeerReport,
    ServingHost,
    ZoneHosts,
    ZoneReport,
)
from .report_batch import ReportBatch
from .usage_exchange import UsageExchange

__all__ = ["Fleet", "GetSyncStatus"]

# At the usual service times, another zone's load that is older than this misleads
# more than it helps.
ZONE_REPORT_INTERVAL_S = 0.25
GATEWAY_CHECK_S = 1.0
# The serving hosts of a zone are sent to other zones with one in so many reports.
REPORTS_PER_HOST_LIST = 4
# Reports of successes wait this long for others to share a datagram; reports of
# failures are sent at once.
REPORT_DELAY_S = 0.01
# Hosts that fall silent are noticed this much later; they count as silent from 0.6 s
# on.
REACH_INTERVAL_S = 0.1
# While no organisation has a limit, nothing depends on it.
IDLE_REACH_INTERVAL_S = 1.0

# Returns the configuration's version, the store position of the instances, and the
# seconds since the store last responded.
GetSyncStatus = Callable[[], tuple[int, StorePosition, float]]


class Fleet:
    """Send heartbeats and reports, and apply those of other hosts.

    Args:
        reactor: runs timers and socket callbacks.
        peer_table: the known hosts; updated by received heartbeats.
        placer: receives load and health of instances as reported by other hosts.
        quarantine: receives what other hosts report of requests that crash instances.
        get_sync_status: returns what the local host's heartbeats announce.
        on_heartbeat: called with each heartbeat of a host in the local zone.
        quotas: receives what other hosts admit of organisations, and the share of the
            fleet that is heard.
    """

    def __init__(
        self,
        reactor: Reactor,
        peer_table: PeerTable,
        placer: Placer,
        quarantine: Quarantine,
        get_sync_status: GetSyncStatus,
        on_heartbeat: Callable[[Heartbeat], None],
        quotas: Quotas | None = None,
    ) -> None:
        self._reactor = reactor
        self._peer_table = peer_table
        self._placer = placer
        self._quarantine = quarantine
        self._get_sync_status = get_sync_status
        self._on_heartbeat = on_heartbeat
        self._quotas = Quotas(random.Random()) if quotas is None else quotas
        self._usage = UsageExchange(
            peer_table.local_host,
            peer_table.reach,
            self._quotas,
            placer.usage,
            uuid.uuid4().hex,
        )
        self._reach_due_at = math.inf
        self._batch = ReportBatch()
        self._is_crash_report_due = False
        self._handovers = 0
        self._zone_reports = 0
        self._gateways = ZoneGateways(peer_table.local_host.zone)
        local_host = peer_table.local_host
        self._datagrams = Datagrams(reactor, local_host.peer_address, self._on_message)

    def begin(self) -> None:
        """Begin to send heartbeats and, while this is the gateway, zone reports."""
        self._run_heartbeat()
        self._run_zone_report()
        self._run_reach()

    def introduce(self, addresses: list[Address]) -> None:
        """Send a heartbeat to hosts that may not know the local host."""
        self._datagrams.send(self._local_heartbeat(), addresses)

    def serving_hosts(self) -> list[HostRecord]:
        """Return the hosts that carry the zone's requests, by rank."""
        now = self._reactor.clock.monotonic()
        return self._peer_table.serving_hosts(self._zone_slots(), now)

    def directory_addresses(self) -> list[Address]:
        """Return where the zone's callers are directed to."""
        now = self._reactor.clock.monotonic()
        hosts = self._peer_table.directory_hosts(self._zone_slots(), now)
        return [host.caller_address for host in hosts]

    def handover_hosts(
        self, exclude: Collection[str]
    ) -> list[HostRecord | ServingHost]:
        """Return the hosts that may take over a request; the first one has its turn.

        Args:
            exclude: names of hosts that have had the request.
        """
        now = self._reactor.clock.monotonic()
        local_name = self._peer_table.local_host.name
        for hosts in (self.serving_hosts(), self._peer_table.serving_elsewhere(now)):
            found = [
                host
                for host in hosts
                if host.name not in exclude and host.name != local_name
            ]
            if found:
                self._handovers += 1
                turn = self._handovers % len(found)
                return found[turn:] + found[:turn]
        return []

    def _zone_slots(self) -> int:
        return self._placer.registry.slots_in(self._peer_table.local_host.zone)

    def is_zone_gateway(self) -> bool:
        """Return whether the local host sends its zone's reports to other zones."""
        now = self._reactor.clock.monotonic()
        return self._peer_table.reporting_host(now) == self._peer_table.local_host

    def _heartbeat_interval_s(self) -> float:
        now = self._reactor.clock.monotonic()
        return self._peer_table.heartbeat_interval_s(self._zone_slots(), now)

    def _local_heartbeat(self) -> Heartbeat:
        version, position, age_s = self._get_sync_status()
        now = self._reactor.clock.monotonic()
        return Heartbeat(
            self._peer_table.local_host,
            self._peer_table.is_ready,
            version,
            position,
            age_s,
            self._heartbeat_interval_s(),
            dict(self._placer.occupancy.own),
            self._placer.rate_limits.reports(now),
            self._peer_table.reaches_instances,
            self._placer.leaving(),
            self._quarantine.reports(now),
            self._usage.report(now),
            self._placer.balancing.own_mixes(now),
            body_kb=self._placer.bodies.own,
        )

    def _run_heartbeat(self) -> None:
        self._reactor.call_later(self._heartbeat_interval_s(), self._run_heartbeat)
        now = self._reactor.clock.monotonic()
        self._placer.occupancy.drop_stale(now)
        self._placer.bodies.drop_stale(now)
        self.count_competing_hosts()
        self.send_heartbeat()
        self._placer.dispatch_queued(now)

    def count_competing_hosts(self) -> None:
        """Update which hosts share slots, rate limits and the retry budget.

        A host that no callers are directed to receives only occasional requests and
        gets no part of the retry budget's slack.
        """
        serving = self.serving_hosts()
        zones = self._placer.registry.zones()
        self._placer.competing_hosts = max(1, len(serving))
        is_serving = self._peer_table.local_host in serving
        self._placer.retry_budget_hosts = (
            len(serving) * max(1, len(zones)) if is_serving else 0
        )
        self._placer.rate_limits.set_hosts(
            self._peer_table.local_host.name,
            [host.name for host in serving],
            self._peer_table.zones,
        )

    def update_reach(self) -> None:
        """Set which share of organisations' limits this host uses with its peers."""
        now = self._reactor.clock.monotonic()
        self._quotas.set_reach(self._peer_table.reach.share(now), now)

    def _run_reach(self) -> None:
        has_limits = self._quotas.has_limits
        wait_s = REACH_INTERVAL_S if has_limits else IDLE_REACH_INTERVAL_S
        self._reactor.call_later(wait_s, self._run_reach)
        now = self._reactor.clock.monotonic()
        # After a stall of this process, what others have sent is still to be read.
        is_late = now - self._reach_due_at > REACH_INTERVAL_S
        self._reach_due_at = now + wait_s
        if has_limits and not is_late:
            self.update_reach()

    def _run_zone_report(self) -> None:
        """Send a report to the other zones if the local host is the gateway."""
        is_gateway = self.is_zone_gateway()
        wait_s = ZONE_REPORT_INTERVAL_S if is_gateway else GATEWAY_CHECK_S
        self._reactor.call_later(wait_s, self._run_zone_report)
        if not is_gateway:
            return
        now = self._reactor.clock.monotonic()
        local_host = self._peer_table.local_host
        hosts = self._reported_hosts()
        usage = self._usage.zone_report(now)
        # Without paths a host's estimates are out of date.
        reaches_instances = self._peer_table.reaches_instances
        report = ZoneReport(
            local_host.zone,
            local_host.peer_address,
            self._placer.occupancy.own_zone_counts(),
            self._placer.unhealthy_percentages(now) if reaches_instances else {},
            is_forwarded=False,
            rate_limits=self._placer.rate_limits.reports(now),
            hosts=hosts,
            leaving=self._placer.leaving(),
            crash_reports=self._quarantine.reports(now, only_news=hosts is None),
            body_kb=self._placer.bodies.own_zone_loads(),
            usage=usage,
            host_counts=self._peer_table.reach.local_counts(now) if usage.run else None,
        )
        self._datagrams.send(
            report, self._gateways.addresses(self._peer_table.known_hosts(), now)
        )

    def _reported_hosts(self) -> ZoneHosts | None:
        """Return what the next zone report says of hosts, None in most reports."""
        self._zone_reports += 1
        if self._zone_reports % REPORTS_PER_HOST_LIST != 1:
            return None
        serving = [
            ServingHost(host.name, host.caller_address, host.handover_address)
            for host in self.serving_hosts()
        ]
        return ZoneHosts(serving, sorted(self._peer_table.zones))

    def send_heartbeat(self) -> None:
        """Send a heartbeat to all known hosts of the zone."""
        peers = [host.peer_address for host in self._zone_hosts()]
        self._datagrams.send(self._local_heartbeat(), peers)

    def report_crash(self) -> None:
        """Tell the zone's hosts at once what instances have crashed under."""
        if not self._is_crash_report_due:
            self._is_crash_report_due = True
            self._reactor.call_later(REPORT_DELAY_S, self._send_crash_report)

    def _send_crash_report(self) -> None:
        self._is_crash_report_due = False
        self.send_heartbeat()

    def _zone_hosts(self) -> list[HostRecord]:
        zone = self._peer_table.local_host.zone
        return [host for host in self._peer_table.known_hosts() if host.zone == zone]

    def report_instance(
        self, instance_id: str, observation: Observation | None
    ) -> None:
        """Report to the zone's serving hosts that a request started or ended.

        Args:
            instance_id: the instance of the request.
            observation: what the request showed of the instance; None when it starts
                or ends without showing anything.
        """
        count = self._placer.occupancy.own.get(instance_id, 0)
        is_urgent = self._batch.add(InstanceReport(instance_id, count, observation))
        if is_urgent or self._has_notice(instance_id):
            self._flush_batch()
        else:
            self.report_usage()

    def report_usage(self) -> None:
        """Report to the zone's serving hosts soon what organisations have used."""
        if not self._batch.is_due:
            self._batch.is_due = True
            self._reactor.call_later(REPORT_DELAY_S, self._flush_batch)

    def _has_notice(self, instance_id: str) -> bool:
        """Return whether peers need to know at once what an instance said of itself."""
        now = self._reactor.clock.monotonic()
        instance = self._placer.registry.get(instance_id)
        return self._placer.rate_limits.is_limited(instance_id, now) or (
            instance is not None and self._placer.notices.is_leaving(instance)
        )

    def _flush_batch(self) -> None:
        reports = self._batch.pop_all()
        usage = self._usage.changes(self._reactor.clock.monotonic())
        if not reports and not usage.totals:
            return
        ids = {one.instance_id for one in reports}
        instances = [one for one in map(self._placer.registry.get, ids) if one]
        message = PeerReport(
            self._peer_table.local_host.name,
            reports,
            self._placer.rate_limits.reports(self._reactor.clock.monotonic(), ids),
            self._placer.notices.leaving(instances),
            usage,
            body_kb={
                name: size_kb
                for name, size_kb in self._placer.bodies.own.items()
                if name in ids
            },
        )
        local_name = self._peer_table.local_host.name
        peers = [
            host.peer_address
            for host in self.serving_hosts()
            if host.name != local_name
        ]
        self._datagrams.send(message, peers)

    def _on_message(self, message: Message) -> None:
        now = self._reactor.clock.monotonic()
        self._handle(message, now)
        self._placer.dispatch_queued(now)

    @singledispatchmethod
    def _handle(self, message: object, now: float) -> None:
        raise TypeError(f"not a message between hosts: {message!r}")

    @_handle.register
    def _(self, message: PeerReport, now: float) -> None:
        for report in message.instances:
            self._placer.occupancy.set_peer_count(
                message.host_name, report.instance_id, report.in_flight, now
            )
            size_kb = message.body_kb.get(report.instance_id, 0)
            self._placer.bodies.set_peer_kb(
                message.host_name, report.instance_id, size_kb, now
            )
            if report.observation is not None:
                self._placer.health.add_peer_report(
                    report.instance_id, report.observation, now
                )
                self._placer.record_outcome(report.instance_id, report.observation, now)
        self._apply_notices(message.host_name, message, now)
        self._peer_table.reach.on_report(message.host_name, now)
        self._usage.on_host_report(message.host_name, message.usage, False, now)

    def _apply_notices(
        self, host_name: str | None, message: Message, now: float
    ) -> None:
        """Apply what instances have said of themselves to another host.

        Args:
            host_name: that host; None for a report of another zone.
            message: its message.
            now: seconds on the monotonic clock.
        """
        reported_by = host_name or "another zone"
        limits = self._placer.rate_limits
        for report in limits.on_reports(host_name, message.rate_limits, now):
            log_event(
                "instance-rate-limit",
                instance=report.instance_id,
                per_s="none" if report.per_s is None else report.per_s,
                reported_by=reported_by,
                age_s=report.age_s,
            )
        for instance_id, born_ms in message.leaving.items():
            if self._placer.notices.on_leaving(instance_id, born_ms):
                log_event(
                    "instance-leaving", instance=instance_id, reported_by=reported_by
                )

    def _apply_crash_reports(
        self, reports: tuple[CrashReport, ...], reported_by: str, now: float
    ) -> None:
        for digest in self._quarantine.on_reports(reports, now):
            log_event(
                "request-quarantined",
                digest=digest,
                crashes=self._quarantine.crashes(digest, now),
                reported_by=reported_by,
            )

    @_handle.register
    def _(self, report: ZoneReport, now: float) -> None:
        self._placer.apply_zone_report(
            report.zone, report.in_flight, report.unhealthy_percent, now
        )
        self._placer.bodies.set_zone_loads(report.zone, report.body_kb, now)
        self._apply_notices(None, report, now)
        self._apply_crash_reports(report.crash_reports, report.zone, now)
        self._peer_table.reach.on_zone_report(report.zone, report.host_counts, now)
        self._usage.on_zone_report(report.zone, report.usage, report.host_counts, now)
        if report.hosts is not None:
            self._peer_table.on_zone_hosts(report.zone, report.hosts, now)
        if report.is_forwarded:
            return
        self._gateways.on_report(report.zone, report.gateway, now)
        local_host = self._peer_table.local_host
        # All hosts of the zone need to know who serves elsewhere, as none of them may
        # soon, and what instances have crashed under, as each may get such a request.
        # Nor may a host that begins to serve take limits of organisations for unused.
        is_for_all = (
            report.hosts is not None or report.crash_reports or report.usage.run
        )
        hosts = self._zone_hosts() if is_for_all else self.serving_hosts()
        peers = [host.peer_address for host in hosts if host != local_host]
        self._datagrams.send(report._replace(is_forwarded=True), peers)

    @_handle.register
    def _(self, heartbeat: Heartbeat, now: float) -> None:
        is_new = heartbeat.host.name not in {
            host.name for host in self._peer_table.known_hosts()
        }
        self._peer_table.on_heartbeat(heartbeat, now)
        is_blank = (
            heartbeat.position == START_POSITION
            and self._placer.registry.position != START_POSITION
        )
        if is_new or is_blank:
            # A host without any state reads what this heartbeat announces.
            self.introduce([heartbeat.host.peer_address])
        if heartbeat.host.zone != self._peer_table.local_host.zone:
            return
        self._placer.occupancy.set_peer_counts(
            heartbeat.host.name, heartbeat.in_flight, now
        )
        self._placer.bodies.set_peer_loads(heartbeat.host.name, heartbeat.body_kb, now)
        self._placer.balancing.on_peer_mixes(
            heartbeat.host.name, heartbeat.request_mixes, now
        )
        self._apply_notices(heartbeat.host.name, heartbeat, now)
        self._apply_crash_reports(heartbeat.crash_reports, heartbeat.host.name, now)
        self._usage.on_host_report(heartbeat.host.name, heartbeat.usage, True, now)
        self._on_heartbeat(heartbeat)
