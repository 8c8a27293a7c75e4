"""Simulated entry hosts and back ends that use the daemon's own limits."""

import random
from collections.abc import Callable
from typing import NamedTuple

from dogwoodtack.catalog import Catalog, Instance
from dogwoodtack.errors import ErrorKind
from dogwoodtack.health import Sample, SampleKind
from dogwoodtack.limits import Limits, Slot, SlotRequest

from .virtual import VirtualLoop

__all__ = ["Backend", "Call", "FleetHost", "NaiveHost", "Site"]

NETWORK_DELAY_S = 0.0005
SHED_COST_S = 0.001
QUEUE_LENGTH_PER_SLOT = 2
COLD_START_FACTOR = 5.0
MAX_ATTEMPTS = 3
FIRST_ATTEMPT_SHARE = 0.6


class Site(NamedTuple):
    """Size and load parameters of one service.

    Attributes:
        service_time_s: mean service time of a request in seconds.
        deadline_s: seconds from a request's arrival to its deadline.
    """

    name: str
    hosts: int
    instances: int
    slots: int
    service_time_s: float
    deadline_s: float

    @property
    def capacity(self) -> float:
        """Return the requests per second that all slots can process."""
        return self.instances * self.slots / self.service_time_s


class Backend:
    """An instance with slots, a short queue, shedding, cancellation and cold start."""

    def __init__(self, loop: VirtualLoop, site: Site, rng: random.Random) -> None:
        self._loop = loop
        self._site = site
        self._rng = rng
        self._running: dict["Attempt", None] = {}
        self._queue: list["Attempt"] = []
        self._pending_shed_cost_s = 0.0
        self.down_until = 0.0
        self.cold_until = 0.0

    def accept(self, attempt: "Attempt") -> None:
        """Run, queue, shed or refuse an attempt that has arrived."""
        if self._loop.clock.now < self.down_until:
            attempt.end_later(NETWORK_DELAY_S, SampleKind.REFUSED)
        elif len(self._running) < self._site.slots:
            self._run(attempt)
        elif len(self._queue) < QUEUE_LENGTH_PER_SLOT * self._site.slots:
            self._queue.append(attempt)
        else:
            self._pending_shed_cost_s += SHED_COST_S
            attempt.end_later(NETWORK_DELAY_S, SampleKind.SHED)

    def _run(self, attempt: "Attempt") -> None:
        service_time_s = self._rng.gammavariate(4.0, self._site.service_time_s / 4.0)
        if self._loop.clock.now < self.cold_until:
            service_time_s *= COLD_START_FACTOR
        service_time_s += self._pending_shed_cost_s
        self._pending_shed_cost_s = 0.0
        self._running[attempt] = None
        self._loop.call_later(service_time_s, self._finish, attempt)

    def _finish(self, attempt: "Attempt") -> None:
        if attempt in self._running:
            del self._running[attempt]
            attempt.end_later(NETWORK_DELAY_S, SampleKind.OK)
            self._run_queued()

    def cancel(self, attempt: "Attempt") -> None:
        """Remove an attempt that the entry host no longer waits for."""
        if attempt in self._queue:
            self._queue.remove(attempt)
        elif attempt in self._running:
            del self._running[attempt]
            self._run_queued()

    def _run_queued(self) -> None:
        while self._queue and len(self._running) < self._site.slots:
            self._run(self._queue.pop(0))

    def restart(self, down_s: float, cold_s: float) -> None:
        """Cut all attempts, refuse new ones while down, and be slow while cold.

        Args:
            down_s: seconds in which attempts are refused.
            cold_s: seconds of slow service afterwards.
        """
        now = self._loop.clock.now
        self.down_until = now + down_s
        self.cold_until = now + down_s + cold_s
        for attempt in [*self._running, *self._queue]:
            attempt.end_later(NETWORK_DELAY_S, SampleKind.CUT)
        self._running.clear()
        self._queue.clear()


class Attempt:
    """One attempt at one back end."""

    def __init__(
        self,
        loop: VirtualLoop,
        backend: Backend,
        timeout_s: float,
        on_end: Callable[[SampleKind, float], None],
    ) -> None:
        self._loop = loop
        self._backend = backend
        self._on_end: Callable[[SampleKind, float], None] | None = on_end
        self._started_at = loop.clock.now
        self._timer = loop.call_later(timeout_s, self._on_timeout)
        loop.call_later(NETWORK_DELAY_S, self._arrive)

    def _arrive(self) -> None:
        if self._on_end is not None:
            self._backend.accept(self)

    def end_later(self, delay_s: float, kind: SampleKind) -> None:
        """Report the outcome to the entry host after a delay."""
        self._loop.call_later(delay_s, self._end, kind)

    def _on_timeout(self) -> None:
        self._backend.cancel(self)
        self._end(SampleKind.TIMEOUT)

    def _end(self, kind: SampleKind) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            self._timer.cancel()
            on_end(kind, self._loop.clock.now - self._started_at)


class Call:
    """One caller's idempotent request."""

    def __init__(
        self, customer: str, deadline: float, on_done: Callable[["Call"], None]
    ) -> None:
        self.customer = customer
        self.deadline = deadline
        self.on_done = on_done
        self.tried: set[str] = set()
        self.attempts = 0
        self.reached_count = 0
        self.is_successful = False

    def finish(self, is_successful: bool) -> None:
        """Report the result to the caller."""
        self.is_successful = is_successful
        self.on_done(self)


class _AllHealthy:
    """Health, floor and draining of instances that are all healthy and in rotation."""

    def weight(self, service: str, instance: str) -> float:
        return 1.0

    def is_removed(self, service: str, instance: str) -> bool:
        return False

    def is_draining(self, service: str, instance: str) -> bool:
        return False


class FleetHost:
    """An entry host that uses the daemon's limits."""

    def __init__(
        self,
        loop: VirtualLoop,
        catalog: Catalog,
        backends: dict[str, Backend],
        rng: random.Random,
    ) -> None:
        healthy = _AllHealthy()
        self._loop = loop
        self._service = catalog.services()[0]
        self._backends = backends
        self._limits = Limits(loop, catalog, healthy, healthy, healthy, rng)

    def handle(self, call: Call) -> None:
        """Serve a call in the way of the daemon's exchange."""
        req = SlotRequest(
            service=self._service,
            customer=call.customer,
            deadline=call.deadline,
            exclude=frozenset(call.tried),
            is_retry=call.reached_count > 0,
        )

        def on_slot(slot: Slot | None, kind: ErrorKind | None) -> None:
            if slot is None:
                call.finish(False)
            else:
                self._dispatch(call, slot)

        self._limits.acquire(req, on_slot)

    def _dispatch(self, call: Call, slot: Slot) -> None:
        remaining_s = call.deadline - self._loop.clock.now
        if remaining_s <= 0:
            slot.release()
            call.finish(False)
            return
        call.attempts += 1
        call.tried.add(slot.instance.name)
        timeout_share = FIRST_ATTEMPT_SHARE if call.attempts == 1 else 1.0

        def on_end(kind: SampleKind, took_s: float) -> None:
            slot.release()
            call.reached_count += kind is not SampleKind.REFUSED
            self._record(slot.instance, kind, took_s)
            if kind is SampleKind.OK:
                call.finish(True)
            elif call.attempts < MAX_ATTEMPTS:
                self.handle(call)
            else:
                call.finish(False)

        Attempt(
            self._loop,
            self._backends[slot.instance.name],
            remaining_s * timeout_share,
            on_end,
        )

    def _record(self, instance: Instance, kind: SampleKind, took_s: float) -> None:
        now = self._loop.clock.now
        name = self._service.name
        self._limits.record(Sample(name, instance.name, True, kind, took_s, now))


class NaiveHost:
    """Round robin with up to three immediate attempts, no limits, no retry budget."""

    def __init__(
        self, loop: VirtualLoop, backends: dict[str, Backend], rng: random.Random
    ) -> None:
        self._loop = loop
        self._backends = list(backends.values())
        self._next_index = rng.randrange(len(self._backends))

    def handle(self, call: Call) -> None:
        """Try the next instances in order."""
        remaining_s = call.deadline - self._loop.clock.now
        if remaining_s <= 0 or call.attempts == MAX_ATTEMPTS:
            call.finish(False)
            return
        call.attempts += 1
        self._next_index = (self._next_index + 1) % len(self._backends)
        timeout_s = remaining_s / (MAX_ATTEMPTS - call.attempts + 1)

        def on_end(kind: SampleKind, took_s: float) -> None:
            call.reached_count += kind is not SampleKind.REFUSED
            if kind is SampleKind.OK:
                call.finish(True)
            else:
                self.handle(call)

        Attempt(self._loop, self._backends[self._next_index], timeout_s, on_end)
