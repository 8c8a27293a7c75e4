"""Weighted fair queueing among customers."""

from collections import deque

from ..fairness import UsageLedger
from .waiter import Waiter

__all__ = ["FairQueue"]

NEGLIGIBLE_USAGE = 0.01


class FairQueue:
    """Serve the customer with the least recent usage, first in, first out within it.

    Slots that are granted without waiting count as well.  The queue is often too
    short for one request of each customer, so shares are based on decayed past usage
    and not on the order of the queue alone.
    """

    def __init__(self) -> None:
        self._queues: dict[str, deque[Waiter]] = {}
        self._usages = UsageLedger()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def usage(self, customer: str, now: float) -> float:
        """Return a customer's recent grants divided by its weight."""
        return self._usages.usage_s(customer, now)

    def is_over_share(self, customer: str, now: float) -> bool:
        """Return whether a customer's usage is above the average."""
        if not len(self._usages):
            return False
        mean = self._usages.total_usage_s(now) / len(self._usages)
        return self.usage(customer, now) > mean + NEGLIGIBLE_USAGE

    def record_grant(self, customer: str, weight: float, now: float) -> None:
        """Record that a customer was granted a slot."""
        self._usages.record(customer, 1.0 / weight, now)
        if len(self._usages) > 2 * (len(self._queues) + 1):
            self._usages.discard_negligible(NEGLIGIBLE_USAGE, now)

    def push(self, waiter: Waiter) -> None:
        """Add a waiter to its customer's queue."""
        self._queues.setdefault(waiter.req.customer, deque()).append(waiter)
        self._count += 1

    def peek(self, now: float) -> Waiter | None:
        """Return the waiter to serve next, or None if the queue is empty."""
        if not self._queues:
            return None
        return self._queues[self._next_customer(now)][0]

    def _next_customer(self, now: float) -> str:
        return min(self._queues, key=lambda name: self.usage(name, now))

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter, if it is queued."""
        name = waiter.req.customer
        queue = self._queues.get(name)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self._count -= 1
        if not queue:
            del self._queues[name]

    def ahead_of(self, customer: str, now: float) -> int:
        """Return roughly how many waiters are served before a customer's new one."""
        own = self.usage(customer, now)
        return sum(
            len(queue)
            for name, queue in self._queues.items()
            if name == customer or self.usage(name, now) <= own
        )

    def eviction_candidate(self, customer: str, now: float) -> Waiter | None:
        """Return the newest waiter of the customer with the highest usage.

        Returns None if no queued customer has a higher usage than `customer`.
        """
        own = self.usage(customer, now)
        name = max(
            self._queues, key=lambda name: self.usage(name, now), default=customer
        )
        if name == customer or self.usage(name, now) <= own:
            return None
        return self._queues[name][-1]
