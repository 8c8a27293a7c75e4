"""The services whose removals this entry host grants, or may come to grant."""

from functools import partial
from typing import Any

from ..catalog import Service
from ..errors import WireError
from ..logs import log_event
from ..membership import home_set
from ..spread import ConfigState
from ..store import StoreObject
from .holder import Holder
from .messages import (
    FLOOR_KIND,
    GRANT_TTL_S,
    UNLISTED_HOLD_S,
    HolderEntry,
    PullAnswer,
    PullForm,
    PullItem,
    PullItemAnswer,
)
from .ownership import Ownership
from .parts import FloorParts
from .turns import Turns

__all__ = ["Holding", "Holdings"]

CLAIM_RANKS = 6
CLAIM_STEP_S = 2.0
"""Seconds by which each lower rank of the home set waits longer to claim."""


class Holding:
    """The title to one service, and the decisions while it is held here."""

    def __init__(self, ownership: Ownership) -> None:
        self.ownership = ownership
        self.holder: Holder | None = None
        self.vacant_since: float | None = None
        self.newest_version = 0
        self.reviewed_version = 0


class Holdings:
    """Claim titles, decide on removals and answer pulls."""

    def __init__(self, parts: FloorParts, turns: Turns) -> None:
        self._parts = parts
        self._turns = turns
        me = parts.membership.me
        self.me = HolderEntry(me.name, me.incarnation, me.peer_address)
        self._holdings: dict[str, Holding] = {}
        turns.subscribe(self._on_pause)
        _follow(parts.state, self)

    def get(self, service: str) -> Holding:
        """Return what is known of a service's title."""
        holding = self._holdings.get(service)
        if holding is None:
            parts = self._parts
            ownership = Ownership(
                service,
                self.me,
                parts.store,
                parts.state,
                parts.reactor.clock,
                self._turns.note,
            )
            holding = self._holdings[service] = Holding(ownership)
        return holding

    def take(self, obj: StoreObject) -> None:
        """Take a newer title."""
        self.get(obj.name).ownership.take(obj)

    def release(self) -> None:
        """Give up every title, because this process is about to end."""
        for holding in self._holdings.values():
            holding.ownership.release()

    def mind(self, served: list[str], now: float) -> None:
        """Review what is held here and claim what nobody holds."""
        is_cut_off = self._parts.membership.is_cut_off()
        for name, holding in list(self._holdings.items()):
            service = self._parts.catalog.get(name)
            if not holding.ownership.is_mine or service is None:
                holding.holder = None
                continue
            if is_cut_off:
                holding.ownership.suspend("cut-off", now)
            if holding.ownership.is_suspended:
                holding.ownership.confirm()
            self._review(holding, service, now)
        for name in served:
            if self._parts.catalog.get(name) is not None:
                self._consider_claim(self.get(name), now)

    def answer_pull(self, form: PullForm) -> PullAnswer:
        """Answer another entry host's pull, or this one's own."""
        now = self._turns.note()
        answers: dict[str, PullItemAnswer] = {}
        for name, item in form["services"].items():
            service = self._parts.catalog.get(name)
            if service is None:
                continue
            holding = self.get(name)
            self._take_item(holding, item, now)
            if holding.ownership.is_mine:
                answers[name] = self._answer_item(holding, service, now)
        return PullAnswer(services=answers)

    def may_grant(self, holding: Holding, service: Service, now: float) -> bool:
        """Return whether removals may be granted from here at this moment."""
        version = self._parts.catalog.version(service.name)
        if version < holding.newest_version or not self._turns.is_calm():
            return False
        return holding.ownership.may_grant(now)

    def _on_pause(self, now: float) -> None:
        for holding in self._holdings.values():
            holding.ownership.suspend("paused", now)

    # The title.

    def _consider_claim(self, holding: Holding, now: float) -> None:
        ownership = holding.ownership
        if ownership.is_mine or not self._is_vacant(ownership.holder):
            holding.vacant_since = None
            return
        if holding.vacant_since is None:
            holding.vacant_since = now
        rank = self._rank(ownership.service)
        if rank is None:
            return
        wait_s = self._hold_s(ownership.holder) + rank * CLAIM_STEP_S
        if now - holding.vacant_since >= wait_s:
            ownership.claim()

    def _is_vacant(self, holder: HolderEntry | None) -> bool:
        """Return whether a title has no holder, or one that seems to be gone.

        A host that is replaced under its name stays listed; then its earlier
        process counts as gone once it is known dead.
        """
        if holder is None or self._is_predecessor(holder):
            return True
        membership = self._parts.membership
        if membership.by_incarnation(holder.incarnation) is not None:
            return False
        is_replaced = membership.by_name(holder.name) is not None
        return is_replaced or not membership.is_listed(holder.name)

    def _hold_s(self, holder: HolderEntry | None) -> float:
        if holder is None or self._is_predecessor(holder):
            return 0.0
        return UNLISTED_HOLD_S

    def _is_predecessor(self, holder: HolderEntry) -> bool:
        """Return whether a holder was an earlier process at this node's address.

        Two processes cannot listen on one address, so the earlier one has ended.
        """
        return (
            holder.name == self.me.name
            and holder.peer_address == self.me.peer_address
            and holder.incarnation != self.me.incarnation
        )

    def _rank(self, service: str) -> int | None:
        """Return this node's place in the order of claims, None while it leaves.

        A node beyond the first places comes last: it may be the only one that the
        service's few callers use.
        """
        membership = self._parts.membership
        if membership.me.is_leaving:
            return None
        members = [one for one in membership.members() if not one.is_leaving]
        homes = home_set(service, members, CLAIM_RANKS)
        names = [one.name for one in homes]
        return names.index(self.me.name) if self.me.name in names else CLAIM_RANKS

    # The decisions.

    def _review(self, holding: Holding, service: Service, now: float) -> Holder:
        """Bring the decisions on a service up to date."""
        holder = holding.holder
        if holder is None:
            holder = holding.holder = Holder()
        holder.budget.note(service, self._leaving(service), now)
        holding.reviewed_version = self._parts.catalog.version(service.name)
        if self.may_grant(holding, service, now):
            self._decide(holder, service, now)
        return holder

    def _decide(self, holder: Holder, service: Service, now: float) -> None:
        health = self._parts.health
        before = set(holder.ejections)
        verdicts = health.verdicts(service)
        back = holder.review(
            verdicts, now, partial(health.ejection_time_s, service.name)
        )
        for name in back:
            health.begin_probation(service.name, name)
        _log_decisions(service.name, before, holder, now)

    def _leaving(self, service: Service) -> set[str]:
        leaving = self._parts.leaving
        return {
            one.name
            for one in service.instances
            if one.is_leaving or leaving.is_leaving(service.name, one.name)
        }

    def _take_item(self, holding: Holding, item: PullItem, now: float) -> None:
        ownership = holding.ownership
        if item["floor_version"] > ownership.version:
            ownership.suspend("newer-title", now)
        holding.newest_version = max(holding.newest_version, item["service_version"])
        if item["evidence"] is not None and ownership.is_mine:
            self._absorb(ownership.service, item["evidence"])

    def _absorb(self, service: str, evidence: Any) -> None:
        try:
            self._parts.health.merge_evidence(service, evidence)
        except WireError as exc:
            log_event("evidence-refused", "WARNING", service=service, detail=exc.detail)

    def _answer_item(
        self, holding: Holding, service: Service, now: float
    ) -> PullItemAnswer:
        answer = PullItemAnswer(
            floor_version=holding.ownership.version,
            grants=[],
            refused=[],
            ttl_s=GRANT_TTL_S,
            admits=None,
        )
        holder = holding.holder
        version = self._parts.catalog.version(service.name)
        if holder is None or version != holding.reviewed_version:
            holder = self._review(holding, service, now)
        if self.may_grant(holding, service, now):
            answer["grants"] = holder.grant(now)
            answer["refused"] = holder.refused
            if holder.is_settled(now):
                answer["admits"] = version
        return answer


def _follow(state: ConfigState, holdings: Holdings) -> None:
    """Tell the holdings of every title that is known or comes to be known."""

    def on_object(obj: StoreObject) -> None:
        if obj.kind == FLOOR_KIND:
            holdings.take(obj)

    state.subscribe(on_object)
    for obj in state.objects():
        on_object(obj)


def _log_decisions(service: str, before: set[str], holder: Holder, now: float) -> None:
    """Log what a holder's review began and ended."""
    for name in sorted(holder.ejections.keys() - before):
        log_event(
            "ejection-begun",
            service=service,
            instance=name,
            hold_s=holder.ejections[name].hold_until - now,
            limit=holder.budget.limit,
        )
    for name in sorted(before - holder.ejections.keys()):
        log_event("ejection-ended", service=service, instance=name)
