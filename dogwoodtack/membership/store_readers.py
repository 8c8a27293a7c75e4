"""Which nodes of a zone read the store on behalf of the others."""

from .assignments import assigned_hosts
from .members import Member

__all__ = ["store_readers"]

READERS_KEY = "store-readers"


def store_readers(members: list[Member], me: Member, count: int) -> list[Member]:
    """Return the members of this node's zone that read the store, best first.

    Every zone has its own, so a zone that is apart from the others still sees
    changes.  A replaced host moves the duty only if it had it or gets it.
    """
    in_zone = [one for one in members if one.zone == me.zone and not one.is_leaving]
    return assigned_hosts(READERS_KEY, in_zone or [me], count)
