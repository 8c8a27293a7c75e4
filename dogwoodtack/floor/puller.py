"""Pull what holders grant, and carry this node's evidence to them."""

from collections import defaultdict
from typing import NamedTuple

from ..calls import Reply
from ..catalog import Service
from ..errors import WireError
from ..health import FULL_WEIGHT
from ..misc import Address
from .floor import Floor, log_changes
from .holdings import Holdings
from .messages import PullAnswer, PullForm, PullItem
from .parts import FloorParts
from .usage import Change, Event

__all__ = ["PULL_PATH", "Puller"]

PULL_PATH = "/floor/pull"
HTTP_OK = 200
BUSY_PULL_S = 1.0
IDLE_PULL_S = 5.0
PULL_TIMEOUT_S = 1.0
JITTER_S = 0.25


class _Round(NamedTuple):
    """The services that one holder is asked about."""

    services: list[Service]
    is_busy: bool


class Puller:
    """Ask each holder about all its services at once."""

    def __init__(self, parts: FloorParts, floor: Floor, holdings: Holdings) -> None:
        self._parts = parts
        self._floor = floor
        self._holdings = holdings
        self._pulled_at: dict[Address, float] = {}
        self._pulling: set[Address] = set()

    def pull_due(self, now: float) -> None:
        """Pull from each holder that is due.

        A holder is due at once where there is evidence for it or something is
        under way, and every IDLE_PULL_S otherwise.
        """
        rounds = self._rounds(now)
        for address, this in rounds.items():
            last = self._pulled_at.get(address, now - IDLE_PULL_S)
            if address in self._pulling or now - last < BUSY_PULL_S:
                continue
            form = self._form(this.services, address)
            has_evidence = any(item["evidence"] for item in form["services"].values())
            if has_evidence or this.is_busy or now - last >= IDLE_PULL_S:
                self._pulled_at[address] = now - self._parts.rng.uniform(0, JITTER_S)
                self._pull(address, form, now)
        self._pulled_at = {
            address: at for address, at in self._pulled_at.items() if address in rounds
        }

    def _rounds(self, now: float) -> dict[Address, _Round]:
        by_holder: dict[Address, list[Service]] = defaultdict(list)
        for name in self._floor.served(now):
            service = self._parts.catalog.get(name)
            holder = self._holdings.get(name).ownership.holder
            if service is not None and holder is not None:
                by_holder[holder.peer_address].append(service)
        return {
            address: _Round(
                services, any(self._wants_news(one, now) for one in services)
            )
            for address, services in by_holder.items()
        }

    def _wants_news(self, service: Service, now: float) -> bool:
        """Return whether something about a service is under way."""
        usage = self._floor.usage(service.name)
        if usage.granted(now):
            return True
        version = self._parts.catalog.version(service.name)
        if service.drains and not usage.is_admitted(version):
            return True
        health = self._parts.health
        if health.has_urgent_evidence(service.name):
            return True
        return any(
            health.weight(service.name, one.name) < FULL_WEIGHT
            for one in service.instances
        )

    def _form(self, services: list[Service], address: Address) -> PullForm:
        """Return a pull; a holder needs no evidence from itself."""
        is_self = address == self._holdings.me.peer_address
        return PullForm(
            services={one.name: self._item(one.name, is_self) for one in services}
        )

    def _item(self, service: str, is_self: bool) -> PullItem:
        evidence = None if is_self else self._parts.health.take_evidence(service)
        return PullItem(
            floor_version=self._holdings.get(service).ownership.version,
            service_version=self._parts.catalog.version(service),
            evidence=evidence,
        )

    def _pull(self, address: Address, form: PullForm, sent_at: float) -> None:
        if address == self._holdings.me.peer_address:
            self._take_answer(self._holdings.answer_pull(form), sent_at)
            return
        self._pulling.add(address)

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            self._pulling.discard(address)
            if reply is not None and reply.status == HTTP_OK:
                self._take_answer(reply.body, sent_at)

        self._parts.peers.call(address, PULL_PATH, form, on_reply, PULL_TIMEOUT_S)

    def _take_answer(self, answer: PullAnswer, sent_at: float) -> None:
        now = self._floor.turns.note()
        for name, item in answer["services"].items():
            service = self._parts.catalog.get(name)
            known = self._holdings.get(name).ownership.version
            if service is None or item["floor_version"] < known:
                continue
            usage = self._floor.usage(name)
            version = self._parts.catalog.version(name)
            self.note(name, usage.take_answer(item, service, version, sent_at, now))
            for instance in item["refused"]:
                self._parts.health.lower_weight(name, instance, item["ttl_s"])

    def note(self, service: str, changes: list[Change]) -> None:
        """Log changes and put instances that came back on trial.

        A holder does the latter once they are back in work everywhere.
        """
        log_changes(service, changes)
        is_held_here = self._holdings.get(service).ownership.is_mine
        for change in changes:
            if change.event is Event.RETURNED and not is_held_here:
                self._parts.health.begin_probation(service, change.instance)
