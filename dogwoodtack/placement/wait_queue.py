"""Where work waits for a free slot, and when it is turned away instead."""

import math
from typing import Any, NamedTuple

__all__ = ["Capacity", "QueuedRequest", "Rejection", "WaitQueue"]

# A refused caller comes back within this span after room is expected, so that
# those refused together do not come back together.
RETURN_SPREAD_S = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 3.0
# Late work waits for slots that work in time leaves free, this much longer at first and
# less the longer the load presses: after this time it is no wave that passes.
LATE_LIMIT_S = 1.0


class QueuedRequest(NamedTuple):
    """One request that waits.

    Attributes:
        order: a number that grows with each arrival.
        priority: rank of the request, 0 is the highest.
        start_by: when it has to start to meet its latency objective.
        give_up_at: when it has to start to be served at all.
        work: what the owner of the request needs to go on.
    """

    order: int
    priority: int
    start_by: float
    abandon_at: float
    payload: Any


class Capacity(NamedTuple):
    """How fast a service's work gets done, as one host sees it.

    Attributes:
        slots: slots that take work now, each sick instance's in part.
        hosts: hosts that compete for them.
        work_s: mean time a request holds a slot.
    """

    slots: float
    hosts: int
    service_time_s: float

    def expected_wait_s(self, ahead: int) -> float:
        """Return how long a request waits behind some others of this host."""
        if self.slots <= 0:
            return math.inf
        return (ahead + 1) * max(1, self.hosts) * self.service_time_s / self.slots


class Rejection(NamedTuple):
    """A request is turned away; it was not sent to any instance.

    Attributes:
        retry_after_s: when there will be room.
        why: the inputs of the decision, for the log.
    """

    retry_after_s: float
    detail: str


class WaitQueue:
    """A bounded queue of one service: in time first, then urgent, then by arrival.

    Load pattern: more work arrives than the sound instances hold, for a moment or
    for long.  A queue without a bound makes every answer late.  Here work that
    cannot start in time waits only for what the others leave, and only while the
    load has not pressed for long; then it is refused at once, with the time at
    which there will be room.
    """

    def __init__(self) -> None:
        self._tickets: list[QueuedRequest] = []
        # Since when some work in time has waited all the while.
        self._pressed_since: float | None = None

    def __len__(self) -> int:
        return len(self._tickets)

    def admit(
        self, ticket: QueuedRequest, capacity: Capacity, now: float, chance: float
    ) -> Rejection | None:
        """Take a ticket in, or return why not.

        Args:
            ticket: the request.
            room: how fast work gets done.
            now: seconds on the monotonic clock.
            chance: 0 to 1, drawn for the spread of returns.
        """
        ahead = sum(1 for known in self._tickets if known.priority <= ticket.priority)
        expected_wait_s = capacity.expected_wait_s(ahead)
        detail = (
            f"ahead {ahead}, slots {capacity.slots:.1f}, "
            f"service time {capacity.service_time_s:.2f} s"
        )
        self._note_pressure(now)
        allowed = max(0.0, self._latest_start(ticket, now) - now)
        if self._tickets and expected_wait_s > allowed:
            return Rejection(retry_after(expected_wait_s - allowed, chance), detail)
        if ticket.abandon_at <= now:
            return Rejection(retry_after(expected_wait_s, chance), detail)
        self._tickets.append(ticket)
        return None

    def _note_pressure(self, now: float) -> None:
        if not any(one.start_by >= now for one in self._tickets):
            self._pressed_since = None
        elif self._pressed_since is None:
            self._pressed_since = now

    def _latest_start(self, ticket: QueuedRequest, now: float) -> float:
        """Return until when a ticket waits, as things stand."""
        if self._pressed_since is None:
            return ticket.abandon_at
        late_s = max(0.0, LATE_LIMIT_S - (now - self._pressed_since))
        return min(ticket.abandon_at, ticket.start_by + late_s)

    def in_order(self, now: float) -> list[QueuedRequest]:
        """Return the tickets, the one to be served first at the front."""
        return sorted(
            self._tickets,
            key=lambda one: (one.start_by < now, one.priority, one.order),
        )

    def remove(self, ticket: QueuedRequest) -> bool:
        """Take a ticket out and return whether it was still in."""
        if ticket not in self._tickets:
            return False
        self._tickets.remove(ticket)
        return True

    def remove_expired(self, now: float) -> list[QueuedRequest]:
        """Take out and return the tickets that will not be served."""
        self._note_pressure(now)
        expired = [one for one in self._tickets if self._latest_start(one, now) <= now]
        for one in expired:
            self._tickets.remove(one)
        return expired


def retry_after(expected_wait_s: float, chance: float) -> float:
    """Return when a refused caller should come back, in seconds."""
    base = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_wait_s))
    return base + RETURN_SPREAD_S * chance
