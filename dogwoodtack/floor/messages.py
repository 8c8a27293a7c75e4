"""Messages, stored objects and time limits of the floor protocol."""

from typing import Any, NamedTuple, TypedDict

from ..misc import Address, parse_address

__all__ = [
    "CHANGE_GRACE_S",
    "CLOCK_MARGIN_S",
    "FIRST_GRANT_WAIT_S",
    "FLOOR_KIND",
    "GAP_THRESHOLD_S",
    "GRANT_TTL_S",
    "HolderEntry",
    "PAUSE_THRESHOLD_S",
    "PullItem",
    "PullItemResponse",
    "PullRequest",
    "PullResponse",
    "STABLE_AFTER_S",
    "TAKEOVER_WAIT_S",
    "holder_value",
    "read_holder",
]

FLOOR_KIND = "floor"

GRANT_TTL_S = 3.0
"""Seconds for which a grant may be used, counted from when its pull was sent."""

CLOCK_MARGIN_S = 0.25
"""Seconds added before a permit is reused, for clocks that run at different rates."""

CHANGE_GRACE_S = 15.0
"""Seconds for which an earlier, lower limit still binds a holder.

It covers the time that a change takes to reach every entry host.
"""

GAP_THRESHOLD_S = 1.5
"""Seconds without a loop iteration that count as a gap; well above a tick."""

STABLE_AFTER_S = 5.0
"""Seconds without a gap before a holder grants; above the time an update takes."""

PAUSE_THRESHOLD_S = 5.0
"""Seconds of instability, by one or several close gaps, that count as a pause."""

TAKEOVER_WAIT_S = 30.0
"""Seconds for which a holder must be known dead and unlisted before it is replaced."""

FIRST_GRANT_WAIT_S = 15.0
"""Seconds a new holder waits before its first grant; at least CHANGE_GRACE_S."""


class HolderEntry(NamedTuple):
    """The process that may grant the removals of a service.

    Attributes:
        name: the entry host's name.
        incarnation: the incarnation of the process.
        peer_address: where other entry hosts reach it.
    """

    name: str
    incarnation: str
    peer_address: Address


class PullItem(TypedDict):
    """One service in a pull.

    The versions are the newest that the sender knows of the floor object and of the
    service; a holder that only knows older ones grants nothing until it has caught up.
    """

    floor_version: int
    service_version: int
    evidence: Any


class PullRequest(TypedDict):
    """An entry host's pull from a holder, for all services whose lease it has."""

    services: dict[str, PullItem]


class PullItemResponse(TypedDict):
    """One service in the response to a pull.

    `grants` may be treated as ejected for `ttl_s` seconds from when the pull was
    sent.  `refused` are unhealthy instances that the floor keeps in rotation; they
    should get few requests.  `admits` is the service's version whose drains may take
    effect, None while they may not.
    """

    floor_version: int
    grants: list[str]
    refused: list[str]
    ttl_s: float
    admits: int | None


class PullResponse(TypedDict):
    """The response to a pull; services whose lease is not held here are left out."""

    services: dict[str, PullItemResponse]


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
