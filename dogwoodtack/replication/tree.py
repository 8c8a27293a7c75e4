"""Who passes a change on to whom: a tree over the sorted incarnations.

A node covers a range of incarnations.  It cuts the range into pieces, hands each
piece to one member in it, and that member covers the rest of the piece by its
own view.  Every member is told once for each tree, a message names a range and
no list, and the depth grows with the logarithm of the fleet.  A member that the
sender does not know of is told by the next exchange.
"""

import bisect
from typing import NamedTuple

from ..membership import Member
from .messages import Range

__all__ = ["FANOUT", "Piece", "SortedMembers"]

FANOUT = 8
END = "\0"


class Piece(NamedTuple):
    """A part of a range and the members that can take it over."""

    range: Range
    members: list[Member]


class SortedMembers:
    """Members by incarnation, for each zone and for all."""

    def __init__(self, members: list[Member]) -> None:
        ordered = sorted(members, key=lambda one: one.incarnation)
        self._by_zone: dict[str, list[Member]] = {"": ordered}
        for member in ordered:
            self._by_zone.setdefault(member.zone, []).append(member)
        self._keys = {
            zone: [member.incarnation for member in chosen]
            for zone, chosen in self._by_zone.items()
        }

    def within(self, span: Range) -> list[Member]:
        """Return the members of a range."""
        keys = self._keys.get(span.zone, [])
        low = bisect.bisect_left(keys, span.low)
        high = bisect.bisect_left(keys, span.high) if span.high else len(keys)
        return self._by_zone.get(span.zone, [])[low:high]

    def pieces(self, span: Range, but: str) -> list[Piece]:
        """Cut a range into about FANOUT pieces, none of which covers `but`.

        The node that cuts is in no piece, and pieces do not overlap.  So a
        change passes through a member at most once for each tree, however much
        the views of the nodes differ.
        """
        members = [one for one in self.within(span) if one.incarnation != but]
        count = min(FANOUT, len(members))
        pieces = []
        for index in range(count):
            low = len(members) * index // count
            high = len(members) * (index + 1) // count
            pieces.extend(_around(span.zone, members[low:high], but))
        return pieces


def _around(zone: str, members: list[Member], but: str) -> list[Piece]:
    """Return the piece of some members, cut in two where `but` lies within."""
    below = [one for one in members if one.incarnation < but]
    above = [one for one in members if one.incarnation > but]
    return [
        Piece(Range(part[0].incarnation, part[-1].incarnation + END, zone), part)
        for part in (below, above)
        if part
    ]
