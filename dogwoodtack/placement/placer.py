"""Place requests on instances: what is known, who waits, what may be repeated."""

import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from .beliefs import Beliefs
from .choice import Candidate, Manner, Want, choose, kept_slots
from .instances import Instance, InstanceBook
from .occupancy import Occupancy
from .retries import RetryBudget, RetryRules
from .waiting import Refusal, Room, Ticket, WaitingRoom

__all__ = ["Ask", "Placer"]

WORK_GUESS_S = 0.3
WORK_WEIGHT = 0.05
# Work is planned to take this many times its mean, so that most of it ends in time.
PLANNED_WORKS = 1.3
# At most this likely sick, an instance of the own zone is taken without more ado.
SURELY_SOUND = 0.06
# Work that runs once goes to an instance that is likely sick only if it would not be
# served at all otherwise: within this many work times of its end.
LAST_RESORT_WORKS = 1.5
# A large answer waits this part of its spare time for an instance of the own zone.
PATIENT_SHARE = 0.5


class Ask(NamedTuple):
    """A request for a slot at some instance of a service.

    Attributes:
        service: whose instances may take it.
        want: what it asks of the instance.
        priority: rank of the request, 0 is the highest.
        start_by: when it has to start to meet its objective.
        give_up_at: when it has to start to be served at all.
        arrived_at: when the request came.
        on_place: called with the instance, or with a Refusal.
    """

    service: str
    want: Want
    priority: int
    start_by: float
    give_up_at: float
    arrived_at: float
    on_place: Callable[[Instance | Refusal], None]


class Placer:
    """Decide where requests run; no input or output, time is passed in."""

    def __init__(
        self, book: InstanceBook, zone: str, rng: random.Random, rules: RetryRules
    ) -> None:
        self.book = book
        self.occupancy = Occupancy()
        self.beliefs = Beliefs()
        self.rivals = 1
        self.sharers = 1
        self._zone = zone
        self._rng = rng
        self._rules = rules
        self._rooms: dict[str, WaitingRoom] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._work_s: dict[str, float] = {}
        self._order = itertools.count()

    def budget(self, service: str) -> RetryBudget:
        """Return a service's retry budget."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._rules)
        return self._budgets[service]

    def work_s(self, service: str) -> float:
        """Return the mean time that a request of a service holds a slot."""
        return self._work_s.get(service, WORK_GUESS_S)

    def start_by(self, service: str, arrived_at: float, objective_s: float) -> float:
        """Return when a request has to start to meet its objective."""
        return arrived_at + objective_s - PLANNED_WORKS * self.work_s(service)

    def candidates(
        self, service: str, now: float, only_local: bool = False
    ) -> list[Candidate]:
        """Return the instances of a service that take new work.

        Args:
            service: whose instances.
            now: seconds on the monotonic clock.
            only_local: whether only those of the own zone are wanted.
        """
        found = []
        for instance in self.book.of_service(service):
            is_local = instance.zone == self._zone
            if instance.is_draining or (only_local and not is_local):
                continue
            if self.beliefs.is_displaced(instance):
                continue
            # Slots are left only to hosts that are there to use them.
            has_hosts = not is_local and self.occupancy.hears(instance.zone)
            belief = self.beliefs.of(instance.id, now)
            found.append(
                Candidate(
                    instance,
                    self.occupancy.on(instance.id),
                    self.beliefs.sick(instance.id, now),
                    now - belief.heard_at,
                    is_local,
                    belief.was_good,
                    kept_slots(instance.slots) if has_hosts else 0,
                )
            )
        return found

    def place(self, ask: Ask, now: float) -> Ticket | None:
        """Place a request now, let it wait, or refuse it.

        Returns:
            a Ticket if it waits; else `on_place` was called.
        """
        local = self._choose_local(ask, now)
        if local is not None:
            self._grant(ask, local.instance)
            return None
        candidates = self.candidates(ask.service, now)
        if not candidates:
            ask.on_place(Refusal(self.work_s(ask.service), "no instance is known"))
            return None
        found = self._choose(candidates, ask, now)
        if found is not None:
            self._grant(ask, found.instance)
            return None
        return self._wait(ask, candidates, now)

    def _choose_local(self, ask: Ask, now: float) -> Candidate | None:
        """Return an instance of the own zone that no other zone's can beat.

        At large sites most instances are elsewhere, and are not worth a look.
        """
        candidates = self.candidates(ask.service, now, only_local=True)
        found = choose(candidates, ask.want, self._rng)
        if found is not None and found.sick <= SURELY_SOUND:
            return found
        return None

    def place_now(self, ask: Ask, now: float) -> bool:
        """Place a request only if none has to wait, and return whether it was."""
        if len(self._rooms.get(ask.service, ())):
            return False
        found = choose(self.candidates(ask.service, now), ask.want, self._rng)
        if found is None:
            return False
        self._grant(ask, found.instance)
        return True

    def _choose(
        self, candidates: list[Candidate], ask: Ask, now: float
    ) -> Candidate | None:
        if self._is_patient(ask, now):
            candidates = [one for one in candidates if one.is_local]
        found = choose(candidates, ask.want, self._rng)
        if found is None and self._is_desperate(ask, now):
            found = choose(candidates, ask.want, self._rng, is_last_resort=True)
        return found

    def _is_patient(self, ask: Ask, now: float) -> bool:
        """Return whether a large answer still waits for an instance of the zone."""
        patience_s = PATIENT_SHARE * max(0.0, ask.start_by - ask.arrived_at)
        return ask.want.is_heavy and now < ask.arrived_at + patience_s

    def _is_desperate(self, ask: Ask, now: float) -> bool:
        """Return whether a request would otherwise not be served at all."""
        return now >= ask.give_up_at - LAST_RESORT_WORKS * self.work_s(ask.service)

    def _wait(self, ask: Ask, candidates: list[Candidate], now: float) -> Ticket | None:
        room = self._rooms.setdefault(ask.service, WaitingRoom())
        ticket = Ticket(
            next(self._order), ask.priority, ask.start_by, ask.give_up_at, ask
        )
        slots = self._sound_slots(candidates)
        pace = Room(slots, self.rivals, self.work_s(ask.service))
        refusal = room.admit(ticket, pace, now, self._rng.random())
        if refusal is None:
            return ticket
        found = None
        if ask.want.manner is Manner.SCOUT:
            # A look-up that fails there costs a repeat and no slot; some succeed.
            found = choose(candidates, ask.want, self._rng, is_last_resort=True)
        if found is None:
            ask.on_place(refusal)
        else:
            self._grant(ask, found.instance)
        return None

    def _sound_slots(self, candidates: list[Candidate]) -> float:
        """Return the slots that this zone's hosts can count on.

        These are the zone's own, or its part of all where its own are few or sick.
        """
        sound = [one.instance.slots * (1.0 - one.sick) for one in candidates]
        own = sum(slots for slots, one in zip(sound, candidates) if one.is_local)
        return max(own, sum(sound) / max(1, len(self.book.zones())))

    def _grant(self, ask: Ask, instance: Instance) -> None:
        self.occupancy.begin(instance.id)
        ask.on_place(instance)

    def withdraw(self, ticket: Ticket) -> None:
        """Take back a request that waits."""
        room = self._rooms.get(ticket.work.service)
        if room is not None:
            room.remove(ticket)

    def pump(self, now: float) -> None:
        """Place what waits, as far as there is room, and refuse what is too late."""
        for service, room in self._rooms.items():
            if not len(room):
                continue
            for ticket in room.take_expired(now):
                why = f"waited {now - ticket.work.arrived_at:.2f} s"
                ticket.work.on_place(Refusal(self.work_s(service), why))
            self._pump_room(service, room, now)

    def _pump_room(self, service: str, room: WaitingRoom, now: float) -> None:
        candidates = self.candidates(service, now)
        # Where one request finds no room, others that want the same find none either.
        without_room: set[tuple[Manner, frozenset[str], bool, bool]] = set()
        for ticket in room.in_order(now):
            ask = ticket.work
            kind = (
                ask.want.manner,
                ask.want.exclude,
                self._is_patient(ask, now),
                self._is_desperate(ask, now),
            )
            if kind in without_room:
                continue
            found = self._choose(candidates, ask, now)
            if found is None:
                without_room.add(kind)
            elif room.remove(ticket):
                self._grant(ask, found.instance)
                candidates = self.candidates(service, now)

    def waiting(self) -> dict[str, int]:
        """Return how many requests wait for each service."""
        return {service: len(room) for service, room in self._rooms.items()}

    def finish(self, instance_id: str) -> None:
        """Note that a request of this host has left an instance."""
        self.occupancy.end(instance_id)

    def note_work(self, service: str, seconds: float) -> None:
        """Take in how long a request held its slot."""
        known = self._work_s.get(service, WORK_GUESS_S)
        self._work_s[service] = known + WORK_WEIGHT * (seconds - known)

    def on_zone(
        self, zone: str, in_flight: dict[str, int], sick: dict[str, int], now: float
    ) -> None:
        """Take another zone's word about its load and its own instances.

        Args:
            zone: whose word.
            in_flight: the zone's requests at each instance.
            sick: probability in percent that each of its instances is sick.
            now: seconds on the monotonic clock.
        """
        self.occupancy.on_zone(zone, in_flight, now)
        self.beliefs.on_zone(sick, now)

    def standings(self, now: float) -> dict[str, int]:
        """Return in percent how likely each instance of this zone is sick."""
        own = [one.id for one in self.book.all() if one.zone == self._zone]
        return self.beliefs.standings(own, now)
