"""Queue of requests that wait for a free slot, with admission control."""

import copy
import math
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from ..fairness import ServedShares, UsageLedger
from .queue_order import Claim, by_claim, find_unmeetable, serving_order
from .queued_request import QueuedRequest
from .returns import ReturnTimes, retry_after
from .slot_share import SlotShare

__all__ = ["Capacity", "QueuedRequest", "Rejection", "WaitQueue"]

# How long past `start_by` a request may wait for slots that requests still on time
# leave free.  Congestion that lasts this long is no passing burst, so the limit shrinks
# to zero over the same time.
LATE_WAIT_LIMIT_S = 1.0
# Requests of a service that is shared fairly have to fit in this part of the time that
# they may wait. Without this margin for what other hosts take, a third more were
# rejected after an eighth of their objective.
ADMISSION_SHARE = 0.9
# Stands for a wait that never ends.
NEVER_S = 3600.0


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
    recent work and the starved kinds of request (see `queue_order`).

    Load pattern: more requests arrive than the healthy instances can serve, for a
    moment or for long.  With an unbounded queue every response would be late.  Here
    late requests only get the slots that the others leave free, and only until the
    congestion has lasted for some time.  From then on requests that cannot start on
    time are rejected at once, with the time until capacity is expected to be free.

    Attributes:
        usage: recent work of each organisation; None for a service that is not shared
            fairly.
        served: how often each kind of request gets a slot, kept with a ledger only.
        slot_share: whether free slots are left to other hosts, used with a ledger only.
    """

    def __init__(self, usage: UsageLedger | None = None) -> None:
        self.usage = usage
        self.served = ServedShares()
        self.slot_share = SlotShare()
        self._returns = ReturnTimes()
        # As of the last admission by claim.
        self._capacity = Capacity(0.0, 1, 0.0)
        self._unmeetable: list[QueuedRequest] = []
        self._requests: list[QueuedRequest] = []
        # Since when there has always been a queued request that is still on time.
        self._congested_since: float | None = None

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, queued: QueuedRequest) -> bool:
        return queued in self._requests

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
        self._update_congestion(now)
        if self.usage is not None:
            return self._admit_by_claim(queued, capacity, now, jitter)
        ahead = [one for one in self._requests if one.priority <= queued.priority]
        work_s = sum(capacity.work_s(one) for one in [*ahead, queued])
        expected_wait_s = capacity.expected_wait_s(work_s)
        detail = (
            f"ahead {len(ahead)}, slots {capacity.slots:.1f}, "
            f"service time {capacity.service_time_s:.2f} s"
        )
        allowed_wait_s = self._allowed_wait_s(queued, now)
        if self._requests and expected_wait_s > allowed_wait_s:
            return Rejection(
                retry_after(expected_wait_s - allowed_wait_s, jitter), detail
            )
        if queued.abandon_at <= now:
            return Rejection(retry_after(expected_wait_s, jitter), detail)
        self._requests.append(queued)
        return None

    def _admit_by_claim(
        self, queued: QueuedRequest, capacity: Capacity, now: float, jitter: float
    ) -> Rejection | None:
        self._capacity = capacity
        claims = self._claims([*self._requests, queued], now)
        unmeetable = find_unmeetable(
            claims,
            lambda one: now + ADMISSION_SHARE * self._allowed_wait_s(one, now),
            self._wait_s,
            now,
        )
        if queued in unmeetable or queued.abandon_at <= now:
            return self._rejection(queued, claims, now, jitter)
        self._requests.append(queued)
        self._unmeetable = self._displaced(queued, unmeetable, claims)
        return None

    def snapshot(self) -> "WaitQueue":
        """Return a copy whose admissions leave this queue and its requests alone."""
        copied = copy.copy(self)
        copied.slot_share = copy.copy(self.slot_share)
        copied._returns = copy.copy(self._returns)
        copied._requests = list(self._requests)
        copied._unmeetable = list(self._unmeetable)
        return copied

    def expected_wait_s(
        self, queued: QueuedRequest, capacity: Capacity, now: float
    ) -> float:
        """Return how long a request that is not queued yet would wait, in seconds."""
        if self.usage is None:
            ahead = [one for one in self._requests if one.priority <= queued.priority]
        else:
            claims = self._claims([*self._requests, queued], now)
            ahead = [one.request for one in claims]
            ahead = ahead[: ahead.index(queued)]
        work_s = sum(capacity.work_s(one) for one in [*ahead, queued])
        return capacity.expected_wait_s(work_s)

    def _displaced(
        self,
        queued: QueuedRequest,
        unmeetable: list[QueuedRequest],
        claims: list[Claim],
    ) -> list[QueuedRequest]:
        """Return what a new request displaces: as much work as its own, at most.

        What can't be met as instances have failed stays: they often recover in time.
        """
        left_s = self._capacity.work_s(queued)
        displaced = []
        for claim in reversed(claims):
            if left_s <= 0.0 or claim.request is queued:
                break
            if claim.request in unmeetable:
                displaced.append(claim.request)
                left_s -= self._capacity.work_s(claim.request)
        return displaced

    def pop_unmeetable(
        self, now: float, jitter: Callable[[], float]
    ) -> list[tuple[QueuedRequest, Rejection]]:
        """Remove what can't start in time since the last request was admitted.

        Args:
            now: seconds on the monotonic clock.
            jitter: returns a random number from 0 to 1 for each rejection.

        Returns:
            The removed requests and their rejections.
        """
        if not self._unmeetable:
            return []
        claims = self._claims(self._requests, now)
        removed = [
            (one, self._rejection(one, claims, now, jitter()))
            for one in self._unmeetable
            if self.remove(one)
        ]
        self._unmeetable = []
        return removed

    def expired_rejection(
        self, queued: QueuedRequest, now: float, jitter: Callable[[], float]
    ) -> Rejection:
        """Return the rejection of a removed request that has waited too long.

        Args:
            queued: the request.
            now: seconds on the monotonic clock.
            jitter: returns a random number from 0 to 1.
        """
        claims = self._claims([*self._requests, queued], now)
        return self._rejection(queued, claims, now, jitter())

    def _claims(self, requests: list[QueuedRequest], now: float) -> list[Claim]:
        return by_claim(requests, self.usage, self.served, now)

    def _wait_s(self, queued: QueuedRequest) -> float:
        """Return how long it takes to free a slot for a request, in seconds."""
        capacity = self._capacity
        return min(NEVER_S, capacity.expected_wait_s(capacity.work_s(queued)))

    def _allowed_wait_s(self, queued: QueuedRequest, now: float) -> float:
        return max(0.0, self._latest_start(queued, now) - now)

    def _rejection(
        self, queued: QueuedRequest, claims: list[Claim], now: float, jitter: float
    ) -> Rejection:
        """Return the rejection of a request, with what is ahead of it."""
        capacity = self._capacity
        ahead = [one.request for one in claims]
        ahead = ahead[: ahead.index(queued)]
        work_s = sum(capacity.work_s(one) for one in ahead)
        recent_s = self.usage.usage_s(queued.organisation, now)
        detail = (
            f"ahead {len(ahead)}, work ahead {work_s:.2f} s, "
            f"slots {capacity.slots:.1f}, "
            f"service time {capacity.work_s(queued):.2f} s, "
            f"organisation's work {recent_s:.2f} s"
        )
        room_s = self._wait_s(queued)
        wait_s = capacity.expected_wait_s(work_s) + room_s
        retry_after_s = self._returns.book(
            wait_s - self._allowed_wait_s(queued, now), room_s, now, jitter
        )
        return Rejection(retry_after_s, detail)

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
        if self.usage is None:
            return sorted(
                self._requests,
                key=lambda one: (one.start_by < now, one.priority, one.order),
            )
        return serving_order(self._claims(self._requests, now), now)

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
