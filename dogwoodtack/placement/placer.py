"""Placement of a host's requests on instances, with queues and retry budgets."""

import copy
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Collection
from typing import NamedTuple

from ..fairness import UsageLedger
from .balancing import Balancing, BalancingModes, RecentSends, is_last_slot
from .body_load import BodyLoad, counted_kb
from .health_estimate import Observation
from .health_tracker import HealthTracker
from .instances import Instance, InstanceRegistry
from .notices import InstanceNotices
from .occupancy import Occupancy
from .queued_request import QueuedRequest
from .rate_limits import RateLimits
from .retests import FailureShares
from .retry_budget import RetryBudget, RetryRules
from .returns import RETRY_JITTER_S
from .selection import (
    Candidate,
    Requirements,
    SelectionMode,
    reserved_slots,
    select_candidate,
)
from .speeds import Speeds
from .wait_queue import Capacity, Rejection, WaitQueue

__all__ = ["PlacementRequest", "Placer"]

# Arrivals at a copy of the placer come after all others.
LAST_ORDER = 2**62

INITIAL_SERVICE_TIME_S = 0.3
SERVICE_TIME_EWMA_WEIGHT = 0.05
# Requests are planned with this many times the mean service time, so that most of them
# finish within their latency objective.
PLANNED_SERVICE_TIMES = 1.3
# A local instance with at most this unhealthy probability is selected without a look at
# other zones.
LOCAL_MAX_UNHEALTHY_PROBABILITY = 0.06
# A non-idempotent request goes to an unhealthy instance only as a last resort, when it
# would be abandoned within this many mean service times.
LAST_RESORT_SERVICE_TIMES = 1.5
# A request with a large response waits for a local instance for this share of the time
# from its arrival to `start_by`.
LOCAL_WAIT_SHARE = 0.5


class PlacementRequest(NamedTuple):
    """A request for a slot at some instance of a service.

    Times are in seconds on the monotonic clock.

    Attributes:
        service: service whose instances may serve it.
        requirements: what it requires of the instance.
        priority: priority of the request, 0 is the highest.
        start_by: latest start that meets its latency objective.
        abandon_at: latest start at which it is served at all.
        arrived_at: when the request arrived.
        on_decision: called with the instance, or with a Rejection.
        organisation: the organisation that sends it, empty if it names none.
        organisation_priority: that organisation's priority, which goes before
            `priority`; 0 is the highest.
        body_bytes: size of its body.
        route: name of its route, by which its work is estimated; empty if unknown.
    """

    service: str
    requirements: Requirements
    priority: int
    start_by: float
    abandon_at: float
    arrived_at: float
    on_decision: Callable[[Instance | Rejection], None]
    organisation: str = ""
    organisation_priority: int = 0
    body_bytes: int = 0
    route: str = ""


class Placer:
    """Decides which instance serves a request.

    It does no input or output, and callers pass in the time.

    Attributes:
        registry: the known instances.
        occupancy: requests in flight on them.
        bodies: bytes of these requests' bodies.
        health: health estimates of them.
        rate_limits: rate limits that they name.
        notices: which of them leave or are paused.
        usage: recent work of each organisation.
        fair_services: services whose queues are ordered and bounded by work.
        rejections: rejected requests since the start, by priority.
        balancing: how each service's requests are spread.
        failures: how many of each service's recent requests failed.
        speeds: how slow instances are; used in even mode.
        competing_hosts: hosts that use the same slots, at least 1.
        retry_budget_hosts: hosts that share the slack of the retry budget, 0 if this
            host has no part in it.
    """

    def __init__(
        self,
        registry: InstanceRegistry,
        zone: str,
        rng: random.Random,
        rules: RetryRules,
    ) -> None:
        self.registry = registry
        self.occupancy = Occupancy()
        self.bodies = BodyLoad(zone)
        self.health = HealthTracker()
        self.rate_limits = RateLimits(zone)
        self.notices = InstanceNotices()
        self.usage = UsageLedger()
        self.fair_services: frozenset[str] = frozenset()
        self.rejections: Counter[int] = Counter()
        self.balancing = BalancingModes()
        self.failures = FailureShares()
        self.speeds = Speeds()
        self.competing_hosts = 1
        self.retry_budget_hosts = 1
        self._zone = zone
        self._rng = rng
        self._rules = rules
        self._queues: dict[str, WaitQueue] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._service_times_s: dict[str, float] = {}
        self._queued_priorities: set[int] = set()
        self._route_times_s: dict[tuple[str, str], float] = {}
        self._sequence = itertools.count()
        self._recent_sends = RecentSends()

    def budget(self, service: str) -> RetryBudget:
        """Return a service's retry budget."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._rules)
        return self._budgets[service]

    def service_time_s(self, service: str) -> float:
        """Return the mean time that a request of a service holds a slot, in seconds."""
        return self._service_times_s.get(service, INITIAL_SERVICE_TIME_S)

    def expected_work_s(self, service: str, route: str) -> float:
        """Return how long a request of a route holds a slot, in seconds.

        It is the service's mean unless the service is shared fairly.
        """
        mean_s = self.service_time_s(service)
        if service not in self.fair_services:
            return mean_s
        return self._route_times_s.get((service, route), mean_s)

    def start_by(
        self, service: str, arrived_at: float, objective_s: float, route: str = ""
    ) -> float:
        """Return the latest start at which a request meets its latency objective."""
        work_s = self.expected_work_s(service, route)
        return arrived_at + objective_s - PLANNED_SERVICE_TIMES * work_s

    def candidates(
        self, service: str, now: float, only_local: bool = False
    ) -> list[Candidate]:
        """Return the instances of a service that accept new requests.

        Args:
            service: name of the service.
            now: seconds on the monotonic clock.
            only_local: whether to leave out instances of other zones.
        """
        found = []
        is_even = self.balancing.mode(service) is Balancing.EVEN
        service_zones = self.registry.zones_of(service)
        for instance in self.registry.for_service(service):
            is_local = instance.zone == self._zone
            if instance.is_draining or (only_local and not is_local):
                continue
            if self.health.is_replaced(instance) or self.notices.is_leaving(instance):
                continue
            if self.notices.is_paused(instance, now):
                continue
            allowance = self.rate_limits.allowance(instance, service_zones, now)
            if allowance is not None and not allowance.per_s:
                continue
            # Slots are reserved only for a zone whose hosts are there to use them.
            zone_has_hosts = not is_local and self.occupancy.has_recent_report(
                instance.zone
            )
            estimate = self.health.estimate_for(instance.id, now)
            found.append(
                Candidate(
                    instance,
                    self.occupancy.total_for(instance.id),
                    self.health.unhealthy_probability(instance.id, now),
                    now - estimate.seen_at,
                    is_local,
                    estimate.last_succeeded,
                    reserved_slots(instance.slots) if zone_has_hosts else 0,
                    allowance,
                    self.health.has_failed(instance.id, now),
                    self._ended_early(instance, now) if is_even else 0,
                    self.speeds.slowness(instance.id) if is_even else 1.0,
                )
            )
        return found

    def _ended_early(self, instance: Instance, now: float) -> int:
        """Return how many own requests ended in less than the mean service time."""
        since = now - self.service_time_s(instance.service)
        sent = self._recent_sends.count(instance.id, since)
        return max(0, sent - self.occupancy.own.get(instance.id, 0))

    def place(self, req: PlacementRequest, now: float) -> QueuedRequest | None:
        """Place, queue or reject a request.

        Returns:
            The queued request, or None if `on_decision` was called.
        """
        if req.service in self.fair_services:
            self._queue(req.service).served.on_arrival(req.route, now)
        local = self._select_local(req, now)
        if local is not None:
            self._assign(req, local.instance, now)
            return None
        candidates = self.candidates(req.service, now)
        if not candidates:
            self._reject(req, self._rejection_without_candidates(req.service, now))
            return None
        found = self._select(candidates, req, now)
        if found is not None:
            self._assign(req, found.instance, now)
            return None
        return self._enqueue(req, candidates, now)

    def _rejection_without_candidates(self, service: str, now: float) -> Rejection:
        """Return the rejection of a request that no instance may get at present."""
        listed = self.registry.for_service(service)
        if not listed:
            return Rejection(self.service_time_s(service), "no instance is known")
        leaving = sum(
            1 for one in listed if one.is_draining or self.notices.is_leaving(one)
        )
        paused = sum(1 for one in listed if self.notices.is_paused(one, now))
        pause_end = self.notices.pause_end(listed, now)
        wait_s = self.service_time_s(service)
        if pause_end is not None:
            wait_s = pause_end - now + RETRY_JITTER_S * self._rng.random()
        detail = f"instances {len(listed)}, leaving {leaving}, paused {paused}"
        return Rejection(wait_s, detail)

    def leaving(self) -> dict[str, int]:
        """Return the start times of the known instances that leave, by id."""
        return self.notices.leaving(self.registry.all())

    def paused_count(self, now: float) -> int:
        """Return how many of the known instances are paused."""
        listed = self.registry.all()
        return sum(1 for one in listed if self.notices.is_paused(one, now))

    def _select_local(self, req: PlacementRequest, now: float) -> Candidate | None:
        """Return a local instance that is surely healthy, if there is one.

        At large sites most instances are in other zones; they need not be looked at
        when no instance there could be better.
        """
        candidates = self.candidates(req.service, now, only_local=True)
        found = self._choose(candidates, req, now)
        if (
            found is None
            or found.unhealthy_probability > LOCAL_MAX_UNHEALTHY_PROBABILITY
        ):
            return None
        is_even = self.balancing.mode(req.service) is Balancing.EVEN
        return None if is_even and is_last_slot(found.use) else found

    def snapshot(self, service: str) -> "Placer":
        """Return a copy for questions about a service, sharing what is only read.

        Nothing may be placed there: of what a placement changes only the queue, the
        retry budget and the random numbers are the copy's own.
        """
        copied = copy.copy(self)
        copied.health = self.health.snapshot()
        copied.rate_limits = copy.deepcopy(self.rate_limits)
        copied._rng = random.Random(0)
        copied._sequence = itertools.count(LAST_ORDER)
        copied._queues = {
            name: queue.snapshot()
            for name, queue in self._queues.items()
            if name == service
        }
        copied._budgets = {
            name: copy.deepcopy(budget)
            for name, budget in self._budgets.items()
            if name == service
        }
        return copied

    def find(self, req: PlacementRequest, now: float) -> Candidate | None:
        """Return where a request would be placed at once, None if nowhere."""
        local = self._select_local(req, now)
        if local is not None:
            return local
        return self._select(self.candidates(req.service, now), req, now)

    def find_overflow(self, req: PlacementRequest, now: float) -> Candidate | None:
        """Return where a request goes that may be repeated and is not queued."""
        if req.requirements.mode is not SelectionMode.EXPLORATORY:
            return None
        candidates = self.candidates(req.service, now)
        return self._choose(candidates, req, now, allow_unhealthy=True)

    def eligible(
        self, candidates: list[Candidate], req: PlacementRequest
    ) -> list[Candidate]:
        """Return the candidates with a free slot and room for a request's body."""
        return [one for one in self._with_room(candidates, req) if one.has_free_slot]

    def queue_length(self, service: str) -> int:
        """Return how many requests of a service are queued."""
        return len(self._queues.get(service, ()))

    def try_queue(
        self, req: PlacementRequest, now: float
    ) -> tuple[float, Rejection | None]:
        """Queue a request at a copy (see `snapshot`).

        Returns:
            Its expected wait in seconds, and the rejection if it is not admitted.
        """
        candidates = self.candidates(req.service, now)
        if not candidates:
            return math.inf, self._rejection_without_candidates(req.service, now)
        queue = self._queue(req.service)
        queued = self._queued_request(req, now)
        capacity = self._capacity(req.service, candidates)
        wait_s = queue.expected_wait_s(queued, capacity, now)
        return wait_s, queue.admit(queued, capacity, now, self._rng.random())

    def try_place(self, req: PlacementRequest, now: float) -> bool:
        """Place a request at once, and return whether it was placed.

        It is not placed while other requests of the service are queued.
        """
        if len(self._queues.get(req.service, ())):
            return False
        found = self._choose(self.candidates(req.service, now), req, now)
        if found is None:
            return False
        if req.service in self.fair_services:
            self._queue(req.service).served.on_arrival(req.route, now)
        self._assign(req, found.instance, now)
        return True

    def _select(
        self, candidates: list[Candidate], req: PlacementRequest, now: float
    ) -> Candidate | None:
        if self._waits_for_local(req, now):
            candidates = [one for one in candidates if one.is_local]
        found = self._choose(candidates, req, now)
        if found is None and self._is_last_chance(req, now):
            found = self._choose(candidates, req, now, allow_unhealthy=True)
        return found

    def _with_room(
        self, candidates: list[Candidate], req: PlacementRequest
    ) -> list[Candidate]:
        """Return the candidates that have room for a request's body."""
        if not self.bodies.bounds(req.body_bytes):
            return candidates
        has_local = any(one.is_local for one in candidates)
        return [
            one
            for one in candidates
            if self.bodies.has_room(
                one.instance, req.body_bytes, one.is_local or not has_local
            )
        ]

    def _choose(
        self,
        candidates: list[Candidate],
        req: PlacementRequest,
        now: float,
        allow_unhealthy: bool = False,
    ) -> Candidate | None:
        return select_candidate(
            self._with_room(candidates, req),
            req.requirements,
            self._rng,
            allow_unhealthy,
            self.balancing.mode(req.service),
            self.failures.retest_interval_s(req.service, now),
        )

    def _waits_for_local(self, req: PlacementRequest, now: float) -> bool:
        """Return whether a request with a large response waits for a local slot."""
        local_wait_s = LOCAL_WAIT_SHARE * max(0.0, req.start_by - req.arrived_at)
        return (
            req.requirements.has_large_response and now < req.arrived_at + local_wait_s
        )

    def _is_last_chance(self, req: PlacementRequest, now: float) -> bool:
        """Return whether a request would not be served at all otherwise."""
        return now >= req.abandon_at - LAST_RESORT_SERVICE_TIMES * self.service_time_s(
            req.service
        )

    def _enqueue(
        self, req: PlacementRequest, candidates: list[Candidate], now: float
    ) -> QueuedRequest | None:
        queue = self._queue(req.service)
        self._queued_priorities.add(req.priority)
        queued = self._queued_request(req, now)
        capacity = self._capacity(req.service, candidates)
        rejection = queue.admit(queued, capacity, now, self._rng.random())
        if rejection is None:
            self._reject_unmeetable(queue, now)
            # A caller that is rejected may have placed something else meanwhile.
            return queued if queued in queue else None
        found = None
        if req.requirements.mode is SelectionMode.EXPLORATORY:
            # On an unhealthy instance the request uses no healthy slot, and a failure
            # only costs a retry; some of these requests succeed.
            found = self._choose(candidates, req, now, allow_unhealthy=True)
        if found is None:
            self._reject(req, rejection)
        else:
            self._assign(req, found.instance, now)
        return None

    def _queue(self, service: str) -> WaitQueue:
        """Return a service's queue, ordered as the service is shared at present."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = WaitQueue()
        queue.usage = self.usage if service in self.fair_services else None
        return queue

    def _queued_request(self, req: PlacementRequest, now: float) -> QueuedRequest:
        queued = QueuedRequest(
            next(self._sequence), req.priority, req.start_by, req.abandon_at, req
        )
        if req.service not in self.fair_services:
            return queued
        return queued._replace(
            organisation=req.organisation,
            organisation_priority=req.organisation_priority,
            kind=req.route,
            work_s=self.expected_work_s(req.service, req.route),
            queued_at=now,
        )

    def _capacity(self, service: str, candidates: list[Candidate]) -> Capacity:
        slots = self._healthy_slots(service, candidates)
        return Capacity(slots, self.competing_hosts, self.service_time_s(service))

    def _reject_unmeetable(self, queue: WaitQueue, now: float) -> None:
        """Reject at once what can't start in time since others came before it."""
        for queued, rejection in queue.pop_unmeetable(now, self._rng.random):
            self._reject(queued.payload, rejection)

    def _reject_expired(
        self, service: str, queue: WaitQueue, queued: QueuedRequest, now: float
    ) -> None:
        rejection = Rejection(self.service_time_s(service), "")
        if queue.usage is not None:
            rejection = queue.expired_rejection(queued, now, self._rng.random)
        detail = f"waited {now - queued.payload.arrived_at:.2f} s"
        if rejection.detail:
            detail += f", {rejection.detail}"
        self._reject(queued.payload, rejection._replace(detail=detail))

    def _reject(self, req: PlacementRequest, rejection: Rejection) -> None:
        self.rejections[req.priority] += 1
        req.on_decision(rejection)

    def _healthy_slots(self, service: str, candidates: list[Candidate]) -> float:
        """Return the slots, weighted by health, that this zone's hosts can count on.

        These are the zone's own slots, or its share of all slots if that is more
        because its own are few or unhealthy.
        """
        service_time_s = self.service_time_s(service)
        healthy_slots = [
            one.usable_slots(service_time_s) * (1.0 - one.unhealthy_probability)
            for one in candidates
        ]
        own = sum(
            slots for slots, one in zip(healthy_slots, candidates) if one.is_local
        )
        return max(own, sum(healthy_slots) / max(1, len(self.registry.zones())))

    def _assign(self, req: PlacementRequest, instance: Instance, now: float) -> None:
        self.occupancy.increment(instance.id)
        self.bodies.add(instance.id, req.body_bytes)
        self.rate_limits.record_send(instance.id, now)
        if req.service in self.fair_services:
            self._record_grant(req, now)
        self._recent_sends.record(instance.id, now, self.service_time_s(req.service))
        req.on_decision(instance)

    def _record_grant(self, req: PlacementRequest, now: float) -> None:
        """Record the expected work of a request that gets a slot."""
        work_s = self.expected_work_s(req.service, req.route)
        self.usage.record(req.organisation, work_s, now)
        self._queue(req.service).served.on_grant(req.route, now)

    def cancel(self, queued: QueuedRequest) -> None:
        """Remove a queued request; its `on_decision` is not called."""
        queue = self._queues.get(queued.payload.service)
        if queue is not None:
            queue.remove(queued)

    def reject_queued(self, detail: str) -> None:
        """Reject all queued requests."""
        for service, queue in self._queues.items():
            for queued in queue.remove_all():
                self._reject(
                    queued.payload, Rejection(self.service_time_s(service), detail)
                )

    def dispatch_queued(self, now: float) -> None:
        """Reject expired requests, and place queued ones while slots are free."""
        for service, queue in self._queues.items():
            if not len(queue):
                continue
            for queued in queue.remove_expired(now):
                self._reject_expired(service, queue, queued, now)
            self._dispatch_queue(service, queue, now)

    def _dispatch_queue(self, service: str, queue: WaitQueue, now: float) -> None:
        candidates = self.candidates(service, now)
        if not candidates:
            for queued in queue.remove_all():
                self._reject(
                    queued.payload, self._rejection_without_candidates(service, now)
                )
            return
        if not any(one.has_free_slot for one in candidates):
            queue.slot_share.on_none_free()
            return
        # If one request finds no slot, others with the same needs find none either.
        unplaceable: set[tuple[SelectionMode, frozenset[str], bool, bool, int]] = set()
        for queued in queue.in_order(now):
            req = queued.payload
            needs = (
                req.requirements.mode,
                req.requirements.exclude,
                self._waits_for_local(req, now),
                self._is_last_chance(req, now),
                counted_kb(req.body_bytes),
            )
            if needs in unplaceable:
                continue
            found = self._select(candidates, req, now)
            if found is None:
                unplaceable.add(needs)
            elif self._must_yield(service, queue, candidates, now):
                return
            elif queue.remove(queued):
                self._assign(req, found.instance, now)
                candidates = self.candidates(service, now)

    def queue_lengths(self) -> dict[str, int]:
        """Return the number of queued requests by service."""
        return {service: len(queue) for service, queue in self._queues.items()}

    def _must_yield(
        self, service: str, queue: WaitQueue, candidates: list[Candidate], now: float
    ) -> bool:
        """Return whether a free slot is left to the zone's other hosts at first."""
        if queue.usage is None:
            return False
        held = sum(self.occupancy.own.get(one.instance.id, 0) for one in candidates)
        slots = self._healthy_slots(service, candidates)
        return queue.slot_share.must_yield(held, slots, self.competing_hosts, now)

    def lengths_by_priority(self) -> dict[int, int]:
        """Return the number of queued requests, by each priority that ever waited."""
        lengths = sum((one.lengths() for one in self._queues.values()), Counter())
        return {priority: lengths[priority] for priority in self._queued_priorities}

    def forget(self, instance_ids: Collection[str]) -> None:
        """Drop what is known of instances that are gone, except what they asked for."""
        self.health.forget(instance_ids)
        for instance_id in instance_ids:
            self.notices.forget(instance_id)
            self._recent_sends.forget(instance_id)
            self.speeds.forget(instance_id)

    def record_outcome(
        self, instance_id: str, observation: Observation, now: float
    ) -> None:
        """Count what a request of this host or of a peer showed of an instance."""
        instance = self.registry.get(instance_id)
        if instance is not None:
            self.failures.record(instance.service, observation, now)

    def release(self, instance_id: str, body_bytes: int = 0) -> None:
        """Release the slot and the body of a request of this host that has ended."""
        self.occupancy.decrement(instance_id)
        self.bodies.remove(instance_id, body_bytes)

    def record_service_time(
        self, service: str, seconds: float, route: str = ""
    ) -> None:
        """Update the means with the time that one request held its slot.

        Args:
            service: name of the service.
            seconds: how long the slot was held.
            route: name of the request's route, empty if unknown.
        """
        known = self._service_times_s.get(service, INITIAL_SERVICE_TIME_S)
        if route:
            route_s = self._route_times_s.get((service, route), known)
            self._route_times_s[service, route] = route_s + SERVICE_TIME_EWMA_WEIGHT * (
                seconds - route_s
            )
        self._service_times_s[service] = known + SERVICE_TIME_EWMA_WEIGHT * (
            seconds - known
        )

    def apply_zone_report(
        self,
        zone: str,
        in_flight: dict[str, int],
        unhealthy_percentages: dict[str, int],
        now: float,
    ) -> None:
        """Apply another zone's report about its load and its instances.

        Args:
            zone: zone that sent the report.
            in_flight: requests in flight of the zone's hosts, by instance.
            unhealthy_percentages: unhealthy probability in percent, by instance.
            now: seconds on the monotonic clock.
        """
        self.occupancy.set_zone_counts(zone, in_flight, now)
        self.health.add_zone_report(unhealthy_percentages, now)

    def unhealthy_percentages(self, now: float) -> dict[str, int]:
        """Return the unhealthy probability of this zone's instances, in percent."""
        own = [one.id for one in self.registry.all() if one.zone == self._zone]
        return self.health.unhealthy_percentages(own, now)
