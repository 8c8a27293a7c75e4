"""Slots on instances: which request gets the next one and which is rejected."""

import random

from ..catalog import Catalog, Instance, Service
from ..draining import DrainingInstances
from ..errors import ErrorKind
from ..floor import Floor
from ..health import Health, Sample
from ..reactor import Reactor
from .messages import OnSlot, Slot, SlotRequest
from .pick import Picker, PickInfo
from .service import LoadView, ServiceLoad
from .waiter import Waiter

__all__ = ["Limits", "Waiter"]

WAIT_DEADLINE_SHARE = 0.1
MAX_WAIT_DEADLINE_SHARE = 0.25
MIN_WAIT_DEQUEUES = 4
RESERVED_RETRY_TOKENS = 1.0
DEFAULT_CUSTOMER_WEIGHT = 1.0


class Limits:
    """Choose an instance for each attempt and limit how long requests queue."""

    def __init__(
        self,
        reactor: Reactor,
        catalog: Catalog,
        health: Health,
        floor: Floor,
        draining: DrainingInstances,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._catalog = catalog
        self._picker = Picker(health, floor, draining, rng)
        self._loads: dict[str, ServiceLoad] = {}

    def acquire(self, req: SlotRequest, on_slot: OnSlot) -> Waiter:
        """Pass a slot to `on_slot(slot, None)`, now or when one becomes free.

        A request that cannot be served in time is rejected before this returns, by
        `on_slot(None, kind)`: NO_INSTANCE if no instance may take it, else
        OVERLOADED; a retry gets OVERLOADED in both cases.  A queued request may
        still be rejected later.
        """
        waiter = Waiter(req, on_slot)
        load = self._load(req.service)
        if req.is_retry and not self._may_retry(req, load):
            self._reject(waiter, ErrorKind.OVERLOADED)
        elif self._try_grant(waiter, load):
            return waiter
        elif not self._has_eligible_instance(req, load):
            self._reject(waiter, ErrorKind.NO_INSTANCE)
        else:
            self._enqueue(waiter, load)
        return waiter

    def _may_retry(self, req: SlotRequest, load: ServiceLoad) -> bool:
        """Spend a token of the retry budget.

        Customers over their fair share must leave one token for the others.
        """
        if not self._has_eligible_instance(req, load):
            return False
        is_over = load.queue.is_over_share(req.customer, self._now())
        return load.budget.try_spend(RESERVED_RETRY_TOKENS if is_over else 0.0)

    def _has_eligible_instance(self, req: SlotRequest, load: ServiceLoad) -> bool:
        return self._picker.has_eligible_instance(self._pick_info(req, load))

    def _pick(self, req: SlotRequest, load: ServiceLoad) -> Instance | None:
        return self._picker.pick(self._pick_info(req, load))

    def _pick_info(self, req: SlotRequest, load: ServiceLoad) -> PickInfo:
        return PickInfo(
            service=self._current_service(req),
            load=load,
            exclude=req.exclude,
            now=self._now(),
            is_idempotent=req.is_idempotent,
        )

    def record(self, sample: Sample) -> None:
        """Update the limits from an attempt whose slot has been released."""
        service = self._catalog.get(sample.service)
        if service is None:
            return
        load = self._load(service)
        load.forget_removed(service)
        load.record(sample, len(service.instances), total_slots(service))
        self._serve_queue(load)

    def view(self) -> dict[str, LoadView]:
        """Return the load of each service on this entry host, for operators."""
        return {name: load.view() for name, load in self._loads.items()}

    def _load(self, service: Service) -> ServiceLoad:
        load = self._loads.get(service.name)
        if load is None:
            load = ServiceLoad(self._now(), total_slots(service))
            self._loads[service.name] = load
        return load

    def _now(self) -> float:
        return self._reactor.clock.monotonic()

    def _current_service(self, req: SlotRequest) -> Service:
        """Return the current service, which may be newer than the request's."""
        return self._catalog.get(req.service.name) or req.service

    # Granting, queueing and rejecting.

    def _try_grant(self, waiter: Waiter, load: ServiceLoad) -> bool:
        if not load.has_capacity(self._now()) or (
            load.queue and not waiter.req.is_retry
        ):
            return False
        instance = self._pick(waiter.req, load)
        if instance is None:
            return False
        self._grant(waiter, load, instance)
        return True

    def _grant(self, waiter: Waiter, load: ServiceLoad, instance: Instance) -> None:
        waiter.cancel()
        now = self._now()
        instance_load = load.instance(instance.name, now)
        instance_load.mark_available(now)
        instance_load.in_flight += 1
        load.in_flight += 1
        service = self._current_service(waiter.req)
        weight = service.shares.get(waiter.req.customer, DEFAULT_CUSTOMER_WEIGHT)
        load.queue.record_grant(waiter.req.customer, weight, now)
        if not waiter.req.exclude:
            load.budget.record_request(service.retry_ratio)
        slot = Slot(waiter.req.service.name, instance, self._on_release)
        waiter.on_slot(slot, None)

    def _enqueue(self, waiter: Waiter, load: ServiceLoad) -> None:
        req = waiter.req
        now = self._now()
        left_s = req.deadline - now
        wait_s = max_wait_s(left_s, load)
        if load.expected_wait_s(req.customer, now) > wait_s:
            evicted = load.queue.eviction_candidate(req.customer, now)
            if evicted is None or left_s <= load.latency_s:
                self._reject(waiter, ErrorKind.OVERLOADED)
                return
            load.queue.remove(evicted)
            self._reject(evicted, ErrorKind.OVERLOADED)
        waiter.timer = self._reactor.call_later(wait_s, self._time_out, waiter, load)
        load.queue.push(waiter)
        self._schedule_resume(load)

    def _time_out(self, waiter: Waiter, load: ServiceLoad) -> None:
        """Reject a waiter that has reached its longest wait."""
        load.queue.remove(waiter)
        self._reject(waiter, ErrorKind.OVERLOADED)

    def _reject(self, waiter: Waiter, kind: ErrorKind) -> None:
        if not waiter.is_done:
            waiter.cancel()
            waiter.on_slot(None, kind)

    def _on_release(self, slot: Slot) -> None:
        load = self._loads[slot.service]
        now = self._now()
        load.record_release(now)
        load.instance(slot.instance.name, now).in_flight -= 1
        self._serve_queue(load)

    def _schedule_resume(self, load: ServiceLoad) -> None:
        pause_s = load.paused_until - self._now()
        if pause_s > 0 and load.queue and not load.is_resume_scheduled:
            load.is_resume_scheduled = True
            self._reactor.call_later(pause_s, self._resume, load)

    def _resume(self, load: ServiceLoad) -> None:
        load.is_resume_scheduled = False
        self._serve_queue(load)

    def _serve_queue(self, load: ServiceLoad) -> None:
        self._schedule_resume(load)
        while load.queue and load.has_capacity(self._now()):
            waiter = load.queue.peek(self._now())
            if waiter.is_done:
                load.queue.remove(waiter)
                continue
            instance = self._pick(waiter.req, load)
            if instance is not None:
                load.queue.remove(waiter)
                load.record_dequeue(self._now())
                self._grant(waiter, load, instance)
            elif self._has_eligible_instance(waiter.req, load):
                return
            else:
                load.queue.remove(waiter)
                self._reject(waiter, ErrorKind.NO_INSTANCE)


def max_wait_s(left_s: float, load: ServiceLoad) -> float:
    """Return how many seconds a request may wait in the queue.

    A wait of a few dequeue intervals is allowed even where these are long, so that
    the queue holds enough requests to be shared fairly.

    Args:
        left_s: seconds until the request's deadline.
        load: the load of the request's service.
    """
    share_s = max(
        left_s * WAIT_DEADLINE_SHARE, load.dequeue_interval_s * MIN_WAIT_DEQUEUES
    )
    return min(share_s, left_s * MAX_WAIT_DEADLINE_SHARE, left_s - load.latency_s)


def total_slots(service: Service) -> int:
    """Return the total number of slots of a service's instances."""
    return sum(instance.slots for instance in service.instances)
