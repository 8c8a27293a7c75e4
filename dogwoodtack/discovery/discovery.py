"""Tell callers which entry hosts to use for a service, and for how long."""

import random
from collections.abc import Callable
from typing import TypedDict

from ..catalog import Catalog, Service
from ..errors import ErrorKind, RequestError
from ..membership import HostAssignments, Member, Membership
from .prefixes import KeyPrefixCache

__all__ = ["Discovery", "DiscoveryAddress", "DiscoveryAnswer"]

MAX_ADDRESSES = 8


class DiscoveryAddress(TypedDict):
    """One entry host a caller may use."""

    address: str
    zone: str


class DiscoveryAnswer(TypedDict):
    """What a caller is told.

    `ttl_s` is how many seconds the answer may be kept, `key_prefix` what the
    idempotency keys of requests begin with, and `key_owner` the address that
    settles such keys fastest.
    """

    service: str
    ttl_s: float
    addresses: list[DiscoveryAddress]
    key_owner: str
    key_prefix: str


OnAnswer = Callable[[DiscoveryAnswer], None]


class Discovery:
    """Answer discovery questions from the membership view."""

    def __init__(
        self,
        catalog: Catalog,
        membership: Membership,
        assignments: HostAssignments,
        prefixes: KeyPrefixCache,
        ttl_s: float,
        rng: random.Random,
    ) -> None:
        self._catalog = catalog
        self._membership = membership
        self._assignments = assignments
        self._prefixes = prefixes
        self._ttl_s = ttl_s
        self._rng = rng

    def answer(self, path: str, on_answer: OnAnswer) -> None:
        """Answer the question `services/<name>`, now or after one peer's reply.

        The key's owner is this host where it is a home of the service, else the
        first home; a home that does not answer leaves this host as the owner.

        Raises:
            RequestError: NOT_FOUND for a path or service that is not known,
                CUT_OFF while this node cannot know what is in force.
        """
        if self._membership.is_cut_off() or not self._membership.local_member.is_ready:
            raise RequestError(ErrorKind.CUT_OFF)
        head, _, name = path.partition("/")
        service = self._catalog.get(name) if head == "services" else None
        if service is None:
            raise RequestError(ErrorKind.NOT_FOUND, path[:100])
        me = self._membership.local_member
        members = self._members(service)
        if not members or members[0].name == me.name:
            on_answer(self._form(service, members, me, self._prefixes.own()))
            return

        def on_prefix(prefix: str | None) -> None:
            if prefix is None:
                on_answer(self._form(service, members, me, self._prefixes.own()))
                return
            on_answer(self._form(service, members, members[0], prefix))

        self._prefixes.get(members[0], on_prefix)

    def _members(self, service: Service) -> list[Member]:
        """Return a service's hosts, this one first, the others in any order."""
        me = self._membership.local_member
        members = list(self._assignments.for_service(service))
        self._rng.shuffle(members)
        members.sort(key=lambda one: one.name != me.name)
        return members

    def _form(
        self, service: Service, members: list[Member], owner: Member, prefix: str
    ) -> DiscoveryAnswer:
        return {
            "service": service.name,
            "ttl_s": self._ttl_s,
            "addresses": [
                {"address": str(one.caller_address), "zone": one.zone}
                for one in members[:MAX_ADDRESSES]
            ],
            "key_owner": str(owner.caller_address),
            "key_prefix": prefix,
        }
