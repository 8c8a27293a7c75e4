"""Queue of requests that wait for a free slot, with admission control."""

import math
from typing import Any, NamedTuple

__all__ = ["Capacity", "QueuedRequest", "Rejection", "WaitQueue"]

# Jitter of Retry-After, so that callers rejected together do not retry together.
RETRY_JITTER_S = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 3.0
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
    """

    order: int
    priority: int
    start_by: float
    abandon_at: float
    payload: Any


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

    def expected_wait_s(self, ahead: int) -> float:
        """Return how long a request waits, in seconds.

        Args:
            ahead: requests of this host that are served before it.
        """
        if self.slots <= 0:
            return math.inf
        return (ahead + 1) * max(1, self.hosts) * self.service_time_s / self.slots


class Rejection(NamedTuple):
    """The request is rejected; this placement sent it to no instance.

    Attributes:
        retry_after_s: seconds until capacity is expected to be free.
        detail: the inputs of the decision, for the log.
    """

    retry_after_s: float
    detail: str


class WaitQueue:
    """Bounded queue of one service, ordered by lateness, priority and arrival.

    Requests that can still meet their latency objective come before late ones.

    Load pattern: more requests arrive than the healthy instances can serve, for a
    moment or for long.  With an unbounded queue every response would be late.  Here
    late requests only get the slots that the others leave free, and only until the
    congestion has lasted for some time.  From then on requests that cannot start on
    time are rejected at once, with the time until capacity is expected to be free.
    """

    def __init__(self) -> None:
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
        ahead = sum(1 for known in self._requests if known.priority <= queued.priority)
        expected_wait_s = capacity.expected_wait_s(ahead)
        detail = (
            f"ahead {ahead}, slots {capacity.slots:.1f}, "
            f"service time {capacity.service_time_s:.2f} s"
        )
        self._update_congestion(now)
        allowed_wait_s = max(0.0, self._latest_start(queued, now) - now)
        if self._requests and expected_wait_s > allowed_wait_s:
            return Rejection(
                retry_after(expected_wait_s - allowed_wait_s, jitter), detail
            )
        if queued.abandon_at <= now:
            return Rejection(retry_after(expected_wait_s, jitter), detail)
        self._requests.append(queued)
        return None

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
        return sorted(
            self._requests,
            key=lambda one: (one.start_by < now, one.priority, one.order),
        )

    def remove(self, queued: QueuedRequest) -> bool:
        """Remove a request and return whether it was still queued."""
        if queued not in self._requests:
            return False
        self._requests.remove(queued)
        return True

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


def retry_after(wait_s: float, jitter: float) -> float:
    """Return after how many seconds a rejected caller should retry.

    Args:
        wait_s: seconds until capacity is expected to be free.
        jitter: 0 to 1, a random number.
    """
    base = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return base + RETRY_JITTER_S * jitter
