"""Tells callers which entry hosts to use for a service, and for how long."""

import random
from collections.abc import Callable
from typing import TypedDict

from ..catalog import Catalog, Service
from ..errors import ErrorKind, RequestError
from ..membership import HostAssignments, Member, Membership
from .prefixes import KeyPrefixCache

__all__ = ["Discovery", "DiscoveryAddress", "DiscoveryResponse"]

MAX_ADDRESSES = 8


class DiscoveryAddress(TypedDict):
    """An entry host that a caller may use."""

    address: str
    zone: str


class DiscoveryResponse(TypedDict):
    """The response to a discovery query.

    Attributes:
        service: name of the service.
        ttl_s: seconds for which the response may be cached.
        addresses: the entry hosts to use.
        key_owner: address of the entry host that settles keys with `key_prefix`
            fastest.
        key_prefix: what the idempotency keys of requests begin with.
    """

    service: str
    ttl_s: float
    addresses: list[DiscoveryAddress]
    key_owner: str
    key_prefix: str


OnResponse = Callable[[DiscoveryResponse], None]


class Discovery:
    """Respond to discovery queries from the membership view.

    Args:
        catalog: the known services.
        membership: the known entry hosts.
        assignments: the entry hosts assigned to each service.
        prefixes: key prefixes of entry hosts.
        ttl_s: seconds for which callers may cache a response.
        rng: shuffles the addresses.
    """

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

    def handle_query(self, path: str, on_response: OnResponse) -> None:
        """Respond to the query `services/<name>`, now or after a peer's reply.

        The owner of keys is this host if it is assigned to the service, else the
        first assigned host. If that one does not reply, this host is the owner.

        Args:
            path: the query.
            on_response: called with the response.

        Raises:
            RequestError: NOT_FOUND for an unknown path or service, CUT_OFF while this
                node cannot know which configuration is in force.
        """
        if self._membership.is_cut_off() or not self._membership.local_member.is_ready:
            raise RequestError(ErrorKind.CUT_OFF)
        head, _, name = path.partition("/")
        service = self._catalog.get(name) if head == "services" else None
        if service is None:
            raise RequestError(ErrorKind.NOT_FOUND, path[:100])
        local_member = self._membership.local_member
        members = self._ordered_members(service)
        if not members or members[0].name == local_member.name:
            on_response(
                self._build_response(
                    service, members, local_member, self._prefixes.local_prefix()
                )
            )
            return

        def on_prefix(prefix: str | None) -> None:
            if prefix is None:
                on_response(
                    self._build_response(
                        service, members, local_member, self._prefixes.local_prefix()
                    )
                )
                return
            on_response(self._build_response(service, members, members[0], prefix))

        self._prefixes.get(members[0], on_prefix)

    def _ordered_members(self, service: Service) -> list[Member]:
        """Return a service's hosts: this one first, the others in random order."""
        local_member = self._membership.local_member
        members = list(self._assignments.for_service(service))
        self._rng.shuffle(members)
        members.sort(key=lambda one: one.name != local_member.name)
        return members

    def _build_response(
        self, service: Service, members: list[Member], owner: Member, prefix: str
    ) -> DiscoveryResponse:
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
