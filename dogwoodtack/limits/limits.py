"""Slots on instances: who gets the next one, and who is turned away."""

import random

from ..catalog import Catalog, Instance, Service
from ..errors import ErrorKind
from ..floor import Floor
from ..health import Health, Sample
from ..leaving import Leaving
from ..reactor import Reactor
from .messages import OnSlot, Slot, SlotRequest
from .service import ServiceLoad
from .waiter import Waiter

__all__ = ["Limits", "Waiter"]

MAX_WAIT_SHARE = 0.1
USUAL_WEIGHT = 1.0
MIN_WEIGHT = 0.001


class Limits:
    """Choose an instance for each attempt and bound what waits."""

    def __init__(
        self,
        reactor: Reactor,
        catalog: Catalog,
        health: Health,
        floor: Floor,
        leaving: Leaving,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._catalog = catalog
        self._health = health
        self._floor = floor
        self._leaving = leaving
        self._rng = rng
        self._loads: dict[str, ServiceLoad] = {}

    def acquire(self, req: SlotRequest, on_slot: OnSlot) -> Waiter:
        """Give a slot to `on_slot(slot, kind)`, now or when one is free.

        A request that cannot be served in time is refused before this returns:
        NO_INSTANCE where no instance may take it, else OVERLOADED.
        """
        waiter = Waiter(req, on_slot)
        load = self._load(req.service)
        if not self._candidates(req):
            self._refuse(waiter, ErrorKind.NO_INSTANCE)
        elif req.is_retry and not load.budget.take():
            self._refuse(waiter, ErrorKind.OVERLOADED)
        elif not self._grant_now(waiter, load):
            self._enqueue(waiter, load)
        return waiter

    def record(self, sample: Sample) -> None:
        """Learn from an attempt, after its slot was given back."""
        service = self._catalog.get(sample.service)
        if service is None:
            return
        load = self._load(service)
        load.forget_others(service)
        load.record(sample, slots_of(service))
        self._serve_queue(load)

    def _load(self, service: Service) -> ServiceLoad:
        load = self._loads.get(service.name)
        if load is None:
            load = ServiceLoad(self._now(), slots_of(service))
            self._loads[service.name] = load
        return load

    def _now(self) -> float:
        return self._reactor.clock.monotonic()

    def _current(self, req: SlotRequest) -> Service:
        """Return the service as it stands now, which may be newer than asked."""
        return self._catalog.get(req.service.name) or req.service

    # Choosing an instance.

    def _candidates(self, req: SlotRequest) -> list[Instance]:
        service = self._current(req)
        load = self._load(service)
        now = self._now()
        present = []
        for instance in service.instances:
            if self._is_away(service.name, instance):
                load.instance(instance.name, now).note_away()
            elif instance.name not in req.exclude:
                present.append(instance)
        return present

    def _is_away(self, service: str, instance: Instance) -> bool:
        return (
            instance.is_leaving
            or self._leaving.is_leaving(service, instance.name)
            or self._floor.is_removed(service, instance.name)
        )

    def _pick(self, req: SlotRequest, load: ServiceLoad) -> Instance | None:
        """Return the cheaper of two instances drawn by weight, or None."""
        now = self._now()
        free = [
            instance
            for instance in self._candidates(req)
            if load.instance(instance.name, now).in_use < instance.slots
        ]
        if len(free) < 2:
            return free[0] if free else None
        weights = [self._weight(req.service.name, one, load, now) for one in free]
        drawn = self._rng.choices(free, weights, k=2)
        return min(
            drawn,
            key=lambda one: load.instance(one.name, now).cost(now, load.latency_s),
        )

    def _weight(
        self, service: str, instance: Instance, load: ServiceLoad, now: float
    ) -> float:
        known = load.instance(instance.name, now)
        weight = self._health.weight(service, instance.name) * known.ramp(now)
        return max(MIN_WEIGHT, weight)

    # Granting, queueing and refusing.

    def _grant_now(self, waiter: Waiter, load: ServiceLoad) -> bool:
        if not load.has_room or (load.queue and not waiter.req.is_retry):
            return False
        return self._grant(waiter, load)

    def _grant(self, waiter: Waiter, load: ServiceLoad) -> bool:
        instance = self._pick(waiter.req, load)
        if instance is None:
            return False
        waiter.cancel()
        now = self._now()
        known = load.instance(instance.name, now)
        known.note_present(now)
        known.in_use += 1
        load.in_use += 1
        if not waiter.req.is_retry:
            load.budget.note_first(self._current(waiter.req).retry_ratio)
        slot = Slot(waiter.req.service.name, instance, self._on_release)
        waiter.on_slot(slot, None)
        return True

    def _enqueue(self, waiter: Waiter, load: ServiceLoad) -> None:
        req = waiter.req
        weight = self._current(req).shares.get(req.customer, USUAL_WEIGHT)
        left_s = req.deadline - self._now()
        if load.expected_wait_s(req.customer, weight) > left_s * MAX_WAIT_SHARE:
            greedy = load.queue.most_greedy(req.customer, weight)
            if greedy is None or left_s <= load.latency_s:
                self._refuse(waiter, ErrorKind.OVERLOADED)
                return
            load.queue.remove(greedy)
            self._refuse(greedy, ErrorKind.OVERLOADED)
        wait_s = min(left_s * MAX_WAIT_SHARE, left_s - load.latency_s)
        waiter.timer = self._reactor.call_later(wait_s, self._give_up, waiter, load)
        load.queue.push(waiter, weight)

    def _give_up(self, waiter: Waiter, load: ServiceLoad) -> None:
        """Refuse a waiter that has waited for as long as makes sense."""
        load.queue.remove(waiter)
        self._refuse(waiter, ErrorKind.OVERLOADED)

    def _refuse(self, waiter: Waiter, kind: ErrorKind) -> None:
        if not waiter.is_done:
            waiter.cancel()
            waiter.on_slot(None, kind)

    def _on_release(self, slot: Slot) -> None:
        load = self._loads[slot.service]
        load.in_use -= 1
        load.instance(slot.instance.name, self._now()).in_use -= 1
        self._serve_queue(load)

    def _serve_queue(self, load: ServiceLoad) -> None:
        while load.queue and load.has_room:
            waiter = load.queue.peek()
            if waiter.is_done:
                load.queue.pop()
            elif not self._candidates(waiter.req):
                load.queue.pop()
                self._refuse(waiter, ErrorKind.NO_INSTANCE)
            elif self._pick(waiter.req, load) is None:
                return
            else:
                load.queue.pop()
                load.note_turn(self._now())
                if not self._grant(waiter, load):
                    self._refuse(waiter, ErrorKind.OVERLOADED)


def slots_of(service: Service) -> int:
    """Return how many requests a service's back ends run at once."""
    return sum(instance.slots for instance in service.instances)
