"""Which instance an attempt goes to."""

import random
from typing import NamedTuple

from ..catalog import Instance, Service
from ..floor import Floor
from ..health import Health
from ..leaving import Leaving
from .service import ServiceLoad

__all__ = ["PickTask", "Picker"]

MIN_WEIGHT = 0.001
MAX_DRAWS = 6
CHOICES = 2


class PickTask(NamedTuple):
    """One choice to make.

    Attributes:
        exclude: instances that the request has already tried.
        now: monotonic time in seconds.
        is_idempotent: whether the request may run more than once.
    """

    service: Service
    load: ServiceLoad
    exclude: frozenset[str]
    now: float
    is_idempotent: bool


class Picker:
    """Draw two instances by weight and take the cheaper one."""

    def __init__(
        self, health: Health, floor: Floor, leaving: Leaving, rng: random.Random
    ) -> None:
        self._health = health
        self._floor = floor
        self._leaving = leaving
        self._rng = rng

    def has_candidates(self, task: PickTask) -> bool:
        """Return whether any instance may take the request, now or later."""
        return any(self._may_take(task, one) for one in task.service.instances)

    def pick(self, task: PickTask) -> Instance | None:
        """Return an instance with a free slot, or None."""
        drawn = self._draw_few(task)
        if len(drawn) < CHOICES:
            drawn = self._draw_from_all(task)
        if not drawn:
            return None
        return min(drawn, key=lambda instance: self._cost(task, instance))

    def _draw_few(self, task: PickTask) -> list[Instance]:
        """Draw instances and keep each as often as its weight says.

        This looks at a few instances and not at all of them, and finds two
        nearly always while most of them are well and have room.
        """
        drawn: list[Instance] = []
        for _ in range(MAX_DRAWS if task.service.instances else 0):
            instance = self._rng.choice(task.service.instances)
            if not self._has_room(task, instance):
                continue
            if self._rng.random() >= self._weight(task, instance):
                continue
            drawn.append(instance)
            if len(drawn) == CHOICES:
                break
        return drawn

    def _draw_from_all(self, task: PickTask) -> list[Instance]:
        free = [one for one in task.service.instances if self._has_room(task, one)]
        if not free:
            return []
        weights = [self._weight(task, one) for one in free]
        return self._rng.choices(free, weights, k=CHOICES)

    def _has_room(self, task: PickTask, instance: Instance) -> bool:
        known = task.load.instance(instance.name, task.now)
        return known.in_use < instance.slots and self._may_take(task, instance)

    def _may_take(self, task: PickTask, instance: Instance) -> bool:
        name = instance.name
        is_away = (
            instance.is_leaving
            or self._leaving.is_leaving(task.service.name, name)
            or self._floor.is_removed(task.service.name, name)
        )
        if is_away:
            task.load.instance(name, task.now).note_away()
        return not is_away and name not in task.exclude

    def _weight(self, task: PickTask, instance: Instance) -> float:
        """Return how often an instance is drawn.

        One that is on trial after an ejection is tried with look-ups: a release
        that it swallows cannot be sent elsewhere.  One that operators want drained
        gets work only where no other has room, until the floor lets it go.
        """
        name = task.service.name
        if instance.name in task.service.drains:
            return MIN_WEIGHT
        if not task.is_idempotent and self._health.is_on_probation(name, instance.name):
            return MIN_WEIGHT
        known = task.load.instance(instance.name, task.now)
        weight = self._health.weight(name, instance.name)
        return max(MIN_WEIGHT, weight * known.ramp(task.now))

    def _cost(self, task: PickTask, instance: Instance) -> float:
        known = task.load.instance(instance.name, task.now)
        return known.cost(task.now, task.load.latency_s)
