"""The load of one service on this entry host."""

import math
from typing import TypedDict

from ..catalog import Service
from ..health import Sample, SampleKind
from .budget import RetryBudget
from .fair_queue import FairQueue
from .instance import InstanceLoad
from .window import ConcurrencyWindow

__all__ = ["LoadView", "ServiceLoad"]

EWMA_WEIGHT = 0.05
INITIAL_LATENCY_S = 0.05
STARTUP_S = 1.0
WIDESPREAD_OVERLOAD_SHARE = 0.15
OVERLOAD_KINDS = frozenset({SampleKind.SHED, SampleKind.TIMEOUT})


class LoadView(TypedDict):
    """One service's load on one entry host.

    Attributes:
        window: limit of concurrent requests; below 1 it is kept by pauses.
        under_way: requests in flight to back ends.
        waiting: requests in the queue.
        latency_ms: moving average of response latency, in milliseconds.
    """

    window: float
    under_way: int
    waiting: int
    latency_ms: float


class ServiceLoad:
    """The concurrency window, queue, retry budget and instances of one service."""

    def __init__(self, now: float, slots: int) -> None:
        self.window = ConcurrencyWindow(slots)
        self.budget = RetryBudget()
        self.queue = FairQueue()
        self.in_flight = 0
        self.paused_until = 0.0
        self.is_resume_scheduled = False
        self.latency_s = INITIAL_LATENCY_S
        self._dequeue_interval_s: float | None = None
        self._dequeued_at: float | None = None
        self._started_at = now
        self._instances: dict[str, InstanceLoad] = {}

    def has_capacity(self, now: float) -> bool:
        """Return whether one more request may be sent to a back end."""
        if now < self.paused_until:
            return False
        return self.in_flight < max(1.0, self.window.limit)

    def record_release(self, now: float) -> None:
        """Record that a request has ended; begin a pause if the window is below 1."""
        self.in_flight -= 1
        self.paused_until = now + self.window.pause_s(self.latency_s)

    def view(self) -> LoadView:
        """Return the figures shown to operators."""
        return LoadView(
            window=round(self.window.limit, 2),
            under_way=self.in_flight,
            waiting=len(self.queue),
            latency_ms=round(self.latency_s * 1000, 2),
        )

    def instance(self, name: str, now: float) -> InstanceLoad:
        """Return the load of an instance, created if there is none.

        One that appears later than STARTUP_S after the start begins with slow start.
        """
        load = self._instances.get(name)
        if load is None:
            is_new = now - self._started_at > STARTUP_S
            load = self._instances[name] = InstanceLoad(now if is_new else None)
        return load

    def forget_removed(self, service: Service) -> None:
        """Drop idle instances that the service no longer has."""
        if len(self._instances) <= len(service.instances):
            return
        names = {instance.name for instance in service.instances}
        self._instances = {
            name: load
            for name, load in self._instances.items()
            if name in names or load.in_flight
        }

    def _is_overload_widespread(self, now: float, instances: int) -> bool:
        """Return whether more than an unhealthy instance or two are overloaded."""
        if instances == 1:
            return True
        overloaded = sum(
            one.is_recently_overloaded(now) for one in self._instances.values()
        )
        return overloaded >= max(2, math.ceil(WIDESPREAD_OVERLOAD_SHARE * instances))

    def expected_wait_s(self, customer: str, now: float) -> float:
        """Return a rough estimate of a new waiter's wait in seconds."""
        return (self.queue.ahead_of(customer, now) + 1) * self.dequeue_interval_s

    @property
    def dequeue_interval_s(self) -> float:
        """Return a rough estimate of the seconds between two dequeued waiters."""
        if self._dequeue_interval_s is None:
            return self.latency_s / self.window.limit
        return self._dequeue_interval_s

    def record_dequeue(self, now: float) -> None:
        """Record that a waiter was dequeued, to learn the interval between them."""
        if self._dequeued_at is not None:
            previous_s = (
                now - self._dequeued_at
                if self._dequeue_interval_s is None
                else self._dequeue_interval_s
            )
            self._dequeue_interval_s = previous_s + EWMA_WEIGHT * (
                now - self._dequeued_at - previous_s
            )
        self._dequeued_at = now if self.queue else None

    def record(self, sample: Sample, instances: int, max_limit: float) -> None:
        """Update the load from one attempt.

        Args:
            sample: how the attempt ended.
            instances: number of instances of the service.
            max_limit: upper bound of the concurrency window.
        """
        load = self.instance(sample.instance, sample.at)
        if sample.kind is SampleKind.REFUSED:
            load.mark_unavailable()
        elif sample.kind in OVERLOAD_KINDS:
            load.record_overload(sample.at)
            if self._is_overload_widespread(sample.at, instances):
                self.window.on_overload(sample.at, self.latency_s)
        elif sample.kind is SampleKind.OK:
            load.record_response(sample.at, sample.latency_s)
            self.latency_s += EWMA_WEIGHT * (sample.latency_s - self.latency_s)
            is_limited = bool(self.queue) or self.in_flight + 1 >= self.window.limit
            self.window.on_response(sample.at, is_limited, max_limit)
