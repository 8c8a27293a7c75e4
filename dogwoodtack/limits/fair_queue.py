"""A queue that gives each customer its share, whoever asks most."""

import math
from collections import deque
from typing import NamedTuple

from .waiter import Waiter

__all__ = ["FairQueue"]

MEMORY_S = 5.0
FORGOTTEN = 0.01


class _Usage(NamedTuple):
    """What a customer was granted lately, against its weight, as of a time."""

    amount: float
    at: float

    def now(self, now: float) -> float:
        """Return the amount as it has faded until now."""
        return self.amount * math.exp((self.at - now) / MEMORY_S)


class FairQueue:
    """Serve whoever was granted least lately; first come, first served within.

    What is granted without waiting counts too.  A queue is often so short that
    one request of each customer does not fit, so shares are kept by memory and
    not by the queue's order alone.
    """

    def __init__(self) -> None:
        self._items: dict[str, deque[Waiter]] = {}
        self._usages: dict[str, _Usage] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def usage(self, customer: str, now: float) -> float:
        """Return what a customer was granted lately, against its weight."""
        known = self._usages.get(customer)
        return known.now(now) if known is not None else 0.0

    def is_over_share(self, customer: str, now: float) -> bool:
        """Return whether a customer was granted more lately than is usual."""
        if not self._usages:
            return False
        usages = [usage.now(now) for usage in self._usages.values()]
        return self.usage(customer, now) > sum(usages) / len(usages) + FORGOTTEN

    def note_grant(self, customer: str, weight: float, now: float) -> None:
        """Note that a customer was granted a slot."""
        amount = self.usage(customer, now) + 1.0 / weight
        self._usages[customer] = _Usage(amount, now)
        if len(self._usages) > 2 * (len(self._items) + 1):
            self._forget(now)

    def _forget(self, now: float) -> None:
        self._usages = {
            name: usage
            for name, usage in self._usages.items()
            if usage.now(now) > FORGOTTEN
        }

    def push(self, waiter: Waiter) -> None:
        """Queue a waiter."""
        self._items.setdefault(waiter.req.customer, deque()).append(waiter)
        self._count += 1

    def peek(self, now: float) -> Waiter | None:
        """Return whose turn it is, or None."""
        if not self._items:
            return None
        return self._items[self._next_name(now)][0]

    def _next_name(self, now: float) -> str:
        return min(self._items, key=lambda name: self.usage(name, now))

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out that waits no longer."""
        name = waiter.req.customer
        items = self._items.get(name)
        if items is None or waiter not in items:
            return
        items.remove(waiter)
        self._count -= 1
        if not items:
            del self._items[name]

    def ahead_of(self, customer: str, now: float) -> int:
        """Return how many waiters come before a new one of a customer, roughly."""
        own = self.usage(customer, now)
        return sum(
            len(items)
            for name, items in self._items.items()
            if name == customer or self.usage(name, now) <= own
        )

    def most_greedy(self, customer: str, now: float) -> Waiter | None:
        """Return the newest waiter of whoever was granted most lately.

        None means that no waiter's customer was granted more than the one that
        asks.
        """
        own = self.usage(customer, now)
        name = max(
            self._items, key=lambda name: self.usage(name, now), default=customer
        )
        if name == customer or self.usage(name, now) <= own:
            return None
        return self._items[name][-1]
