"""A queue that gives each customer its share, whoever asks most."""

from collections import deque
from typing import NamedTuple

from .waiter import Waiter

__all__ = ["FairQueue"]


class _Item(NamedTuple):
    """A waiter with its place on the shares' clock."""

    start: float
    finish: float
    waiter: Waiter


class FairQueue:
    """Start-time fair queueing over customers, first come first served in each."""

    def __init__(self) -> None:
        self._items: dict[str, deque[_Item]] = {}
        self._last_finish: dict[str, float] = {}
        self._now = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, waiter: Waiter, weight: float) -> None:
        """Queue a waiter of a customer that has a weight."""
        name = waiter.req.customer
        start = max(self._now, self._last_finish.get(name, 0.0))
        item = _Item(start, start + 1.0 / weight, waiter)
        self._last_finish[name] = item.finish
        self._items.setdefault(name, deque()).append(item)
        self._count += 1

    def peek(self) -> Waiter | None:
        """Return whose turn it is, or None."""
        if not self._items:
            return None
        return self._items[self._next_name()][0].waiter

    def pop(self) -> Waiter | None:
        """Take out whose turn it is, or return None."""
        if not self._items:
            return None
        name = self._next_name()
        item = self._items[name].popleft()
        self._now = max(self._now, item.start)
        self._after_removal(name)
        return item.waiter

    def _next_name(self) -> str:
        return min(self._items, key=lambda name: self._items[name][0].finish)

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out that waits no longer."""
        name = waiter.req.customer
        items = self._items.get(name, ())
        for item in items:
            if item.waiter is waiter:
                items.remove(item)
                self._after_removal(name)
                return

    def _after_removal(self, name: str) -> None:
        self._count -= 1
        if self._items[name]:
            return
        del self._items[name]
        if not self._items:
            self._last_finish.clear()
            self._now = 0.0

    def ahead_of(self, customer: str, weight: float) -> float:
        """Return how many waiters a new one of a customer would wait for."""
        own = len(self._items.get(customer, ())) + 1
        turns = own / weight
        return sum(
            min(len(items), turns * self._weight(name))
            for name, items in self._items.items()
            if name != customer
        ) + (own - 1)

    def _weight(self, name: str) -> float:
        item = self._items[name][0]
        return 1.0 / (item.finish - item.start)

    def most_greedy(self, customer: str, weight: float) -> Waiter | None:
        """Return the newest waiter of whoever is furthest over its share.

        None means that it is the asking customer itself.
        """
        own = (len(self._items.get(customer, ())) + 1) / weight
        name = max(self._items, key=self._backlog, default=None)
        if name is None or name == customer or self._backlog(name) <= own:
            return None
        return self._items[name][-1].waiter

    def _backlog(self, name: str) -> float:
        return len(self._items[name]) / self._weight(name)
