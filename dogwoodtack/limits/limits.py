"""Slots on instances: who gets the next one, and who is turned away."""

import random
from collections import defaultdict, deque

from ..catalog import Catalog, Instance, Service
from ..errors import ErrorKind
from ..floor import Floor
from ..health import Health
from ..leaving import Leaving
from ..reactor import Reactor, Timer
from .messages import OnSlot, Slot, SlotRequest

__all__ = ["Limits", "Waiter"]

MAX_QUEUE_PER_SLOT = 2


class Waiter:
    """One queued request; `cancel` takes it out of the queue."""

    def __init__(self, req: SlotRequest, on_slot: OnSlot) -> None:
        self.req = req
        self.on_slot = on_slot
        self.timer: Timer | None = None
        self.is_done = False

    def cancel(self) -> None:
        """Wait no longer; the callback is not called any more."""
        self.is_done = True
        if self.timer is not None:
            self.timer.cancel()


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
        self._in_use: dict[tuple[str, str], int] = defaultdict(int)
        self._queues: dict[str, deque[Waiter]] = defaultdict(deque)

    def acquire(self, req: SlotRequest, on_slot: OnSlot) -> Waiter:
        """Give a slot to `on_slot(slot, kind)`, now or when one is free."""
        waiter = Waiter(req, on_slot)
        if not self._candidates(req.service, req.exclude):
            self._refuse(waiter, ErrorKind.NO_INSTANCE)
            return waiter
        instance = self._pick(req)
        if instance is not None:
            self._grant(waiter, instance)
            return waiter
        queue = self._queues[req.service.name]
        slots = sum(instance.slots for instance in req.service.instances)
        if len(queue) >= MAX_QUEUE_PER_SLOT * slots:
            self._refuse(waiter, ErrorKind.OVERLOADED)
            return waiter
        wait_s = req.deadline - self._reactor.clock.monotonic()
        waiter.timer = self._reactor.call_later(
            wait_s, self._refuse, waiter, ErrorKind.DEADLINE_PASSED
        )
        queue.append(waiter)
        return waiter

    def _candidates(self, service: Service, exclude: frozenset[str]) -> list[Instance]:
        return [
            instance
            for instance in service.instances
            if instance.name not in exclude
            and not instance.is_leaving
            and not self._leaving.is_leaving(service.name, instance.name)
            and not self._floor.is_removed(service.name, instance.name)
        ]

    def _pick(self, req: SlotRequest) -> Instance | None:
        """Return the less loaded of two instances drawn at random, or None."""
        name = req.service.name
        free = [
            instance
            for instance in self._candidates(req.service, req.exclude)
            if self._in_use[name, instance.name] < instance.slots
        ]
        if not free:
            return None
        weights = [self._health.weight(name, instance.name) for instance in free]
        drawn = self._rng.choices(free, weights, k=2)
        return min(drawn, key=lambda one: self._in_use[name, one.name] / one.slots)

    def _grant(self, waiter: Waiter, instance: Instance) -> None:
        waiter.cancel()
        name = waiter.req.service.name
        self._in_use[name, instance.name] += 1
        waiter.on_slot(Slot(name, instance, self._on_release), None)

    def _refuse(self, waiter: Waiter, kind: ErrorKind) -> None:
        if not waiter.is_done:
            waiter.cancel()
            waiter.on_slot(None, kind)

    def _on_release(self, slot: Slot) -> None:
        self._in_use[slot.service, slot.instance.name] -= 1
        queue = self._queues[slot.service]
        while queue:
            if queue[0].is_done:
                queue.popleft()
                continue
            instance = self._pick(queue[0].req)
            if instance is None:
                return
            self._grant(queue.popleft(), instance)
