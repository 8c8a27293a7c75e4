"""The record of one process of the fleet, and its JSON form."""

import enum
from typing import NamedTuple, TypedDict

from ..misc import Address, parse_address

__all__ = [
    "Member",
    "MemberRecord",
    "MemberState",
    "WireRecord",
    "from_wire",
    "supersedes",
    "to_wire",
]


class Member(NamedTuple):
    """One entry host.

    Attributes:
        name: the host's name from its settings.
        incarnation: a random id that every process generates at its start.
        zone: its availability zone.
        caller_address: where callers connect.
        peer_address: where other entry hosts connect.
        is_leaving: whether callers should use other hosts.
        is_ready: whether it holds the configuration; no callers are sent to it
            before that.
    """

    name: str
    incarnation: str
    zone: str
    caller_address: Address
    peer_address: Address
    is_leaving: bool = False
    is_ready: bool = True


class MemberState(enum.StrEnum):
    """The state that the fleet assigns to a process."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


_SEVERITY = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.DEAD: 2}


class MemberRecord(NamedTuple):
    """A process and the state assigned to it.

    Attributes:
        member: the entry host; only the process itself changes it.
        counter: incremented only by the process itself, with every change of
            `member` and every refutation.
        state: the state assigned at this counter.
        started_at: wall-clock seconds of the process's start, used only to choose
            between two processes with the same name.
    """

    member: Member
    counter: int
    state: MemberState
    started_at: float


class WireRecord(TypedDict):
    """The JSON form of a MemberRecord."""

    name: str
    incarnation: str
    zone: str
    caller: str
    peer: str
    leaving: bool
    ready: bool
    counter: int
    state: str
    started_at: float


def supersedes(new: MemberRecord, old: MemberRecord) -> bool:
    """Return whether a record replaces another one of the same incarnation.

    The higher counter wins, and at the same counter the worse state.
    """
    if new.counter != old.counter:
        return new.counter > old.counter
    return _SEVERITY[new.state] > _SEVERITY[old.state]


def to_wire(record: MemberRecord) -> WireRecord:
    """Return a record in its JSON form."""
    member = record.member
    return {
        "name": member.name,
        "incarnation": member.incarnation,
        "zone": member.zone,
        "caller": str(member.caller_address),
        "peer": str(member.peer_address),
        "leaving": member.is_leaving,
        "ready": member.is_ready,
        "counter": record.counter,
        "state": str(record.state),
        "started_at": record.started_at,
    }


def from_wire(item: WireRecord) -> MemberRecord:
    """Return the record that a JSON form describes.

    Raises:
        KeyError: a field is missing.
        ValueError: a field has an invalid value.
    """
    member = Member(
        name=item["name"],
        incarnation=item["incarnation"],
        zone=item["zone"],
        caller_address=parse_address(item["caller"]),
        peer_address=parse_address(item["peer"]),
        is_leaving=bool(item["leaving"]),
        is_ready=bool(item["ready"]),
    )
    state = MemberState(item["state"])
    return MemberRecord(member, int(item["counter"]), state, float(item["started_at"]))
