"""Which entry hosts serve a service: its home set, by rendezvous hashing."""

import hashlib
from typing import NamedTuple

from ..catalog import Service
from .members import Member, Membership

__all__ = ["MAX_HOMES", "MIN_HOMES", "HomeSets", "home_set", "home_size"]

MIN_HOMES = 6
MAX_HOMES = 36
SLOTS_PER_HOME = 8


def home_size(service: Service) -> int:
    """Return how many entry hosts a service needs.

    Few hosts balance small instances better and see more of each one; more are
    needed only to carry the work of many slots.
    """
    slots = sum(instance.slots for instance in service.instances)
    return max(MIN_HOMES, min(MAX_HOMES, -(-slots // SLOTS_PER_HOME)))


def _weight(service: str, member: Member) -> bytes:
    text = f"{service}\0{member.name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def home_set(
    service: str, members: list[Member], size: int = MAX_HOMES
) -> list[Member]:
    """Return a service's entry hosts, the zones drawn on in turn.

    Each host keeps its weight whatever other hosts come and go, so a replaced
    host moves only its own share.  Taking the zones in turn lets a home set
    outlive the loss of a zone.
    """
    weights = {member.name: _weight(service, member) for member in members}
    zones: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda one: weights[one.name]):
        zones.setdefault(member.zone, []).append(member)
    ranked = [
        (rank, weights[member.name], member)
        for in_zone in zones.values()
        for rank, member in enumerate(in_zone)
    ]
    ranked.sort(key=lambda entry: entry[:2])
    return [member for _, _, member in ranked[:size]]


class _Known(NamedTuple):
    """A home set and the revision of the view it was worked out from."""

    revision: int
    size: int
    homes: list[Member]


class HomeSets:
    """Home sets of services, worked out again only when the view changes."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._view: list[Member] = []
        self._revision = 0
        self._known: dict[str, _Known] = {}

    def _refresh(self) -> None:
        view = self._membership.usable()
        if view != self._view:
            self._view = view
            self._revision += 1

    def of(self, service: Service) -> list[Member]:
        """Return a service's home set, without hosts callers should avoid."""
        self._refresh()
        size = home_size(service)
        known = self._known.get(service.name)
        if known is not None and known[:2] == (self._revision, size):
            return known.homes
        homes = home_set(service.name, self._view, size)
        self._known[service.name] = _Known(self._revision, size, homes)
        return homes

    def is_home(self, service: Service) -> bool:
        """Return whether this entry host is in a service's home set."""
        name = self._membership.me.name
        return any(member.name == name for member in self.of(service))
