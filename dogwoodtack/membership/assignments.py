"""Assigns entry hosts to services by rendezvous hashing."""

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

    With few hosts, each sees more requests of every instance, and instances of
    few slots are balanced better.  More hosts are needed only to carry the
    requests of many slots.
    """
    slots = sum(instance.slots for instance in service.instances)
    return max(MIN_ASSIGNED_HOSTS, min(MAX_ASSIGNED_HOSTS, -(-slots // SLOTS_PER_HOST)))


def _weight(service: str, member: Member) -> bytes:
    text = f"{service}\0{member.name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def assigned_hosts(
    service: str, members: list[Member], count: int = MAX_ASSIGNED_HOSTS
) -> list[Member]:
    """Return the entry hosts of a service, chosen from the zones in turn.

    A host's weight does not depend on the other hosts, so replacing a host
    changes only that host's assignments.  Taking the zones in turn keeps a
    service served when a whole zone is lost.
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
    return [member for _, _, member in ranked[:count]]


class _Rank(NamedTuple):
    """The sort key of a host for one service.

    Attributes:
        zone_rank: how many hosts of the same zone come before it.
        weight: its rendezvous weight; the lowest comes first.
    """

    zone_rank: int
    weight: bytes


class _Ranking(NamedTuple):
    """The hosts assigned to a service, and the limits an added host has to beat.

    Attributes:
        revision: the revision of the member list for which it is known to hold.
        max_hosts: how many hosts were requested.
        hosts: the assigned hosts.
        last: the rank of the last one.
        zone_counts: how many of the hosts are in each zone.
        highest_weights: the highest weight among the hosts of each zone.
    """

    revision: int
    max_hosts: int
    hosts: list[Member]
    last: _Rank
    zone_counts: dict[str, int]
    highest_weights: dict[str, bytes]


class _Change(NamedTuple):
    """Hosts added and removed by one change of the member list."""

    revision: int
    added: frozenset[Member]
    removed: frozenset[Member]


def _summarize(
    service: str, count: int, revision: int, hosts: list[Member]
) -> _Ranking:
    zone_counts: dict[str, int] = {}
    highest_weights: dict[str, bytes] = {}
    last = _Rank(0, b"")
    for host in hosts:
        weight = _weight(service, host)
        last = _Rank(zone_counts.get(host.zone, 0), weight)
        zone_counts[host.zone] = last.zone_rank + 1
        highest_weights[host.zone] = weight
    return _Ranking(revision, count, hosts, last, zone_counts, highest_weights)


def _may_enter(service: str, ranking: _Ranking, member: Member) -> bool:
    """Return whether an added host may be assigned to the service."""
    if len(ranking.hosts) < ranking.max_hosts:
        return True
    weight = _weight(service, member)
    rank = _Rank(ranking.zone_counts.get(member.zone, 0), weight)
    return weight < ranking.highest_weights.get(member.zone, b"") or rank < ranking.last


class HostAssignments:
    """Caches the hosts assigned to services and ranks again only where needed.

    Ranking thousands of hosts for every service at each membership change would
    take a large part of a core.  A removed host affects only the services it was
    assigned to, and an added one only those for which its weight is low enough.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._members: list[Member] = []
        self._revision = 0
        self._changes: deque[_Change] = deque(maxlen=MAX_KEPT_CHANGES)
        self._rankings: dict[str, _Ranking] = {}
        self.ranking_count = 0

    def _track_changes(self) -> None:
        members = self._membership.serving_members()
        if members is self._members:
            return
        before, after = frozenset(self._members), frozenset(members)
        self._members = members
        if before != after:
            self._revision += 1
            change = _Change(self._revision, after - before, before - after)
            self._changes.append(change)

    def for_service(self, service: Service) -> list[Member]:
        """Return the hosts assigned to a service among the serving members."""
        self._track_changes()
        count = assigned_host_count(service)
        ranking = self._rankings.get(service.name)
        if (
            ranking is None
            or ranking.max_hosts != count
            or self._is_affected(service.name, ranking)
        ):
            self.ranking_count += 1
            hosts = assigned_hosts(service.name, self._members, count)
            ranking = _summarize(service.name, count, self._revision, hosts)
            self._rankings[service.name] = ranking
        elif ranking.revision != self._revision:
            self._rankings[service.name] = ranking._replace(revision=self._revision)
        return ranking.hosts

    def _is_affected(self, service: str, ranking: _Ranking) -> bool:
        """Return whether a change since the ranking may have altered it."""
        if ranking.revision == self._revision:
            return False
        if ranking.revision < self._changes[0].revision - 1:
            return True
        for change in self._changes:
            if change.revision <= ranking.revision:
                continue
            if not change.removed.isdisjoint(ranking.hosts):
                return True
            if any(_may_enter(service, ranking, one) for one in change.added):
                return True
        return False
