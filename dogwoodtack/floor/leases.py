"""The leases of services: claims, ejection decisions and responses to pulls."""

from functools import partial
from typing import Any

from ..catalog import Service
from ..errors import WireError
from ..logs import log_event
from ..membership import assigned_hosts
from ..replication import ConfigState
from ..store import StoreObject
from .dependencies import FloorDependencies
from .holder import Holder
from .messages import (
    FLOOR_KIND,
    GRANT_TTL_S,
    TAKEOVER_WAIT_S,
    HolderEntry,
    PullItem,
    PullItemResponse,
    PullRequest,
    PullResponse,
)
from .ownership import LeaseOwnership
from .pauses import PauseDetector

__all__ = ["LeaseManager", "ServiceLease"]

CLAIM_RANKS = 6
CLAIM_RANK_DELAY_S = 2.0
"""Seconds of delay added to a claim for each place further down the order of claims."""


class ServiceLease:
    """The lease of one service, and the decisions while it is held here.

    Attributes:
        ownership: who holds the lease.
        holder: the decisions, None before the first review and once the lease is lost.
        vacant_since: boottime in seconds since when the lease has been vacant, None
            while it is not.
        newest_version: the newest version of the service in any pull.
        reviewed_version: the version of the service at the last review.
    """

    def __init__(self, ownership: LeaseOwnership) -> None:
        self.ownership = ownership
        self.holder: Holder | None = None
        self.vacant_since: float | None = None
        self.newest_version = 0
        self.reviewed_version = 0


class LeaseManager:
    """Claim leases, decide on removals and respond to pulls."""

    def __init__(self, deps: FloorDependencies, pause_detector: PauseDetector) -> None:
        self._deps = deps
        self._pause_detector = pause_detector
        local_member = deps.membership.local_member
        self.local_holder = HolderEntry(
            local_member.name, local_member.incarnation, local_member.peer_address
        )
        self._leases: dict[str, ServiceLease] = {}
        pause_detector.subscribe(self._on_pause)
        _subscribe(deps.state, self)

    def get(self, service: str) -> ServiceLease:
        """Return the lease of a service."""
        lease = self._leases.get(service)
        if lease is None:
            deps = self._deps
            ownership = LeaseOwnership(
                service,
                self.local_holder,
                deps.store,
                deps.state,
                deps.reactor.clock,
                self._pause_detector.check,
            )
            lease = self._leases[service] = ServiceLease(ownership)
        return lease

    def apply(self, obj: StoreObject) -> None:
        """Apply a newer version of a lease object."""
        self.get(obj.name).ownership.apply(obj)

    def release(self) -> None:
        """Release every lease before the process exits."""
        for lease in self._leases.values():
            lease.ownership.release()

    def review_and_claim(self, served: list[str], now: float) -> None:
        """Review the leases held here and claim vacant leases of served services."""
        is_cut_off = self._deps.membership.is_cut_off()
        for name, lease in list(self._leases.items()):
            service = self._deps.catalog.get(name)
            if not lease.ownership.is_mine or service is None:
                lease.holder = None
                continue
            if is_cut_off:
                lease.ownership.suspend("cut-off", now)
            if lease.ownership.is_suspended:
                lease.ownership.confirm()
            self._review(lease, service, now)
        for name in served:
            if self._deps.catalog.get(name) is not None:
                self._claim_if_due(self.get(name), now)

    def handle_pull(self, request: PullRequest) -> PullResponse:
        """Return the response to another entry host's pull, or to this one's own."""
        now = self._pause_detector.check()
        responses: dict[str, PullItemResponse] = {}
        for name, item in request["services"].items():
            service = self._deps.catalog.get(name)
            if service is None:
                continue
            lease = self.get(name)
            self._apply_item(lease, item, now)
            if lease.ownership.is_mine:
                responses[name] = self._build_item(lease, service, now)
        return PullResponse(services=responses)

    def may_grant(self, lease: ServiceLease, service: Service, now: float) -> bool:
        """Return whether removals may be granted from here at this moment."""
        version = self._deps.catalog.version(service.name)
        if version < lease.newest_version or not self._pause_detector.is_stable():
            return False
        return lease.ownership.may_grant(now)

    def _on_pause(self, now: float) -> None:
        for lease in self._leases.values():
            lease.ownership.suspend("paused", now)

    # Claims.

    def _claim_if_due(self, lease: ServiceLease, now: float) -> None:
        ownership = lease.ownership
        if ownership.is_mine or not self._is_vacant(ownership.holder):
            lease.vacant_since = None
            return
        if lease.vacant_since is None:
            lease.vacant_since = now
        rank = self._claim_rank(ownership.service)
        if rank is None:
            return
        wait_s = self._takeover_wait_s(ownership.holder) + rank * CLAIM_RANK_DELAY_S
        if now - lease.vacant_since >= wait_s:
            ownership.claim()

    def _is_vacant(self, holder: HolderEntry | None) -> bool:
        """Return whether a lease has no holder, or one that seems to have ended.

        A host that is replaced under its name stays listed; its earlier process counts
        as ended once it is known dead.
        """
        if holder is None or self._is_predecessor(holder):
            return True
        membership = self._deps.membership
        if membership.by_incarnation(holder.incarnation) is not None:
            return False
        is_replaced = membership.by_name(holder.name) is not None
        return is_replaced or not membership.is_listed(holder.name)

    def _takeover_wait_s(self, holder: HolderEntry | None) -> float:
        if holder is None or self._is_predecessor(holder):
            return 0.0
        return TAKEOVER_WAIT_S

    def _is_predecessor(self, holder: HolderEntry) -> bool:
        """Return whether a holder was an earlier process at this node's address.

        Two processes cannot listen on one address, so the earlier one has ended.
        """
        return (
            holder.name == self.local_holder.name
            and holder.peer_address == self.local_holder.peer_address
            and holder.incarnation != self.local_holder.incarnation
        )

    def _claim_rank(self, service: str) -> int | None:
        """Return this node's place in the order of claims, None while it is leaving.

        Every node beyond the first CLAIM_RANKS gets the last place rather than none: it
        may be the only one that the service's few callers use.
        """
        membership = self._deps.membership
        if membership.local_member.is_leaving:
            return None
        members = [one for one in membership.members() if not one.is_leaving]
        ranked = assigned_hosts(service, members, CLAIM_RANKS)
        names = [one.name for one in ranked]
        return (
            names.index(self.local_holder.name)
            if self.local_holder.name in names
            else CLAIM_RANKS
        )

    # Decisions.

    def _review(self, lease: ServiceLease, service: Service, now: float) -> Holder:
        """Update the budget of a service and, if grants are allowed, its ejections."""
        holder = lease.holder
        if holder is None:
            holder = lease.holder = Holder()
        holder.budget.update(service, self._draining_names(service), now)
        lease.reviewed_version = self._deps.catalog.version(service.name)
        if self.may_grant(lease, service, now):
            self._decide(holder, service, now)
        return holder

    def _decide(self, holder: Holder, service: Service, now: float) -> None:
        health = self._deps.health
        before = set(holder.ejections)
        verdicts = health.verdicts(service)
        returned = holder.review(
            verdicts, now, partial(health.ejection_time_s, service.name)
        )
        for name in returned:
            health.begin_probation(service.name, name)
        _log_decisions(service.name, before, holder, now)

    def _draining_names(self, service: Service) -> set[str]:
        draining = self._deps.draining
        return {
            one.name
            for one in service.instances
            if one.is_draining or draining.is_draining(service.name, one.name)
        }

    def _apply_item(self, lease: ServiceLease, item: PullItem, now: float) -> None:
        ownership = lease.ownership
        if item["floor_version"] > ownership.version:
            ownership.suspend("newer-title", now)
        lease.newest_version = max(lease.newest_version, item["service_version"])
        if item["evidence"] is not None and ownership.is_mine:
            self._merge_evidence(ownership.service, item["evidence"])

    def _merge_evidence(self, service: str, evidence: Any) -> None:
        try:
            self._deps.health.merge_evidence(service, evidence)
        except WireError as exc:
            log_event("evidence-refused", "WARNING", service=service, detail=exc.detail)

    def _build_item(
        self, lease: ServiceLease, service: Service, now: float
    ) -> PullItemResponse:
        response = PullItemResponse(
            floor_version=lease.ownership.version,
            grants=[],
            refused=[],
            ttl_s=GRANT_TTL_S,
            admits=None,
        )
        holder = lease.holder
        version = self._deps.catalog.version(service.name)
        if holder is None or version != lease.reviewed_version:
            holder = self._review(lease, service, now)
        if self.may_grant(lease, service, now):
            response["grants"] = holder.grant(now)
            response["refused"] = holder.refused
            if holder.can_admit_drains(now):
                response["admits"] = version
        return response


def _subscribe(state: ConfigState, leases: LeaseManager) -> None:
    """Pass every known lease object, and each later update of one, to the manager."""

    def on_object(obj: StoreObject) -> None:
        if obj.kind == FLOOR_KIND:
            leases.apply(obj)

    state.subscribe(on_object)
    for obj in state.objects():
        on_object(obj)


def _log_decisions(service: str, before: set[str], holder: Holder, now: float) -> None:
    """Log the ejections that a holder's review began and ended."""
    for name in sorted(holder.ejections.keys() - before):
        log_event(
            "ejection-begun",
            service=service,
            instance=name,
            hold_s=holder.ejections[name].ejected_until - now,
            limit=holder.budget.limit,
        )
    for name in sorted(before - holder.ejections.keys()):
        log_event("ejection-ended", service=service, instance=name)
