"""Pulls of grants from holders, which also carry this node's evidence to them."""

from collections import defaultdict
from typing import NamedTuple

from ..calls import Reply
from ..catalog import Service
from ..errors import WireError
from ..health import FULL_WEIGHT
from ..logs import log_event
from ..misc import Address
from .dependencies import FloorDependencies
from .floor import Floor, log_changes
from .leases import LeaseManager
from .messages import PullItem, PullRequest, PullResponse
from .removals import Change, Event

__all__ = ["PULL_PATH", "Puller"]

PULL_PATH = "/floor/pull"
HTTP_OK = 200
ACTIVE_PULL_INTERVAL_S = 1.0
IDLE_PULL_INTERVAL_S = 5.0
PULL_TIMEOUT_S = 1.0
MAX_JITTER_S = 0.25


class _PullTarget(NamedTuple):
    """The services to pull from one holder, and whether any of them is active."""

    services: list[Service]
    is_active: bool


class Puller:
    """Pull all services of a holder in one request."""

    def __init__(
        self, deps: FloorDependencies, floor: Floor, leases: LeaseManager
    ) -> None:
        self._deps = deps
        self._floor = floor
        self._leases = leases
        self._pulled_at: dict[Address, float] = {}
        self._pulling: set[Address] = set()

    def pull_due(self, now: float) -> None:
        """Pull from each holder that is due.

        A holder is due every ACTIVE_PULL_INTERVAL_S while there is evidence for it or
        one of its services is active, and every IDLE_PULL_INTERVAL_S otherwise.
        """
        targets = self._targets(now)
        for address, target in targets.items():
            last = self._pulled_at.get(address, now - IDLE_PULL_INTERVAL_S)
            if address in self._pulling or now - last < ACTIVE_PULL_INTERVAL_S:
                continue
            request = self._build_request(target.services, address)
            has_evidence = any(
                item["evidence"] for item in request["services"].values()
            )
            if has_evidence or target.is_active or now - last >= IDLE_PULL_INTERVAL_S:
                self._pulled_at[address] = now - self._deps.rng.uniform(0, MAX_JITTER_S)
                self._pull(address, request, now)
        self._pulled_at = {
            address: at for address, at in self._pulled_at.items() if address in targets
        }

    def _targets(self, now: float) -> dict[Address, _PullTarget]:
        by_holder: dict[Address, list[Service]] = defaultdict(list)
        for name in self._floor.served(now):
            service = self._deps.catalog.get(name)
            holder = self._leases.get(name).ownership.holder
            if service is not None and holder is not None:
                by_holder[holder.peer_address].append(service)
        return {
            address: _PullTarget(
                services, any(self._is_active(one, now) for one in services)
            )
            for address, services in by_holder.items()
        }

    def _is_active(self, service: Service, now: float) -> bool:
        """Return whether a service has grants, pending drains or instances in doubt."""
        removals = self._floor.removals(service.name)
        if removals.granted(now):
            return True
        version = self._deps.catalog.version(service.name)
        if service.drains and not removals.is_admitted(version):
            return True
        health = self._deps.health
        if health.has_urgent_evidence(service.name):
            return True
        return any(
            health.weight(service.name, one.name) < FULL_WEIGHT
            for one in service.instances
        )

    def _build_request(self, services: list[Service], address: Address) -> PullRequest:
        """Return a pull request; a holder needs no evidence from itself."""
        is_self = address == self._leases.local_holder.peer_address
        return PullRequest(
            services={one.name: self._build_item(one.name, is_self) for one in services}
        )

    def _build_item(self, service: str, is_self: bool) -> PullItem:
        evidence = None if is_self else self._deps.health.take_evidence(service)
        return PullItem(
            floor_version=self._leases.get(service).ownership.version,
            service_version=self._deps.catalog.version(service),
            evidence=evidence,
        )

    def _pull(self, address: Address, request: PullRequest, sent_at: float) -> None:
        if address == self._leases.local_holder.peer_address:
            self._apply_response(self._leases.handle_pull(request), sent_at)
            return
        self._pulling.add(address)

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            self._pulling.discard(address)
            if reply is not None and reply.status == HTTP_OK:
                self._apply_response(reply.body, sent_at)
                return
            status = None if reply is None else reply.status
            log_event("pull-failed", holder=address, status=status, error=exc)

        self._deps.peers.call(address, PULL_PATH, request, on_reply, PULL_TIMEOUT_S)

    def _apply_response(self, response: PullResponse, sent_at: float) -> None:
        now = self._floor.pause_detector.check()
        for name, item in response["services"].items():
            service = self._deps.catalog.get(name)
            known = self._leases.get(name).ownership.version
            if service is None or item["floor_version"] < known:
                continue
            removals = self._floor.removals(name)
            version = self._deps.catalog.version(name)
            self.handle_changes(
                name, removals.apply_response(item, service, version, sent_at, now)
            )
            for instance in item["refused"]:
                self._deps.health.lower_weight(name, instance, item["ttl_s"])

    def handle_changes(self, service: str, changes: list[Change]) -> None:
        """Log changes and begin the probation of instances that returned.

        Where this node holds the lease, the probation begins later, once the instance
        is back in rotation on every entry host.
        """
        log_changes(service, changes)
        is_held_here = self._leases.get(service).ownership.is_mine
        for change in changes:
            if change.event is Event.RETURNED and not is_held_here:
                self._deps.health.begin_probation(service, change.instance)
