"""Slots on instances: who gets the next one, and who is turned away."""

import random

from ..catalog import Catalog, Instance, Service
from ..errors import ErrorKind
from ..floor import Floor
from ..health import Health, Sample
from ..leaving import Leaving
from ..reactor import Reactor
from .messages import OnSlot, Slot, SlotRequest
from .pick import Picker, PickTask
from .service import ServiceLoad
from .waiter import Waiter

__all__ = ["Limits", "Waiter"]

MAX_WAIT_SHARE = 0.1
USUAL_WEIGHT = 1.0


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
        self._picker = Picker(health, floor, leaving, rng)
        self._loads: dict[str, ServiceLoad] = {}

    def acquire(self, req: SlotRequest, on_slot: OnSlot) -> Waiter:
        """Give a slot to `on_slot(slot, kind)`, now or when one is free.

        A request that cannot be served in time is refused before this returns:
        NO_INSTANCE where no instance may take it, else OVERLOADED.
        """
        waiter = Waiter(req, on_slot)
        load = self._load(req.service)
        if req.is_retry and not self._may_retry(req, load):
            self._refuse(waiter, ErrorKind.OVERLOADED)
        elif self._grant_now(waiter, load):
            return waiter
        elif not self._has_candidates(req, load):
            self._refuse(waiter, ErrorKind.NO_INSTANCE)
        else:
            self._enqueue(waiter, load)
        return waiter

    def _may_retry(self, req: SlotRequest, load: ServiceLoad) -> bool:
        return self._has_candidates(req, load) and load.budget.take()

    def _has_candidates(self, req: SlotRequest, load: ServiceLoad) -> bool:
        return self._picker.has_candidates(self._task(req, load))

    def _pick(self, req: SlotRequest, load: ServiceLoad) -> Instance | None:
        return self._picker.pick(self._task(req, load))

    def _task(self, req: SlotRequest, load: ServiceLoad) -> PickTask:
        return PickTask(self._current(req), load, req.exclude, self._now())

    def record(self, sample: Sample) -> None:
        """Learn from an attempt, after its slot was given back."""
        service = self._catalog.get(sample.service)
        if service is None:
            return
        load = self._load(service)
        load.forget_others(service)
        load.record(sample, len(service.instances), slots_of(service))
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

    # Granting, queueing and refusing.

    def _grant_now(self, waiter: Waiter, load: ServiceLoad) -> bool:
        if not load.has_room or (load.queue and not waiter.req.is_retry):
            return False
        instance = self._pick(waiter.req, load)
        if instance is None:
            return False
        self._grant(waiter, load, instance)
        return True

    def _grant(self, waiter: Waiter, load: ServiceLoad, instance: Instance) -> None:
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
                continue
            instance = self._pick(waiter.req, load)
            if instance is not None:
                load.queue.pop()
                load.note_turn(self._now())
                self._grant(waiter, load, instance)
            elif self._has_candidates(waiter.req, load):
                return
            else:
                load.queue.pop()
                self._refuse(waiter, ErrorKind.NO_INSTANCE)


def slots_of(service: Service) -> int:
    """Return how many requests a service's back ends run at once."""
    return sum(instance.slots for instance in service.instances)
