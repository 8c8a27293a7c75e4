"""Queue of requests that wait for a free slot, with admission control."""

import math
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from ..fairness import ServedShares, UsageLedger
from .queue_order import serving_order
from .returns import ReturnTimes, retry_after

__all__ = ["Capacity", "QueuedRequest", "Rejection", "WaitQueue"]

# How long past `start_by` a request may wait for slots that requests still on time
# leave free.  Congestion that lasts this long is no passing burst, so the limit shrinks
# to zero over the same time.
LATE_WAIT_LIMIT_S = 1.0


class QueuedRequest(NamedTuple):
    """A request that waits for a free slot.

    Times are in seconds on the monotonic clock.

    Attributes:
        order: sequence number of its arrival.
        priority: priority of the request, 0 is the highest.
        start_by: latest start that meets its latency objective.
        abandon_at: latest start at which it is served at all.
        payload: what the owner of the queue needs to place the request.
        organisation: the organisation that sends it, empty if it names none.
        organisation_priority: that organisation's priority, 0 is the highest.
        kind: the kind of request that it is counted as.
        work_s: expected time that it holds a slot, in seconds; None for the service's
            mean.
    """

    order: int
    priority: int
    start_by: float
    abandon_at: float
    payload: Any
    organisation: str = ""
    organisation_priority: int = 0
    kind: str = ""
    work_s: float | None = None


class Capacity(NamedTuple):
    """Capacity of a service, as one host sees it.

    Attributes:
        slots: usable slots; an instance's slots count by how likely it is healthy.
        hosts: hosts that compete for them.
        service_time_s: mean time that a request holds a slot, in seconds.
    """

    slots: float
    hosts: int
    service_time_s: float

    def work_s(self, queued: QueuedRequest) -> float:
        """Return how long a request is expected to hold a slot, in seconds."""
        return self.service_time_s if queued.work_s is None else queued.work_s

    def expected_wait_s(self, work_s: float) -> float:
        """Return how long it takes to free slots for some work, in seconds.

        Args:
            work_s: work of this host's requests, in seconds of a slot.
        """
        if self.slots <= 0:
            return math.inf
        return work_s * max(1, self.hosts) / self.slots


class Rejection(NamedTuple):
    """The request is rejected; this placement sent it to no instance.

    Attributes:
        retry_after_s: seconds until capacity is expected to be free.
        detail: the inputs of the decision, for the log.
    """

    retry_after_s: float
    detail: str


class WaitQueue:
    """Bounded queue of one service.

    Requests that can still meet their latency objective come before late ones. Then
    priority and arrival decide, and with a ledger also the organisations' priority and
    recent work and the starved kinds of request (see `serving_order`).

    Load pattern: more requests arrive than the healthy instances can serve, for a
    moment or for long.  With an unbounded queue every response would be late.  Here
    late requests only get the slots that the others leave free, and only until the
    congestion has lasted for some time.  From then on requests that cannot start on
    time are rejected at once, with the time until capacity is expected to be free.

    Attributes:
        usage: recent work of each organisation; None for a service that is not shared
            fairly.
        served: how often each kind of request gets a slot, kept with a ledger only.
    """

    def __init__(self, usage: UsageLedger | None = None) -> None:
        self.usage = usage
        self.served = ServedShares()
        self._returns = ReturnTimes()
        self._requests: list[QueuedRequest] = []
        # Since when there has always been a queued request that is still on time.
        self._congested_since: float | None = None

    def __len__(self) -> int:
        return len(self._requests)

    def admit(
        self, queued: QueuedRequest, capacity: Capacity, now: float, jitter: float
    ) -> Rejection | None:
        """Add a request to the queue, or return a Rejection.

        An empty queue admits every request that need not be abandoned yet.

        Args:
            queued: the request.
            capacity: capacity of the service.
            now: seconds on the monotonic clock.
            jitter: 0 to 1, a random number that spreads the retries of callers.
        """
        ahead = self._ahead_of(queued, now)
        work_s = sum(capacity.work_s(one) for one in [*ahead, queued])
        expected_wait_s = capacity.expected_wait_s(work_s)
        self._update_congestion(now)
        allowed_wait_s = max(0.0, self._latest_start(queued, now) - now)
        if self._requests and expected_wait_s > allowed_wait_s:
            return self._reject(
                queued, ahead, capacity, expected_wait_s - allowed_wait_s, now, jitter
            )
        if queued.abandon_at <= now:
            return self._reject(queued, ahead, capacity, expected_wait_s, now, jitter)
        self._requests.append(queued)
        return None

    def _ahead_of(self, queued: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Return the queued requests that are served before another one."""
        if self.usage is None:
            return [one for one in self._requests if one.priority <= queued.priority]
        order = self._order([*self._requests, queued], now)
        return order[: order.index(queued)]

    def _reject(
        self,
        queued: QueuedRequest,
        ahead: list[QueuedRequest],
        capacity: Capacity,
        wait_s: float,
        now: float,
        jitter: float,
    ) -> Rejection:
        detail = (
            f"ahead {len(ahead)}, slots {capacity.slots:.1f}, "
            f"service time {capacity.service_time_s:.2f} s"
        )
        if self.usage is None:
            return Rejection(retry_after(wait_s, jitter), detail)
        work_s = sum(capacity.work_s(one) for one in ahead)
        recent_s = self.usage.usage_s(queued.organisation, now)
        detail += f", work ahead {work_s:.2f} s, organisation's work {recent_s:.2f} s"
        room_s = capacity.expected_wait_s(capacity.work_s(queued))
        return Rejection(self._returns.book(wait_s, room_s, now, jitter), detail)

    def reject_unmeetable(
        self, capacity: Capacity, now: float, jitter: Callable[[], float]
    ) -> list[tuple[QueuedRequest, Rejection]]:
        """Remove the requests that can't start in time any more, as others go before.

        The first request in order always stays: nothing that waits delays it.

        Args:
            capacity: capacity of the service.
            now: seconds on the monotonic clock.
            jitter: returns a random number from 0 to 1 for each rejection.

        Returns:
            The removed requests and their rejections.
        """
        work_s = 0.0
        kept: list[QueuedRequest] = []
        removed = []
        for one in self._order(self._requests, now):
            expected_wait_s = capacity.expected_wait_s(work_s + capacity.work_s(one))
            allowed_wait_s = max(0.0, self._latest_start(one, now) - now)
            if kept and expected_wait_s > allowed_wait_s:
                wait_s = expected_wait_s - allowed_wait_s
                rejection = self._reject(one, kept, capacity, wait_s, now, jitter())
                removed.append((one, rejection))
            else:
                kept.append(one)
                work_s += capacity.work_s(one)
        for one, _ in removed:
            self._requests.remove(one)
        return removed

    def _update_congestion(self, now: float) -> None:
        if not any(one.start_by >= now for one in self._requests):
            self._congested_since = None
        elif self._congested_since is None:
            self._congested_since = now

    def _latest_start(self, queued: QueuedRequest, now: float) -> float:
        """Return until when a request may wait under the current congestion."""
        if self._congested_since is None:
            return queued.abandon_at
        late_s = max(0.0, LATE_WAIT_LIMIT_S - (now - self._congested_since))
        return min(queued.abandon_at, queued.start_by + late_s)

    def in_order(self, now: float) -> list[QueuedRequest]:
        """Return the queued requests in the order in which they are served."""
        return self._order(self._requests, now)

    def _order(self, requests: list[QueuedRequest], now: float) -> list[QueuedRequest]:
        if self.usage is None:
            return sorted(
                requests,
                key=lambda one: (one.start_by < now, one.priority, one.order),
            )
        return serving_order(requests, self.usage, self.served, now)

    def remove(self, queued: QueuedRequest) -> bool:
        """Remove a request and return whether it was still queued."""
        if queued not in self._requests:
            return False
        self._requests.remove(queued)
        return True

    def lengths(self) -> Counter[int]:
        """Return the number of queued requests by priority."""
        return Counter(one.priority for one in self._requests)

    def remove_all(self) -> list[QueuedRequest]:
        """Remove and return all queued requests."""
        removed, self._requests = self._requests, []
        return removed

    def remove_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that have waited too long."""
        self._update_congestion(now)
        expired = [one for one in self._requests if self._latest_start(one, now) <= now]
        for one in expired:
            self._requests.remove(one)
        return expired
