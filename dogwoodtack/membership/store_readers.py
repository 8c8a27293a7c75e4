"""Chooses the nodes of a zone that read the store on behalf of the others."""

from .assignments import assigned_hosts
from .members import Member

__all__ = ["store_readers"]

READERS_KEY = "store-readers"


def store_readers(
    members: list[Member], local_member: Member, count: int
) -> list[Member]:
    """Return the members of this node's zone that read the store, highest rank first.

    Every zone has its own readers, so a zone that is partitioned from the others
    still sees changes.  Replacing a host moves the role only if the host had it or
    its replacement gets it.
    """
    in_zone = [
        one for one in members if one.zone == local_member.zone and not one.is_leaving
    ]
    return assigned_hosts(READERS_KEY, in_zone or [local_member], count)
