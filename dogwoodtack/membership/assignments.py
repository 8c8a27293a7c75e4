"""Which entry hosts serve a service: its home set, by rendezvous hashing."""

import hashlib
from collections import deque
from typing import NamedTuple

from ..catalog import Service
from .members import Member, Membership

__all__ = [
    "MAX_ASSIGNED_HOSTS",
    "MIN_ASSIGNED_HOSTS",
    "HostAssignments",
    "assigned_hosts",
    "assigned_host_count",
]

MIN_ASSIGNED_HOSTS = 6
MAX_ASSIGNED_HOSTS = 36
SLOTS_PER_HOST = 8
MAX_KEPT_CHANGES = 64


def assigned_host_count(service: Service) -> int:
    """Return how many entry hosts a service needs.

    Few hosts balance small instances better and see more of each one; more are
    needed only to carry the work of many slots.
    """
    slots = sum(instance.slots for instance in service.instances)
    return max(MIN_ASSIGNED_HOSTS, min(MAX_ASSIGNED_HOSTS, -(-slots // SLOTS_PER_HOST)))


def _weight(service: str, member: Member) -> bytes:
    text = f"{service}\0{member.name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def assigned_hosts(
    service: str, members: list[Member], size: int = MAX_ASSIGNED_HOSTS
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


class _Rank(NamedTuple):
    """A host's place in the order of a service: zones in turn, then weight."""

    in_zone: int
    weight: bytes


class _Known(NamedTuple):
    """A home set, and what tells whether another host could enter it.

    Attributes:
        revision: the view's revision it is right for.
        size: how many hosts were asked for.
        homes: the hosts.
        last: the place of the last one.
        in_zone: how many hosts of each zone are in it.
        worst: the highest weight in it of each zone.
    """

    revision: int
    size: int
    homes: list[Member]
    last: _Rank
    in_zone: dict[str, int]
    worst: dict[str, bytes]


class _Change(NamedTuple):
    """What one new view brought and took away."""

    revision: int
    added: frozenset[Member]
    removed: frozenset[Member]


def _describe(service: str, size: int, revision: int, homes: list[Member]) -> _Known:
    in_zone: dict[str, int] = {}
    worst: dict[str, bytes] = {}
    last = _Rank(0, b"")
    for home in homes:
        weight = _weight(service, home)
        last = _Rank(in_zone.get(home.zone, 0), weight)
        in_zone[home.zone] = last.in_zone + 1
        worst[home.zone] = weight
    return _Known(revision, size, homes, last, in_zone, worst)


def _could_enter(service: str, known: _Known, member: Member) -> bool:
    """Return whether a host that was added may belong to a home set."""
    if len(known.homes) < known.size:
        return True
    weight = _weight(service, member)
    place = _Rank(known.in_zone.get(member.zone, 0), weight)
    return weight < known.worst.get(member.zone, b"") or place < known.last


class HostAssignments:
    """Home sets of services, ranked again only where a change can matter.

    Ranking thousands of hosts for each service at each change of the view would
    take a large part of a core.  A host that leaves matters only to the services
    it was a home of, and one that is added only where its weight is low enough.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._view: list[Member] = []
        self._revision = 0
        self._changes: deque[_Change] = deque(maxlen=MAX_KEPT_CHANGES)
        self._known: dict[str, _Known] = {}
        self.ranking_count = 0

    def _refresh(self) -> None:
        view = self._membership.serving_members()
        if view is self._view:
            return
        before, after = frozenset(self._view), frozenset(view)
        self._view = view
        if before != after:
            self._revision += 1
            change = _Change(self._revision, after - before, before - after)
            self._changes.append(change)

    def for_service(self, service: Service) -> list[Member]:
        """Return a service's home set, without hosts callers should avoid."""
        self._refresh()
        size = assigned_host_count(service)
        known = self._known.get(service.name)
        if known is None or known.size != size or self._matters(service.name, known):
            self.ranking_count += 1
            homes = assigned_hosts(service.name, self._view, size)
            known = _describe(service.name, size, self._revision, homes)
            self._known[service.name] = known
        elif known.revision != self._revision:
            self._known[service.name] = known._replace(revision=self._revision)
        return known.homes

    def _matters(self, service: str, known: _Known) -> bool:
        """Return whether anything since a home set was ranked can change it."""
        if known.revision == self._revision:
            return False
        if known.revision < self._changes[0].revision - 1:
            return True
        for change in self._changes:
            if change.revision <= known.revision:
                continue
            if not change.removed.isdisjoint(known.homes):
                return True
            if any(_could_enter(service, known, one) for one in change.added):
                return True
        return False

    def is_assigned_here(self, service: Service) -> bool:
        """Return whether this entry host is in a service's home set."""
        name = self._membership.local_member.name
        return any(member.name == name for member in self.for_service(service))
