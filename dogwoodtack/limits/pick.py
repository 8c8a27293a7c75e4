"""Load balancing: which instance an attempt goes to."""

import random
from typing import NamedTuple

from ..catalog import Instance, Service
from ..draining import DrainingInstances
from ..floor import Floor
from ..health import Health
from .service import ServiceLoad

__all__ = ["PickInfo", "Picker"]

MIN_WEIGHT = 0.001
MAX_DRAWS = 6
CHOICES_PER_PICK = 2


class PickInfo(NamedTuple):
    """Parameters of one pick.

    Attributes:
        service: the service as it is now.
        load: the load of the service on this entry host.
        exclude: names of the instances that the request has already tried.
        now: monotonic time in seconds.
        is_idempotent: whether the request may be executed more than once.
    """

    service: Service
    load: ServiceLoad
    exclude: frozenset[str]
    now: float
    is_idempotent: bool


class Picker:
    """Weighted power of two choices: draw two instances and pick the cheaper one."""

    def __init__(
        self,
        health: Health,
        floor: Floor,
        draining: DrainingInstances,
        rng: random.Random,
    ) -> None:
        self._health = health
        self._floor = floor
        self._draining = draining
        self._rng = rng

    def has_eligible_instance(self, info: PickInfo) -> bool:
        """Return whether any instance may take the request, even if it is full now."""
        return any(self._is_eligible(info, one) for one in info.service.instances)

    def pick(self, info: PickInfo) -> Instance | None:
        """Return an instance with a free slot, or None."""
        candidates = self._sample_instances(info)
        if len(candidates) < CHOICES_PER_PICK:
            candidates = self._sample_all_instances(info)
        if not candidates:
            return None
        return min(
            candidates, key=lambda instance: self._expected_cost_s(info, instance)
        )

    def _sample_instances(self, info: PickInfo) -> list[Instance]:
        """Draw instances by rejection sampling, with their weights as probabilities.

        This examines a few instances instead of all, and nearly always finds two
        while most of them are healthy and have free slots.
        """
        candidates: list[Instance] = []
        for _ in range(MAX_DRAWS if info.service.instances else 0):
            instance = self._rng.choice(info.service.instances)
            if not self._has_free_slot(info, instance):
                continue
            if self._rng.random() >= self._weight(info, instance):
                continue
            candidates.append(instance)
            if len(candidates) == CHOICES_PER_PICK:
                break
        return candidates

    def _sample_all_instances(self, info: PickInfo) -> list[Instance]:
        free = [one for one in info.service.instances if self._has_free_slot(info, one)]
        if not free:
            return []
        weights = [self._weight(info, one) for one in free]
        return self._rng.choices(free, weights, k=CHOICES_PER_PICK)

    def _has_free_slot(self, info: PickInfo, instance: Instance) -> bool:
        load = info.load.instance(instance.name, info.now)
        return load.in_flight < instance.slots and self._is_eligible(info, instance)

    def _is_eligible(self, info: PickInfo, instance: Instance) -> bool:
        name = instance.name
        is_unavailable = (
            instance.is_draining
            or self._draining.is_draining(info.service.name, name)
            or self._floor.is_removed(info.service.name, name)
        )
        if is_unavailable:
            info.load.instance(name, info.now).mark_unavailable()
        return not is_unavailable and name not in info.exclude

    def _weight(self, info: PickInfo, instance: Instance) -> float:
        """Return the relative probability of drawing an instance.

        One that is on probation after an ejection is tested with idempotent
        requests, because a non-idempotent one that it loses cannot be retried
        elsewhere.  One that operators want drained gets requests only where no
        other has a free slot, until the floor permits its removal.
        """
        name = info.service.name
        if instance.name in info.service.drains:
            return MIN_WEIGHT
        if not info.is_idempotent and self._health.is_on_probation(name, instance.name):
            return MIN_WEIGHT
        load = info.load.instance(instance.name, info.now)
        weight = self._health.weight(name, instance.name)
        return max(MIN_WEIGHT, weight * load.slow_start_weight(info.now))

    def _expected_cost_s(self, info: PickInfo, instance: Instance) -> float:
        load = info.load.instance(instance.name, info.now)
        return load.expected_cost_s(info.now, info.load.latency_s)
