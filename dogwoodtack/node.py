"""Entry host: creates all components and wires them together on one loop."""

import random
import signal
from typing import Any

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from .backends import ConnectionPool
from .burn import BurnTracker, Objective
from .calls import Client
from .catalog import Catalog
from .clock import SystemClock
from .control import ControlServer, Route
from .discovery import Discovery, KeyPrefixCache
from .draining import DrainingInstances, DrainNoticeSender, DrainNotifier
from .errors import ErrorKind
from .floor import Floor, FloorControl, FloorDependencies
from .frontend import ExchangeDependencies, Frontend, RequestHistory
from .health import Health, HealthReport
from .intents import ENTRY_HOST_KIND, SERVICE_KIND, Intents
from .keys import KeyRules, KeyTable, PeerSettleSender, key_routes
from .limits import Limits
from .logs import log_event
from .membership import (
    Connectivity,
    Gossip,
    HostAssignments,
    HostListReader,
    Member,
    Membership,
)
from .metrics import Metrics
from .misc import Address, new_token
from .peers import PeerClient
from .reactor import Reactor
from .replication import ConfigState, ReplicationReport, Replicator
from .settings import Settings
from .store import Store, StoreObject
from .views import NodeViews

__all__ = ["Node"]

DRAIN_POLL_S = 0.05
DEFAULT_OBJECTIVE = Objective(good_ratio=0.999, slow_s=1.0)
ADMISSION_POLL_S = 0.1


class Node(BaseComponent):
    """Root component of the daemon."""

    channel = "node"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.incarnation = new_token()
        self.exit_code = 0
        self.is_stopping = False
        self._build_loop()
        self._build_state()
        self._build_frontend()
        self.views = NodeViews(self)
        self._build_control_servers()

    def _build_loop(self) -> None:
        clock = SystemClock()
        self.reactor = Reactor(clock, EPoll().register(self)).register(self)
        dial_timeout_s = self.settings.backends_dial_timeout_s
        self.client = Client(self.reactor, dial_timeout_s)
        self.peers = PeerClient(self.client, self.settings.peers_access_key)
        self.connectivity = Connectivity(
            self.reactor.clock, bool(self.settings.peers_seeds)
        )
        self.store = Store(
            self.client,
            self.settings.store_address,
            self.settings.store_timeout_s,
            self.connectivity.record_store_contact,
        )
        self.rng = random.Random()

    def _build_state(self) -> None:
        cfg = self.settings
        local_member = Member(
            name=cfg.node_name,
            incarnation=self.incarnation,
            zone=cfg.node_zone,
            caller_address=cfg.node_caller_address,
            peer_address=cfg.node_peer_address,
            is_ready=False,
        )
        self.metrics = Metrics()
        self.catalog = Catalog()
        self.burn = BurnTracker(self.reactor.clock, self._objective_for)
        self.state = ConfigState()
        self.state.subscribe(self._on_object)
        self.membership = Membership(local_member, self.reactor.clock.wall())
        self.assignments = HostAssignments(self.membership)
        self.gossip = Gossip(
            self.reactor,
            self.peers,
            self.membership,
            self.connectivity,
            cfg.peers_seeds,
            self.rng,
        )
        self.host_list_reader = HostListReader(
            self.reactor, self.store, self.membership
        )
        self.replicator = Replicator(
            self.reactor,
            self.peers,
            self.store,
            self.membership,
            self.connectivity,
            self.state,
            self.rng,
            bool(cfg.peers_seeds),
            self._on_synced,
            self.gossip.check_member,
        )
        self.replication_report = ReplicationReport(
            self.metrics.registry, self.membership, self.replicator, self.peers
        )
        self.keys = self._build_keys()
        report = HealthReport(self.metrics.registry)
        self.health = Health(self.reactor.clock, self.incarnation[:8], report.on_change)
        notice_sender = DrainNoticeSender(
            self.reactor, self.peers, self.membership, self.assignments, self.catalog
        )
        self.draining = DrainingInstances(self.reactor.clock, notice_sender.send)
        self.drain_notifier = DrainNotifier(
            self.reactor, self.client, self.catalog, self.membership, self.draining
        )
        self.floor = Floor(self.reactor.clock)
        deps = FloorDependencies(
            reactor=self.reactor,
            store=self.store,
            state=self.state,
            catalog=self.catalog,
            membership=self.membership,
            peers=self.peers,
            health=self.health,
            draining=self.draining,
            rng=self.rng,
        )
        self.floor_control = FloorControl(deps, self.floor)
        self.limits = Limits(
            self.reactor,
            self.catalog,
            self.health,
            self.floor,
            self.draining,
            self.rng,
        )

    def _build_keys(self) -> KeyTable:
        cfg = self.settings
        rules = KeyRules(
            epoch_s=cfg.keys_epoch_s,
            max_keys=cfg.keys_max_keys,
            max_response_bytes=cfg.keys_max_answer_bytes,
        )
        sender = PeerSettleSender(self.peers, self._peer_address)
        return KeyTable(self.incarnation, self.reactor.clock, rules, sender)

    def _peer_address(self, incarnation: str) -> Address | None:
        member = self.membership.by_incarnation(incarnation)
        return None if member is None else member.peer_address

    def _build_frontend(self) -> None:
        cfg = self.settings
        self.request_history = RequestHistory(self.metrics.count_request)
        self.key_prefix_cache = KeyPrefixCache(
            self.reactor, self.peers, lambda: self.keys.prefix, self.keys.window_s
        )
        discovery = Discovery(
            self.catalog,
            self.membership,
            self.assignments,
            self.key_prefix_cache,
            cfg.callers_discovery_ttl_s,
            self.rng,
        )
        deps = ExchangeDependencies(
            reactor=self.reactor,
            catalog=self.catalog,
            keys=self.keys,
            limits=self.limits,
            draining=self.draining,
            health=self.health,
            pool=ConnectionPool(self.reactor, cfg.backends_dial_timeout_s),
            burn=self.burn,
            request_history=self.request_history,
            confirm_configuration=self.replicator.confirm_configuration,
            max_body_bytes=cfg.callers_max_body_bytes,
            stall_timeout_s=cfg.callers_stall_timeout_s,
        )
        self.frontend = Frontend(
            deps,
            cfg.node_caller_address,
            discovery.handle_query,
            cfg.callers_max_connections,
            cfg.callers_head_timeout_s,
        )

    def _build_control_servers(self) -> None:
        cfg = self.settings
        self.intents = Intents(
            self.reactor,
            self.store,
            self.state,
            self.membership,
            cfg.operators_access_key,
        )
        ControlServer(
            "operator",
            cfg.node_operator_address,
            cfg.operators_access_key,
            self.operator_routes(),
        ).register(self)
        ControlServer(
            "peer", cfg.node_peer_address, cfg.peers_access_key, self.peer_routes()
        ).register(self)

    def operator_routes(self) -> list[Route]:
        """Return the routes of the operator port."""
        return [
            *self.views.routes(),
            *self.request_history.operator_routes(),
            *self.intents.operator_routes(),
            *self.floor_control.operator_routes(),
        ]

    def peer_routes(self) -> list[Route]:
        """Return the routes of the peer port."""
        return [
            *self.drain_notifier.routes(),
            *self.gossip.routes(),
            *self.replicator.routes(),
            *self.floor_control.routes(),
            *self.key_prefix_cache.routes(),
            *key_routes(self.keys),
        ]

    def _objective_for(self, name: str) -> Objective:
        service = self.catalog.get(name)
        if service is None:
            return DEFAULT_OBJECTIVE
        return Objective(service.good_ratio, service.slow_s)

    def _on_object(self, obj: StoreObject) -> None:
        if obj.kind == SERVICE_KIND:
            self.catalog.put(obj.name, obj.version, obj.value)
            service = self.catalog.get(obj.name)
            if service is not None:
                self.health.set_caution(service.name, service.caution)
        elif obj.kind == ENTRY_HOST_KIND and obj.name == self.settings.node_name:
            self._apply_own_drain(bool(obj.value and obj.value.get("leaving")))

    def _apply_own_drain(self, is_drained: bool) -> None:
        """Leave discovery, or return to it, as configured by an operator."""
        if self.is_stopping or is_drained == self.membership.local_member.is_leaving:
            return
        log_event("entry-host-drain", on=is_drained)
        if is_drained:
            self.gossip.announce_leaving()
        else:
            self.gossip.cancel_leaving()

    def start_components(self) -> None:
        """Start all components, after all of them have been created."""
        self.gossip.begin()
        self.host_list_reader.begin()
        self.replicator.begin()
        self.drain_notifier.begin()
        self._poll_admission()
        self.floor_control.begin()
        log_event("started", caller=self.frontend.address, incarnation=self.incarnation)

    def _poll_admission(self) -> None:
        """Reject new requests while the configuration may be out of date."""
        self.reactor.call_later(ADMISSION_POLL_S, self._poll_admission)
        self._update_rejection()

    def _on_synced(self) -> None:
        self.gossip.mark_ready()
        self._update_rejection()

    def _update_rejection(self) -> None:
        if self.frontend.rejection_kind is ErrorKind.DRAINING:
            return
        is_serving = (
            self.membership.local_member.is_ready and not self.membership.is_cut_off()
        )
        self.frontend.rejection_kind = None if is_serving else ErrorKind.CUT_OFF

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event: Any, signo: int, stack: Any) -> None:
        event.stop()
        if signo not in (signal.SIGTERM, signal.SIGINT):
            return
        if self.is_stopping:
            self._exit("second-signal")
            return
        self._begin_stop()

    def _begin_stop(self) -> None:
        """Leave discovery, wait for its TTL, then reject requests and drain."""
        self.is_stopping = True
        self.gossip.announce_leaving()
        self.frontend.announce_stop()
        self.floor_control.release()
        ttl_s = self.settings.callers_discovery_ttl_s
        log_event("leaving", in_flight=self.frontend.in_flight, wait_s=ttl_s)
        self.reactor.call_later(ttl_s, self._drain)
        limit_s = self.settings.stop_limit_s
        self.frontend.ends_at = self.reactor.clock.monotonic() + limit_s
        self.reactor.call_later(limit_s, self._exit, "stop-limit")

    def _drain(self) -> None:
        log_event("draining", in_flight=self.frontend.in_flight)
        self.frontend.rejection_kind = ErrorKind.DRAINING
        self.frontend.stop_accepting()
        self._poll_drained()

    def _poll_drained(self) -> None:
        if self.frontend.in_flight == 0 and self.frontend.connections == 0:
            self._exit("drained")
            return
        self.reactor.call_later(DRAIN_POLL_S, self._poll_drained)

    def _exit(self, reason: str) -> None:
        cut = self.frontend.close()
        log_event("stopped", reason=reason, cut=cut)
        self.exit_code = 1 if cut else 0
        self.stop()
