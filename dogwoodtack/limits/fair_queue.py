"""Weighted fair queueing among customers."""

import math
from collections import deque
from typing import NamedTuple

from .waiter import Waiter

__all__ = ["FairQueue"]

USAGE_DECAY_S = 5.0
NEGLIGIBLE_USAGE = 0.01


class _Usage(NamedTuple):
    """A customer's recent grants divided by its weight, as of a time.

    Attributes:
        amount: grants divided by the weight, decayed until `at`.
        at: monotonic time in seconds.
    """

    amount: float
    at: float

    def decayed(self, now: float) -> float:
        """Return the amount, decayed exponentially until now."""
        return self.amount * math.exp((self.at - now) / USAGE_DECAY_S)


class FairQueue:
    """Serve the customer with the least recent usage, first in, first out within it.

    Slots that are granted without waiting count as well.  The queue is often too
    short for one request of each customer, so shares are based on decayed past usage
    and not on the order of the queue alone.
    """

    def __init__(self) -> None:
        self._queues: dict[str, deque[Waiter]] = {}
        self._usages: dict[str, _Usage] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def usage(self, customer: str, now: float) -> float:
        """Return a customer's recent grants divided by its weight."""
        usage = self._usages.get(customer)
        return usage.decayed(now) if usage is not None else 0.0

    def is_over_share(self, customer: str, now: float) -> bool:
        """Return whether a customer's usage is above the average."""
        if not self._usages:
            return False
        usages = [usage.decayed(now) for usage in self._usages.values()]
        return self.usage(customer, now) > sum(usages) / len(usages) + NEGLIGIBLE_USAGE

    def record_grant(self, customer: str, weight: float, now: float) -> None:
        """Record that a customer was granted a slot."""
        amount = self.usage(customer, now) + 1.0 / weight
        self._usages[customer] = _Usage(amount, now)
        if len(self._usages) > 2 * (len(self._queues) + 1):
            self._discard_negligible(now)

    def _discard_negligible(self, now: float) -> None:
        self._usages = {
            name: usage
            for name, usage in self._usages.items()
            if usage.decayed(now) > NEGLIGIBLE_USAGE
        }

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
