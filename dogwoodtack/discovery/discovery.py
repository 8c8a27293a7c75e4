"""Tell callers which entry hosts to use for a service, and for how long."""

import random
from typing import TypedDict

from ..catalog import Catalog
from ..errors import ErrorKind, RequestError
from ..keys import KeyTable
from ..membership import HomeSets, Membership

__all__ = ["Discovery", "DiscoveryAddress", "DiscoveryAnswer"]

MAX_ADDRESSES = 8


class DiscoveryAddress(TypedDict):
    """One entry host a caller may use."""

    address: str
    zone: str


class DiscoveryAnswer(TypedDict):
    """What a caller is told.

    `ttl_s` is how many seconds the answer may be kept, `key_prefix` what the
    idempotency keys of requests to `key_owner` begin with.
    """

    service: str
    ttl_s: float
    addresses: list[DiscoveryAddress]
    key_owner: str
    key_prefix: str


class Discovery:
    """Answer discovery questions from the membership view."""

    def __init__(
        self,
        catalog: Catalog,
        membership: Membership,
        homes: HomeSets,
        keys: KeyTable,
        ttl_s: float,
        rng: random.Random,
    ) -> None:
        self._catalog = catalog
        self._membership = membership
        self._homes = homes
        self._keys = keys
        self._ttl_s = ttl_s
        self._rng = rng

    def answer(self, path: str) -> DiscoveryAnswer:
        """Return the answer to `services/<name>`.

        Raises:
            RequestError: NOT_FOUND for a path or service that is not known,
                CUT_OFF while this node cannot know what is in force.
        """
        if self._membership.is_cut_off() or not self._membership.me.is_ready:
            raise RequestError(ErrorKind.CUT_OFF)
        head, _, name = path.partition("/")
        service = self._catalog.get(name) if head == "services" else None
        if service is None:
            raise RequestError(ErrorKind.NOT_FOUND, path[:100])
        me = self._membership.me
        members = list(self._homes.of(service))
        self._rng.shuffle(members)
        members.sort(key=lambda one: one.name != me.name)
        return {
            "service": name,
            "ttl_s": self._ttl_s,
            "addresses": [
                {"address": str(one.caller_address), "zone": one.zone}
                for one in members[:MAX_ADDRESSES]
            ],
            "key_owner": str(me.caller_address),
            "key_prefix": self._keys.prefix,
        }
