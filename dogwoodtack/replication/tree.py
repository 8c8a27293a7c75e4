"""Distribution trees for changes, over the sorted incarnations of the members.

A node is responsible for a range of incarnations.  It splits the range, pushes
each subrange to one member in it, and that member distributes to the rest of the
subrange by its own view.  Every member receives a change once for each tree, a
message names a range instead of a list of members, and the depth grows with the
logarithm of the fleet's size.  A member that the sender does not know receives
the change by the next exchange.
"""

import bisect
from typing import NamedTuple

from ..membership import Member
from .messages import MemberRange

__all__ = ["FANOUT", "Subrange", "SortedMembers"]

FANOUT = 8
RANGE_END_SUFFIX = "\0"


class Subrange(NamedTuple):
    """A part of a range, and the members that can distribute to it."""

    range: MemberRange
    members: list[Member]


class SortedMembers:
    """Members sorted by incarnation, for each zone and for all zones."""

    def __init__(self, members: list[Member]) -> None:
        ordered = sorted(members, key=lambda one: one.incarnation)
        self._by_zone: dict[str, list[Member]] = {"": ordered}
        for member in ordered:
            self._by_zone.setdefault(member.zone, []).append(member)
        self._incarnations = {
            zone: [member.incarnation for member in chosen]
            for zone, chosen in self._by_zone.items()
        }

    def within(self, member_range: MemberRange) -> list[Member]:
        """Return the members in a range."""
        incarnations = self._incarnations.get(member_range.zone, [])
        low = bisect.bisect_left(incarnations, member_range.low)
        high = (
            bisect.bisect_left(incarnations, member_range.high)
            if member_range.high
            else len(incarnations)
        )
        return self._by_zone.get(member_range.zone, [])[low:high]

    def split(self, member_range: MemberRange, excluded: str) -> list[Subrange]:
        """Split a range into about FANOUT subranges, none of which covers `excluded`.

        `excluded` is the incarnation of the node that splits.  Because it is in no
        subrange and subranges do not overlap, a change passes through a member at
        most once for each tree, however much the views of the nodes differ.
        """
        members = [
            one for one in self.within(member_range) if one.incarnation != excluded
        ]
        count = min(FANOUT, len(members))
        subranges = []
        for index in range(count):
            low = len(members) * index // count
            high = len(members) * (index + 1) // count
            subranges.extend(
                _subranges_around(member_range.zone, members[low:high], excluded)
            )
        return subranges


def _subranges_around(
    zone: str, members: list[Member], excluded: str
) -> list[Subrange]:
    """Return the members' subrange, split in two if it would cover `excluded`."""
    below = [one for one in members if one.incarnation < excluded]
    above = [one for one in members if one.incarnation > excluded]
    return [
        Subrange(
            MemberRange(
                group[0].incarnation, group[-1].incarnation + RANGE_END_SUFFIX, zone
            ),
            group,
        )
        for group in (below, above)
        if group
    ]
