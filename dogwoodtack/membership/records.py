"""What the entry hosts tell each other of one process of the fleet."""

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
        incarnation: drawn anew by every process.
        zone: its availability zone.
        caller_address: where callers connect.
        peer_address: where other entry hosts connect.
        is_leaving: whether callers should go elsewhere.
        is_ready: whether it holds the configuration; callers wait until then.
    """

    name: str
    incarnation: str
    zone: str
    caller_address: Address
    peer_address: Address
    is_leaving: bool = False
    is_ready: bool = True


class MemberState(enum.StrEnum):
    """What the fleet believes of a process."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


_RANKS = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.DEAD: 2}


class MemberRecord(NamedTuple):
    """A process and what is believed of it.

    Attributes:
        member: the entry host; only the process itself changes it.
        counter: raised by the process itself, and by nobody else, with every
            change of `member` and every refutation.
        state: what is believed at this counter.
        started_at: wall-clock seconds of the process's start, which decide only
            which of two processes of one name is shown first.
    """

    member: Member
    counter: int
    state: MemberState
    started_at: float


class WireRecord(TypedDict):
    """A MemberRecord as it travels."""

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
    """Return whether a record replaces another of the same incarnation."""
    if new.counter != old.counter:
        return new.counter > old.counter
    return _RANKS[new.state] > _RANKS[old.state]


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
    """Read a record from its JSON form.

    Raises:
        KeyError: a field is missing.
        ValueError: a field has no usable value.
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
