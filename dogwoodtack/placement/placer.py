"""Place requests on instances: what is known, who waits, what may be repeated."""

import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from .health_tracker import HealthTracker
from .instances import Instance, InstanceRegistry
from .occupancy import Occupancy
from .retry_budget import RetryBudget, RetryRules
from .selection import (
    Candidate,
    Requirements,
    SelectionMode,
    reserved_slots,
    select_candidate,
)
from .wait_queue import Capacity, QueuedRequest, Rejection, WaitQueue

__all__ = ["PlacementRequest", "Placer"]

WORK_GUESS_S = 0.3
WORK_WEIGHT = 0.05
# Work is planned to take this many times its mean, so that most of it ends in time.
PLANNED_WORKS = 1.3
# At most this likely sick, an instance of the own zone is taken without more ado.
SURELY_SOUND = 0.06
# Work that runs once goes to an instance that is likely sick only if it would not be
# served at all otherwise: within this many work times of its end.
LAST_RESORT_WORKS = 1.5
# A large answer waits this part of its spare time for an instance of the own zone.
PATIENT_SHARE = 0.5


class PlacementRequest(NamedTuple):
    """A request for a slot at some instance of a service.

    Attributes:
        service: whose instances may take it.
        want: what it asks of the instance.
        priority: rank of the request, 0 is the highest.
        start_by: when it has to start to meet its objective.
        give_up_at: when it has to start to be served at all.
        arrived_at: when the request came.
        on_place: called with the instance, or with a Refusal.
    """

    service: str
    requirements: Requirements
    priority: int
    start_by: float
    abandon_at: float
    arrived_at: float
    on_decision: Callable[[Instance | Rejection], None]


class Placer:
    """Decide where requests run; no input or output, time is passed in."""

    def __init__(
        self,
        registry: InstanceRegistry,
        zone: str,
        rng: random.Random,
        rules: RetryRules,
    ) -> None:
        self.registry = registry
        self.occupancy = Occupancy()
        self.health = HealthTracker()
        self.competing_hosts = 1
        self.retry_budget_hosts = 1
        self._zone = zone
        self._rng = rng
        self._rules = rules
        self._queues: dict[str, WaitQueue] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._service_time_s: dict[str, float] = {}
        self._order = itertools.count()

    def budget(self, service: str) -> RetryBudget:
        """Return a service's retry budget."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._rules)
        return self._budgets[service]

    def service_time_s(self, service: str) -> float:
        """Return the mean time that a request of a service holds a slot."""
        return self._service_time_s.get(service, WORK_GUESS_S)

    def start_by(self, service: str, arrived_at: float, objective_s: float) -> float:
        """Return when a request has to start to meet its objective."""
        return arrived_at + objective_s - PLANNED_WORKS * self.service_time_s(service)

    def candidates(
        self, service: str, now: float, only_local: bool = False
    ) -> list[Candidate]:
        """Return the instances of a service that take new work.

        Args:
            service: whose instances.
            now: seconds on the monotonic clock.
            only_local: whether only those of the own zone are wanted.
        """
        found = []
        for instance in self.registry.for_service(service):
            is_local = instance.zone == self._zone
            if instance.is_draining or (only_local and not is_local):
                continue
            if self.health.is_replaced(instance):
                continue
            # Slots are left only to hosts that are there to use them.
            has_hosts = not is_local and self.occupancy.has_recent_report(instance.zone)
            belief = self.health.estimate_for(instance.id, now)
            found.append(
                Candidate(
                    instance,
                    self.occupancy.total_for(instance.id),
                    self.health.unhealthy_probability(instance.id, now),
                    now - belief.seen_at,
                    is_local,
                    belief.last_succeeded,
                    reserved_slots(instance.slots) if has_hosts else 0,
                )
            )
        return found

    def place(self, req: PlacementRequest, now: float) -> QueuedRequest | None:
        """Place a request now, let it wait, or refuse it.

        Returns:
            a Ticket if it waits; else `on_place` was called.
        """
        local = self._choose_local(req, now)
        if local is not None:
            self._grant(req, local.instance)
            return None
        candidates = self.candidates(req.service, now)
        if not candidates:
            req.on_decision(
                Rejection(self.service_time_s(req.service), "no instance is known")
            )
            return None
        found = self._choose(candidates, req, now)
        if found is not None:
            self._grant(req, found.instance)
            return None
        return self._wait(req, candidates, now)

    def _choose_local(self, req: PlacementRequest, now: float) -> Candidate | None:
        """Return an instance of the own zone that no other zone's can beat.

        At large sites most instances are elsewhere, and are not worth a look.
        """
        candidates = self.candidates(req.service, now, only_local=True)
        found = select_candidate(candidates, req.requirements, self._rng)
        if found is not None and found.unhealthy_probability <= SURELY_SOUND:
            return found
        return None

    def try_place(self, req: PlacementRequest, now: float) -> bool:
        """Place a request only if none has to wait, and return whether it was."""
        if len(self._queues.get(req.service, ())):
            return False
        found = select_candidate(
            self.candidates(req.service, now), req.requirements, self._rng
        )
        if found is None:
            return False
        self._grant(req, found.instance)
        return True

    def _choose(
        self, candidates: list[Candidate], req: PlacementRequest, now: float
    ) -> Candidate | None:
        if self._is_patient(req, now):
            candidates = [one for one in candidates if one.is_local]
        found = select_candidate(candidates, req.requirements, self._rng)
        if found is None and self._is_desperate(req, now):
            found = select_candidate(
                candidates, req.requirements, self._rng, allow_unhealthy=True
            )
        return found

    def _is_patient(self, req: PlacementRequest, now: float) -> bool:
        """Return whether a large answer still waits for an instance of the zone."""
        patience_s = PATIENT_SHARE * max(0.0, req.start_by - req.arrived_at)
        return req.requirements.has_large_response and now < req.arrived_at + patience_s

    def _is_desperate(self, req: PlacementRequest, now: float) -> bool:
        """Return whether a request would otherwise not be served at all."""
        return now >= req.abandon_at - LAST_RESORT_WORKS * self.service_time_s(
            req.service
        )

    def _wait(
        self, req: PlacementRequest, candidates: list[Candidate], now: float
    ) -> QueuedRequest | None:
        queue = self._queues.setdefault(req.service, WaitQueue())
        queued = QueuedRequest(
            next(self._order), req.priority, req.start_by, req.abandon_at, req
        )
        slots = self._sound_slots(candidates)
        capacity = Capacity(
            slots, self.competing_hosts, self.service_time_s(req.service)
        )
        rejection = queue.admit(queued, capacity, now, self._rng.random())
        if rejection is None:
            return queued
        found = None
        if req.requirements.mode is SelectionMode.EXPLORATORY:
            # A look-up that fails there costs a repeat and no slot; some succeed.
            found = select_candidate(
                candidates, req.requirements, self._rng, allow_unhealthy=True
            )
        if found is None:
            req.on_decision(rejection)
        else:
            self._grant(req, found.instance)
        return None

    def _sound_slots(self, candidates: list[Candidate]) -> float:
        """Return the slots that this zone's hosts can count on.

        These are the zone's own, or its part of all where its own are few or sick.
        """
        sound = [
            one.instance.slots * (1.0 - one.unhealthy_probability) for one in candidates
        ]
        own = sum(slots for slots, one in zip(sound, candidates) if one.is_local)
        return max(own, sum(sound) / max(1, len(self.registry.zones())))

    def _grant(self, req: PlacementRequest, instance: Instance) -> None:
        self.occupancy.increment(instance.id)
        req.on_decision(instance)

    def cancel(self, queued: QueuedRequest) -> None:
        """Take back a request that waits."""
        queue = self._queues.get(queued.payload.service)
        if queue is not None:
            queue.remove(queued)

    def dispatch_queued(self, now: float) -> None:
        """Place what waits, as far as there is room, and refuse what is too late."""
        for service, queue in self._queues.items():
            if not len(queue):
                continue
            for queued in queue.remove_expired(now):
                why = f"waited {now - queued.payload.arrived_at:.2f} s"
                queued.payload.on_decision(Rejection(self.service_time_s(service), why))
            self._dispatch_queue(service, queue, now)

    def _dispatch_queue(self, service: str, queue: WaitQueue, now: float) -> None:
        candidates = self.candidates(service, now)
        # Where one request finds no room, others that want the same find none either.
        without_room: set[tuple[SelectionMode, frozenset[str], bool, bool]] = set()
        for queued in queue.in_order(now):
            req = queued.payload
            kind = (
                req.requirements.mode,
                req.requirements.exclude,
                self._is_patient(req, now),
                self._is_desperate(req, now),
            )
            if kind in without_room:
                continue
            found = self._choose(candidates, req, now)
            if found is None:
                without_room.add(kind)
            elif queue.remove(queued):
                self._grant(req, found.instance)
                candidates = self.candidates(service, now)

    def queue_lengths(self) -> dict[str, int]:
        """Return how many requests wait for each service."""
        return {service: len(queue) for service, queue in self._queues.items()}

    def release(self, instance_id: str) -> None:
        """Note that a request of this host has left an instance."""
        self.occupancy.decrement(instance_id)

    def record_service_time(self, service: str, seconds: float) -> None:
        """Take in how long a request held its slot."""
        known = self._service_time_s.get(service, WORK_GUESS_S)
        self._service_time_s[service] = known + WORK_WEIGHT * (seconds - known)

    def apply_zone_report(
        self,
        zone: str,
        in_flight: dict[str, int],
        unhealthy_percentages: dict[str, int],
        now: float,
    ) -> None:
        """Take another zone's word about its load and its own instances.

        Args:
            zone: whose word.
            in_flight: the zone's requests at each instance.
            sick: probability in percent that each of its instances is sick.
            now: seconds on the monotonic clock.
        """
        self.occupancy.set_zone_counts(zone, in_flight, now)
        self.health.add_zone_report(unhealthy_percentages, now)

    def unhealthy_percentages(self, now: float) -> dict[str, int]:
        """Return in percent how likely each instance of this zone is sick."""
        own = [one.id for one in self.registry.all() if one.zone == self._zone]
        return self.health.unhealthy_percentages(own, now)
