"""Which entry hosts there are, as far as this one knows."""

from typing import NamedTuple

from ..misc import Address

__all__ = ["Member", "Membership"]


class Member(NamedTuple):
    """One entry host.

    Attributes:
        name: the host's name from its settings.
        incarnation: drawn anew by every process.
        zone: its availability zone.
        caller_address: where callers connect.
        peer_address: where other entry hosts connect.
        is_leaving: whether callers should go elsewhere.
    """

    name: str
    incarnation: str
    zone: str
    caller_address: Address
    peer_address: Address
    is_leaving: bool = False


class Membership:
    """The view this node has of the fleet."""

    def __init__(self, me: Member) -> None:
        self.me = me

    def leave(self) -> None:
        """Tell the fleet that this node is leaving."""
        self.me = self.me._replace(is_leaving=True)

    def members(self) -> list[Member]:
        """Return every entry host believed alive, this one among them."""
        return [self.me]

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Return the member of an incarnation, or None."""
        for member in self.members():
            if member.incarnation == incarnation:
                return member
        return None

    def by_name(self, name: str) -> Member | None:
        """Return the member of a name, or None."""
        for member in self.members():
            if member.name == name:
                return member
        return None

    def is_listed(self, name: str) -> bool:
        """Return whether the platform's latest known host list shows a host."""
        return True

    def is_cut_off(self) -> bool:
        """Return whether neither the store nor any peer was reached lately."""
        return False
