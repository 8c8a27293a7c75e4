"""What entry hosts and the store say to each other about removals."""

from typing import Any, NamedTuple, TypedDict

from ..misc import Address, parse_address

__all__ = [
    "STABLE_AFTER_S",
    "FIRST_GRANT_WAIT_S",
    "CLOCK_MARGIN_S",
    "FLOOR_KIND",
    "GAP_THRESHOLD_S",
    "GRANT_TTL_S",
    "HolderEntry",
    "CHANGE_GRACE_S",
    "PAUSE_THRESHOLD_S",
    "PullAnswer",
    "PullRequest",
    "PullItem",
    "PullItemAnswer",
    "TAKEOVER_WAIT_S",
    "holder_value",
    "read_holder",
]

FLOOR_KIND = "floor"

GRANT_TTL_S = 3.0
"""Seconds a grant may be used, counted from when its pull was sent."""

CLOCK_MARGIN_S = 0.25
"""Seconds added before a permit is reused, for clocks that run unevenly."""

CHANGE_GRACE_S = 15.0
"""Seconds for which an earlier, lower limit still binds a holder.

It covers the time in which some entry host has not heard of a change yet.
"""

GAP_THRESHOLD_S = 1.5
"""Seconds without a turn of the loop that count as a gap; well above a tick."""

STABLE_AFTER_S = 5.0
"""Seconds without a gap before a holder grants; above the time news takes."""

PAUSE_THRESHOLD_S = 5.0
"""Seconds of gaps close together after which a process counts as paused."""

TAKEOVER_WAIT_S = 30.0
"""Seconds for which a holder must be known dead and unlisted before it is replaced."""

FIRST_GRANT_WAIT_S = 15.0
"""Seconds a new holder waits before its first grant; at least CHANGE_GRACE_S."""


class HolderEntry(NamedTuple):
    """Who may grant the removals of a service.

    Attributes:
        name: the entry host's name.
        incarnation: the one process that is meant.
        peer_address: where other entry hosts reach it.
    """

    name: str
    incarnation: str
    peer_address: Address


class PullItem(TypedDict):
    """One service in a pull.

    The versions are those of the floor object and of the service that the sender
    knows; a holder that knows older ones grants nothing until it has caught up.
    """

    floor_version: int
    service_version: int
    evidence: Any


class PullRequest(TypedDict):
    """What an entry host asks of a holder, for all services it holds."""

    services: dict[str, PullItem]


class PullItemAnswer(TypedDict):
    """One service in the answer to a pull.

    `grants` may be treated as ejected for `ttl_s` seconds from when the pull was
    sent.  `refused` are sick instances that the floor keeps in work; they should get
    little of it.  `admits` is the service's version whose drains may take effect, None
    while they may not.
    """

    floor_version: int
    grants: list[str]
    refused: list[str]
    ttl_s: float
    admits: int | None


class PullAnswer(TypedDict):
    """The answer to a pull; services that are not held here are left out."""

    services: dict[str, PullItemAnswer]


def holder_value(entry: HolderEntry | None) -> dict[str, Any]:
    """Return the floor object's value for a holder, or for none."""
    if entry is None:
        return {"holder": None}
    return {
        "holder": {
            "name": entry.name,
            "incarnation": entry.incarnation,
            "peer_address": str(entry.peer_address),
        }
    }


def read_holder(value: Any) -> HolderEntry | None:
    """Return the holder that a floor object names, None where it names none."""
    holder = value.get("holder") if isinstance(value, dict) else None
    if holder is None:
        return None
    return HolderEntry(
        holder["name"], holder["incarnation"], parse_address(holder["peer_address"])
    )
