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
from .service import LoadView, ServiceLoad
from .waiter import Waiter

__all__ = ["Limits", "Waiter"]

WAIT_SHARE = 0.1
MAX_WAIT_SHARE = 0.25
WAIT_TURNS = 4
SPARED_RETRIES = 1.0
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
        """Spend from the retry budget; those over their share leave a part."""
        if not self._has_candidates(req, load):
            return False
        is_over = load.queue.is_over_share(req.customer, self._now())
        return load.budget.take(SPARED_RETRIES if is_over else 0.0)

    def _has_candidates(self, req: SlotRequest, load: ServiceLoad) -> bool:
        return self._picker.has_candidates(self._task(req, load))

    def _pick(self, req: SlotRequest, load: ServiceLoad) -> Instance | None:
        return self._picker.pick(self._task(req, load))

    def _task(self, req: SlotRequest, load: ServiceLoad) -> PickTask:
        return PickTask(
            service=self._current(req),
            load=load,
            exclude=req.exclude,
            now=self._now(),
            is_idempotent=req.is_idempotent,
        )

    def record(self, sample: Sample) -> None:
        """Learn from an attempt, after its slot was given back."""
        service = self._catalog.get(sample.service)
        if service is None:
            return
        load = self._load(service)
        load.forget_others(service)
        load.record(sample, len(service.instances), slots_of(service))
        self._serve_queue(load)

    def view(self) -> dict[str, LoadView]:
        """Return each service's load on this entry host, for operators."""
        return {name: load.view() for name, load in self._loads.items()}

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
        if not load.has_room(self._now()) or (load.queue and not waiter.req.is_retry):
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
        service = self._current(waiter.req)
        weight = service.shares.get(waiter.req.customer, USUAL_WEIGHT)
        load.queue.note_grant(waiter.req.customer, weight, now)
        if not waiter.req.exclude:
            load.budget.note_first(service.retry_ratio)
        slot = Slot(waiter.req.service.name, instance, self._on_release)
        waiter.on_slot(slot, None)

    def _enqueue(self, waiter: Waiter, load: ServiceLoad) -> None:
        req = waiter.req
        now = self._now()
        left_s = req.deadline - now
        wait_s = longest_wait_s(left_s, load)
        if load.expected_wait_s(req.customer, now) > wait_s:
            greedy = load.queue.most_greedy(req.customer, now)
            if greedy is None or left_s <= load.latency_s:
                self._refuse(waiter, ErrorKind.OVERLOADED)
                return
            load.queue.remove(greedy)
            self._refuse(greedy, ErrorKind.OVERLOADED)
        waiter.timer = self._reactor.call_later(wait_s, self._give_up, waiter, load)
        load.queue.push(waiter)
        self._wake_after_pause(load)

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
        now = self._now()
        load.note_release(now)
        load.instance(slot.instance.name, now).in_use -= 1
        self._serve_queue(load)

    def _wake_after_pause(self, load: ServiceLoad) -> None:
        pause_s = load.paused_until - self._now()
        if pause_s > 0 and load.queue and not load.is_waking:
            load.is_waking = True
            self._reactor.call_later(pause_s, self._wake, load)

    def _wake(self, load: ServiceLoad) -> None:
        load.is_waking = False
        self._serve_queue(load)

    def _serve_queue(self, load: ServiceLoad) -> None:
        self._wake_after_pause(load)
        while load.queue and load.has_room(self._now()):
            waiter = load.queue.peek(self._now())
            if waiter.is_done:
                load.queue.remove(waiter)
                continue
            instance = self._pick(waiter.req, load)
            if instance is not None:
                load.queue.remove(waiter)
                load.note_turn(self._now())
                self._grant(waiter, load, instance)
            elif self._has_candidates(waiter.req, load):
                return
            else:
                load.queue.remove(waiter)
                self._refuse(waiter, ErrorKind.NO_INSTANCE)


def longest_wait_s(left_s: float, load: ServiceLoad) -> float:
    """Return how long a request may wait with some seconds left.

    A few turns of the queue are allowed even where turns are slow, so that
    there is something to share out.
    """
    share_s = max(left_s * WAIT_SHARE, load.turn_s * WAIT_TURNS)
    return min(share_s, left_s * MAX_WAIT_SHARE, left_s - load.latency_s)


def slots_of(service: Service) -> int:
    """Return how many requests a service's back ends run at once."""
    return sum(instance.slots for instance in service.instances)
