"""One entry host on the users' platform: all components on one event loop."""

import functools
import json
import os
import random
import signal
from collections.abc import Callable
from typing import Any, NamedTuple

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from ..access import AccessControl, StoreContacts
from ..backends import ConnectionPool
from ..calls import Client
from ..clock import SystemClock
from ..errors import SettingsError
from ..fairness import fair_services
from ..feed import (
    Feed,
    FeedCallbacks,
    RelayClient,
    Source,
    encode_confirmation,
    handle_relay_request,
    version_to_confirm,
)
from ..fleet import Fleet, Heartbeat, HostRecord, PeerTable
from ..logs import LineSink, log_event
from ..misc import Address
from ..placement import InstanceChange, InstanceRegistry, Placer
from ..quarantine import Quarantine
from ..quotas import Quotas
from ..reactor import Reactor
from ..routing import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    RouteTable,
    TrafficSplitter,
    kind_changes,
    routed_services,
)
from .buffers import RequestBuffers, ResponseBuffers, request_buffer_bytes
from .crash_records import CrashRecords
from .crashes import CrashMonitor
from .descriptors import connection_limits
from .evidence import Evidence
from .exchange import ExchangeDependencies
from .frontend import EntryFrontend
from .grace import GracePeriod
from .host_records import HostRecords
from .idle_limit import IdleLimit
from .notices import NoticeReader
from .paths import PathMonitor
from .placement_preview import PREVIEW_PATH, HostView, parse_question, preview_request
from .rate_limiter import RateLimiter
from .recent_ids import RecentIds
from .request_log import RequestLog
from .responder import DeferredResponse, Responder, SimpleResponse
from .settings import EntrySettings
from .wire import AddressQuery, DirectoryQuery, HeaderNames, ReadinessQuery

__all__ = ["EntryHost", "PlatformAdapter"]

# A connection within the platform takes milliseconds, a lost packet costs a second.
DIAL_TIMEOUT_S = 0.3
STORE_DIAL_TIMEOUT_S = 0.6
# Callers repeat the query after this time, so that they soon drop a host that is gone.
ADDRESS_TTL_S = 1.0
# Some callers cache the addresses for three times ADDRESS_TTL_S.
DRAIN_DELAY_S = 3.2
DRAIN_POLL_S = 0.05
# Part of the grace period that is reserved for the last responses.
GRACE_MARGIN_S = 0.3
# After this time the feed starts even without the list of hosts.
FEED_START_TIMEOUT_S = 0.3
SETTINGS_POLL_S = 1.0
LOG_FLUSH_S = 1.0
# A link of this speed carries the traffic that one processor core can handle.
LINK_MBPS_PER_CORE = 40.0


class PlatformAdapter(NamedTuple):
    """The parts of an entry host that depend on the platform.

    Attributes:
        header_names: header names on the wire.
        make_source: makes the source of instances and configuration from a client
            and the store's address.
        parse_query: decodes a request to the directory or readiness address from its
            method and target; None if it is unknown.
        encode_addresses: encodes addresses and their lifetime in seconds as the body
            of a response to callers.
        load_settings: reads the current settings.
        settings_path: path of the settings file, None if there is no file.
    """

    header_names: HeaderNames
    make_source: Callable[[Client, Address], Source]
    parse_query: Callable[[str, str], DirectoryQuery | None]
    encode_addresses: Callable[[list[Address], float], bytes]
    load_settings: Callable[[], EntrySettings]
    settings_path: str | None


class EntryHost(BaseComponent):
    """The root component of an entry host.

    Args:
        settings: the settings at the start.
        adapter: the parts that depend on the platform.
        sink: where log lines are written.
    """

    channel = "entry-host"

    def __init__(
        self, settings: EntrySettings, adapter: PlatformAdapter, sink: LineSink
    ) -> None:
        super().__init__()
        self.settings = settings
        self._adapter = adapter
        self._sink = sink
        self._is_stopping = False
        self._sighup_received = False
        self._settings_stat = self._stat_settings()
        self._routes: tuple[Route, ...] = ()
        self._route_table = RouteTable(())
        self._build_loop()
        self._build_state()
        self._build_frontend()

    def _build_loop(self) -> None:
        self.reactor = Reactor(SystemClock(), EPoll().register(self)).register(self)
        self.rng = random.Random()
        self.request_log = RequestLog(self.reactor.clock)
        self._store_client = Client(self.reactor, STORE_DIAL_TIMEOUT_S)
        self._relay_client = Client(self.reactor, DIAL_TIMEOUT_S)
        self.source = self._adapter.make_source(self._store_client, self.settings.store)

    def _build_state(self) -> None:
        cfg = self.settings
        low, high = cfg.peer_ports
        self.local_host = HostRecord(
            name=cfg.name,
            zone=cfg.zone,
            caller_address=cfg.callers,
            peer_address=Address(cfg.ip, low),
            relay_address=Address(cfg.ip, high),
            capacity=min(cfg.cores, cfg.link_mbps / LINK_MBPS_PER_CORE),
        )
        self.registry = InstanceRegistry()
        self.placer = Placer(self.registry, cfg.zone, self.rng, cfg.bounds.retries)
        self.placer.balancing.setting = cfg.bounds.balancing
        self.quarantine = Quarantine()
        self.quotas = Quotas(self.rng, cfg.bounds.quotas)
        self.peer_table = PeerTable(self.local_host)
        self.access = AccessControl(self._are_keys_confirmed)
        self.store_contacts = StoreContacts()
        self._were_keys_confirmed = True
        events = FeedCallbacks(
            self._on_configuration,
            self._on_instances,
            self._on_synced,
            self._on_store_restored,
        )
        self.feed = Feed(
            self.reactor,
            self.source,
            RelayClient(self._relay_client),
            self.peer_table,
            self.registry,
            self.rng,
            events,
        )
        self.fleet = Fleet(
            self.reactor,
            self.peer_table,
            self.placer,
            self.quarantine,
            self.feed.sync_status,
            self._on_heartbeat,
            self.quotas,
        )
        self.host_records = HostRecords(
            self.reactor,
            self.source,
            self.fleet,
            self.feed,
            self.peer_table,
            self.rng,
        )

        self.crash_records = CrashRecords(
            self.reactor, self.source, self.fleet, self.quarantine
        )

    def _build_frontend(self) -> None:
        cfg = self.settings
        self.pool = ConnectionPool(self.reactor, DIAL_TIMEOUT_S)
        self.buffers = ResponseBuffers()
        self.request_buffers = RequestBuffers(request_buffer_bytes(cfg.memory_mb))
        self.paths = PathMonitor(
            self.reactor, self.registry, self.rng, self._on_paths_changed
        )
        self.crashes = CrashMonitor(
            self.reactor,
            self.placer,
            self.paths,
            self.quarantine,
            self.fleet.report_crash,
        )
        self.splitter = TrafficSplitter(self.rng.random())
        self.response_kb: dict[str, float] = {}
        idle_limit = IdleLimit()
        self.grace = GracePeriod(self.reactor.clock)
        deps = ExchangeDependencies(
            reactor=self.reactor,
            placer=self.placer,
            fleet=self.fleet,
            pool=self.pool,
            host_pool=ConnectionPool(self.reactor, DIAL_TIMEOUT_S),
            buffers=self.buffers,
            request_buffers=self.request_buffers,
            paths=self.paths,
            crashes=self.crashes,
            quarantine=self.quarantine,
            rate_limiter=RateLimiter(self.reactor.clock, self.quotas),
            header_names=self._adapter.header_names,
            notices=NoticeReader(
                self._adapter.header_names, lambda: self.settings.bounds.max_pause_s
            ),
            evidence=Evidence(self.reactor.clock, self.placer, self.paths, idle_limit),
            find_route=self._find_route,
            confirm_configuration=self.feed.confirm_configuration,
            splitter=self.splitter,
            grace=self.grace,
            idle_limit=idle_limit,
            request_log=self.request_log,
            recent_ids=RecentIds(),
            response_kb=self.response_kb,
            access=self.access,
        )
        limits = connection_limits(cfg.max_descriptors)
        self.frontend = EntryFrontend(
            deps,
            cfg.callers,
            self._caller_limits,
            limits.callers,
            limits.rejections,
        )
        self.handover_frontend = EntryFrontend(
            deps,
            self.local_host.handover_address,
            self._caller_limits,
            limits.handovers,
            limits.rejections,
            is_handover=True,
        )
        self._frontends = (self.frontend, self.handover_frontend)
        is_shared = cfg.directory == cfg.readiness
        self.directory = Responder(
            self.reactor, cfg.directory, self._handle_query, limits.directory
        )
        if not is_shared:
            Responder(self.reactor, cfg.readiness, self._handle_query, limits.readiness)
        Responder(
            self.reactor,
            self.local_host.relay_address,
            self._handle_peer_request,
            limits.relay,
        )

    def begin(self) -> None:
        """Start all periodic work; requests are served once the event loop runs."""
        signal.signal(signal.SIGHUP, self._on_sighup)
        log_event("started", callers=self.settings.callers, zone=self.settings.zone)
        self.host_records.begin()
        self.crash_records.begin()
        self.reactor.call_later(FEED_START_TIMEOUT_S, self.feed.begin)
        self.fleet.begin()
        self._watch_settings()
        self._flush_logs()

    # Configuration and instances.

    def _on_configuration(self, configuration: Configuration) -> None:
        for change in kind_changes(self._routes, configuration.routes):
            log_event(
                "route-kind-changed",
                version=configuration.version,
                **change._asdict(),
            )
        self._set_organisations(configuration)
        # Earlier deployments have neither and rely on one bound for all callers.
        self.request_buffers.bounds_callers = self.access.requires_keys or any(
            route.kind is RouteKind.UPLOAD for route in configuration.routes
        )
        self._routes = configuration.routes
        self._route_table = RouteTable(configuration.routes)
        self.placer.bodies.is_bounded = any(
            route.kind is RouteKind.UPLOAD for route in configuration.routes
        )
        self.placer.fair_services = fair_services(configuration)
        self.placer.balancing.on_routes(*routed_services(configuration.routes))
        self._set_rate_limits(configuration)
        self.fleet.send_heartbeat()

    def _set_organisations(self, configuration: Configuration) -> None:
        self.access.set_organisations(configuration.organisations)
        if self.access.requires_keys:
            log_event(
                "access-rules",
                version=configuration.version,
                organisations=len(configuration.organisations),
                valid_keys=self.access.valid_keys,
            )

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = self.reactor.clock.monotonic()
        self.store_contacts.on_heartbeat(heartbeat.version, heartbeat.store_age_s, now)
        self.feed.on_heartbeat(heartbeat)

    def _are_keys_confirmed(self) -> bool:
        """Return whether the keys known here may still be relied on."""
        bounds = self.settings.bounds
        return not bounds.strict_revocation or self._keys_age_s() <= bounds.revoke_s

    def _keys_age_s(self) -> float:
        """Return the seconds since the configuration was known to be the newest."""
        version, _, store_age_s = self.feed.sync_status()
        now = self.reactor.clock.monotonic()
        return min(store_age_s, self.store_contacts.age_s(version, now))

    def _log_confirmation(self) -> None:
        """Log when the keys can't be relied on any more, and when they can again."""
        is_confirmed = not self.access.requires_keys or self._are_keys_confirmed()
        if is_confirmed != self._were_keys_confirmed:
            self._were_keys_confirmed = is_confirmed
            age_s = self._keys_age_s()
            event = "keys-confirmed" if is_confirmed else "keys-unconfirmed"
            log_event(event, level="WARNING", age_s=age_s, version=self.feed.version)

    def _set_rate_limits(self, configuration: Configuration) -> None:
        """Set the limits, and before that which part of them this host has."""
        self.fleet.update_reach()
        self.quotas.bounds = self.settings.bounds.quotas
        now = self.reactor.clock.monotonic()
        self.quotas.set_limits(configuration.organisations, now)

    def _on_instances(self, changes: list[InstanceChange]) -> None:
        removed = [change.id for change in changes if change.instance is None]
        self.placer.forget(removed)
        self.pool.retain({instance.address for instance in self.registry.all()})
        self.fleet.send_heartbeat()
        self.placer.dispatch_queued(self.reactor.clock.monotonic())

    def _on_synced(self) -> None:
        self._check_ready()
        self.fleet.send_heartbeat()

    def _on_store_restored(self) -> None:
        self.host_records.on_store_restored()
        self.crash_records.on_store_restored()

    def _on_paths_changed(self) -> None:
        """Tell the other hosts, and place again what waits."""
        self.peer_table.reaches_instances = not self.paths.is_cut_off
        self.fleet.count_competing_hosts()
        self.fleet.send_heartbeat()
        if self.paths.is_cut_off:
            self.placer.reject_queued("no instance is reached")
        else:
            self.placer.health.forget_paths()

    def _check_ready(self) -> None:
        is_ready = self.feed.is_synced and not self._is_stopping
        if is_ready != self.peer_table.is_ready:
            log_event("readiness", ready=is_ready, version=self.feed.version)
            self.peer_table.is_ready = is_ready
            self.fleet.count_competing_hosts()

    def _find_route(self, host: str, target: str) -> tuple[Route | None, int]:
        return self._route_table.match(host, target), self.feed.version

    def _caller_limits(self) -> CallerLimits:
        configuration = self.feed.configuration
        return configuration.limits if configuration else CallerLimits()

    # Queries and peer requests.

    def _handle_query(self, method: str, target: str) -> SimpleResponse | None:
        query = self._adapter.parse_query(method, target)
        if isinstance(query, ReadinessQuery):
            return SimpleResponse(200 if self.peer_table.is_ready else 503)
        if isinstance(query, AddressQuery):
            return self._address_response()
        return None

    def _address_response(self) -> SimpleResponse:
        addresses = self.fleet.directory_addresses()
        if not addresses:
            return SimpleResponse(503)
        self.rng.shuffle(addresses)
        ttl_s = min(ADDRESS_TTL_S, self.settings.bounds.max_answer_ttl_s)
        return SimpleResponse(200, self._adapter.encode_addresses(addresses, ttl_s))

    def _handle_peer_request(
        self, method: str, target: str
    ) -> SimpleResponse | DeferredResponse | None:
        if target == "/metrics":
            return SimpleResponse(
                200, self.request_log.render(self._state_gauges()), "text/plain"
            )
        if target.split("?", 1)[0] == PREVIEW_PATH:
            return self._preview_response(method, target)
        try:
            version = version_to_confirm(target)
            if version is not None:
                return DeferredResponse(functools.partial(self._confirm_for, version))
            body = handle_relay_request(
                target,
                self.registry,
                self.feed.configuration,
                self.feed.is_synced,
                self.feed.recovery_left_s(),
            )
        except ValueError as exc:
            log_event("relay-request-unusable", level="WARNING", error=str(exc))
            return SimpleResponse(400)
        return None if body is None else SimpleResponse(200, body)

    def _confirm_for(
        self, version: int, respond: Callable[[SimpleResponse], None]
    ) -> None:
        """Respond to a peer that asks whether it has the newest configuration."""

        def on_done(is_confirmed: bool) -> None:
            if is_confirmed:
                body = encode_confirmation(self.feed.configuration, version)
                respond(SimpleResponse(200, body))
            else:
                respond(SimpleResponse(503))

        self.feed.confirm_at_store(on_done)

    def _preview_response(self, method: str, target: str) -> SimpleResponse:
        """Return where a request that the query describes would go now."""
        if method != "GET":
            return SimpleResponse(405)
        try:
            question = parse_question(target)
        except ValueError:
            return SimpleResponse(400)
        view = HostView(
            self.feed.configuration,
            self._find_route,
            self.splitter,
            self.placer,
            self.quotas,
            self.response_kb,
            self.paths.is_cut_off,
            self._are_keys_confirmed(),
        )
        preview = preview_request(question, view, self.reactor.clock.monotonic())
        return SimpleResponse(200, json.dumps(preview.to_json()).encode())

    def _state_gauges(self) -> dict[str, float]:
        version, position, age_s = self.feed.sync_status()
        now = self.reactor.clock.monotonic()
        return {
            "in_flight": self._in_flight(),
            "caller_connections": self.frontend.connections,
            "handover_connections": self.handover_frontend.connections,
            "directory_connections": self.directory.connections,
            "response_buffer_bytes": self.buffers.total_bytes,
            "request_buffer_bytes": self.request_buffers.total_bytes,
            "instance_body_kb": sum(self.placer.bodies.own.values()),
            "instance_paths_lost": float(self.paths.is_cut_off),
            "instances_unreached": self.paths.unreached,
            "path_probes": self.paths.pending_probes,
            "requests_awaiting_probes": self.paths.waiting,
            "requests_cut_by_crashes": self.crashes.crashes,
            "quarantined_requests": self.quarantine.count(now),
            "rate_limited_instances": self.placer.rate_limits.count(now),
            "limited_organisations": self.quotas.limited_count,
            "organisation_requests_admitted": self.quotas.admitted,
            "organisation_requests_refused": self.quotas.refused,
            "organisation_requests_refunded": self.quotas.refunded,
            "rate_limit_reach": self.quotas.reach,
            "paused_instances": self.placer.paused_count(now),
            "leaving_instances": len(self.placer.leaving()),
            "even_services": self.placer.balancing.even_count(),
            "waiting": sum(self.placer.queue_lengths().values()),
            "configuration_version": version,
            "store_era": position.era,
            "instances_revision": position.revision,
            "store_age_s": age_s,
            "valid_keys": self.access.valid_keys,
            "request_buffer_callers": self.request_buffers.callers,
            "keys_age_s": self._keys_age_s(),
            "instances_age_s": self.feed.instances_age_s,
            "removals_withheld": float(self.feed.withholds_removals),
            "store_calls": self._store_client.calls_made,
            "failed_callbacks": self.reactor.failed_callbacks,
            "log_lines_dropped": self._sink.dropped,
            **self._priority_gauges(),
        }

    def _priority_gauges(self) -> dict[str, float]:
        """Return the lengths of the queues and the rejections, by priority."""
        waiting = self.placer.lengths_by_priority()
        gauges = {f"waiting_priority_{one}": count for one, count in waiting.items()}
        for priority, count in self.placer.rejections.items():
            gauges[f"rejected_priority_{priority}"] = count
        return gauges

    def _flush_logs(self) -> None:
        """Write log lines that were held back because their reader was slow."""
        self.reactor.call_later(LOG_FLUSH_S, self._flush_logs)
        self._log_confirmation()
        now = self.reactor.clock.monotonic()
        for instance_id in self.placer.notices.pop_ended_pauses(now):
            log_event("instance-pause-ended", instance=instance_id)
        for change in self.placer.balancing.pop_changes():
            log_event("balancing-changed", **change._asdict())
        self._sink.flush()

    # Settings and shutdown.

    def _on_sighup(self, signo: int, frame: Any) -> None:
        self._sighup_received = True

    def _stat_settings(self) -> tuple[float, int] | None:
        path = self._adapter.settings_path
        try:
            stat = os.stat(path) if path else None
        except OSError:
            return None
        return None if stat is None else (stat.st_mtime, stat.st_size)

    def _watch_settings(self) -> None:
        """Reload the settings after SIGHUP or a change of the settings file.

        Only `bounds` takes effect; other changes are just logged.
        """
        self.reactor.call_later(SETTINGS_POLL_S, self._watch_settings)
        settings_stat = self._stat_settings()
        if not self._sighup_received and settings_stat == self._settings_stat:
            return
        self._sighup_received = False
        self._settings_stat = settings_stat
        try:
            settings = self._adapter.load_settings()
        except SettingsError as exc:
            log_event("reload-failed", level="ERROR", error=str(exc))
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        log_event("reloaded", changed=",".join(changed))
        self.settings = self.settings._replace(bounds=settings.bounds)
        self.placer.balancing.setting = settings.bounds.balancing

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event: Any, signo: int, stack: Any) -> None:
        event.stop()
        if signo in (signal.SIGTERM, signal.SIGINT) and not self._is_stopping:
            self._begin_stop()

    def _begin_stop(self) -> None:
        """Withdraw from discovery, wait until callers have noticed, then drain."""
        self._is_stopping = True
        self._check_ready()
        self.fleet.send_heartbeat()
        for frontend in self._frontends:
            frontend.announce_stop()
        grace_s = self.settings.bounds.grace_s - GRACE_MARGIN_S
        self.grace.begin(grace_s)
        log_event("leaving", in_flight=self._in_flight(), grace_s=grace_s)
        self.reactor.call_later(min(DRAIN_DELAY_S, grace_s / 2), self._drain)
        self.reactor.call_later(grace_s, self._on_grace_over)
        self._watch_unsent()

    def _watch_unsent(self) -> None:
        """Reject what is not sent yet as soon as it can't be finished any more."""
        self.reactor.call_later(DRAIN_POLL_S, self._watch_unsent)
        for frontend in self._frontends:
            frontend.on_stop_progress()

    def _on_grace_over(self) -> None:
        cut = self._in_flight()
        for frontend in self._frontends:
            frontend.on_grace_over()
        self._exit("grace-over", cut)

    def _drain(self) -> None:
        for frontend in self._frontends:
            frontend.stop_accepting()
        self._poll_drained()

    def _in_flight(self) -> int:
        return sum(frontend.in_flight for frontend in self._frontends)

    def _poll_drained(self) -> None:
        connections = sum(frontend.connections for frontend in self._frontends)
        if self._in_flight() == 0 and connections == 0:
            self._exit("drained")
            return
        self.reactor.call_later(DRAIN_POLL_S, self._poll_drained)

    def _exit(self, reason: str, cut: int = 0) -> None:
        log_event("stopped", reason=reason, cut=cut)
        self.stop()
