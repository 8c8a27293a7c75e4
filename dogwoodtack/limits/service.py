"""What this entry host knows of one service's load."""

import math
from typing import TypedDict

from ..catalog import Service
from ..health import Sample, SampleKind
from .budget import RetryBudget
from .fair_queue import FairQueue
from .instance import InstanceLoad
from .window import Window

__all__ = ["LoadView", "ServiceLoad"]

EWMA_SHARE = 0.05
START_LATENCY_S = 0.05
SETTLE_S = 1.0
WIDESPREAD_SHARE = 0.15
OVERLOAD_KINDS = frozenset({SampleKind.SHED, SampleKind.TIMEOUT})


class LoadView(TypedDict):
    """One service's load on one entry host.

    Attributes:
        window: how many requests may be under way at once; under 1 means pauses.
        under_way: requests at back ends.
        waiting: requests in the queue.
        latency_ms: what an answer takes lately.
    """

    window: float
    under_way: int
    waiting: int
    latency_ms: float


class ServiceLoad:
    """The window, queue, retry budget and instances of one service."""

    def __init__(self, now: float, slots: int) -> None:
        self.window = Window(slots)
        self.budget = RetryBudget()
        self.queue = FairQueue()
        self.in_use = 0
        self.paused_until = 0.0
        self.is_waking = False
        self.latency_s = START_LATENCY_S
        self._turn_s: float | None = None
        self._turn_at: float | None = None
        self._began_at = now
        self._instances: dict[str, InstanceLoad] = {}

    def has_room(self, now: float) -> bool:
        """Return whether one more request may be sent on."""
        if now < self.paused_until:
            return False
        return self.in_use < max(1.0, self.window.limit)

    def note_release(self, now: float) -> None:
        """Note that a request has ended; a small window begins a pause."""
        self.in_use -= 1
        self.paused_until = now + self.window.pause_s(self.latency_s)

    def view(self) -> LoadView:
        """Return what operators are shown."""
        return LoadView(
            window=round(self.window.limit, 2),
            under_way=self.in_use,
            waiting=len(self.queue),
            latency_ms=round(self.latency_s * 1000, 2),
        )

    def instance(self, name: str, now: float) -> InstanceLoad:
        """Return the load of an instance; one that is new begins slowly."""
        known = self._instances.get(name)
        if known is None:
            is_new = now - self._began_at > SETTLE_S
            known = self._instances[name] = InstanceLoad(now if is_new else None)
        return known

    def forget_others(self, service: Service) -> None:
        """Forget idle instances that a service no longer has."""
        if len(self._instances) <= len(service.instances):
            return
        names = {instance.name for instance in service.instances}
        self._instances = {
            name: load
            for name, load in self._instances.items()
            if name in names or load.in_use
        }

    def _is_widespread(self, now: float, instances: int) -> bool:
        """Return whether overload was seen at more than a sick instance or two."""
        if instances == 1:
            return True
        seen = sum(one.has_shed(now) for one in self._instances.values())
        return seen >= max(2, math.ceil(WIDESPREAD_SHARE * instances))

    def expected_wait_s(self, customer: str, now: float) -> float:
        """Return the seconds a new waiter would wait, roughly."""
        return (self.queue.ahead_of(customer, now) + 1) * self.turn_s

    @property
    def turn_s(self) -> float:
        """Return the seconds between two waiters' turns, roughly."""
        if self._turn_s is None:
            return self.latency_s / self.window.limit
        return self._turn_s

    def note_turn(self, now: float) -> None:
        """Note that the next waiter got its turn, to learn how long a turn is."""
        if self._turn_at is not None:
            known = now - self._turn_at if self._turn_s is None else self._turn_s
            self._turn_s = known + EWMA_SHARE * (now - self._turn_at - known)
        self._turn_at = now if self.queue else None

    def record(self, sample: Sample, instances: int, most: float) -> None:
        """Learn from one attempt.

        Args:
            sample: how the attempt ended.
            instances: how many instances the service has.
            most: the largest window that makes sense.
        """
        load = self.instance(sample.instance, sample.at)
        if sample.kind is SampleKind.REFUSED:
            load.note_away()
        elif sample.kind in OVERLOAD_KINDS:
            load.on_shed(sample.at)
            if self._is_widespread(sample.at, instances):
                self.window.on_shed(sample.at, self.latency_s)
        elif sample.kind is SampleKind.OK:
            load.on_answer(sample.at, sample.latency_s)
            self.latency_s += EWMA_SHARE * (sample.latency_s - self.latency_s)
            is_limited = bool(self.queue) or self.in_use + 1 >= self.window.limit
            self.window.on_answer(sample.at, is_limited, most)
