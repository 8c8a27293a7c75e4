"""Messages between nodes about the configuration."""

from typing import Any, NamedTuple, TypedDict

from ..store import StoreObject

__all__ = [
    "BucketsBody",
    "BucketsReply",
    "ExchangeBody",
    "PushBody",
    "MemberRange",
    "ReplicationStatus",
    "WireObject",
    "object_from_wire",
    "object_to_wire",
]


class WireObject(TypedDict):
    """The JSON form of a StoreObject."""

    kind: str
    name: str
    version: int
    value: Any


class MemberRange(NamedTuple):
    """The members that a node passes a change on to, by incarnation.

    Attributes:
        low: the first incarnation of the range.
        high: the end of the range, exclusive; empty for no end.
        zone: the zone that the members are in; empty for all zones.
    """

    low: str = ""
    high: str = ""
    zone: str = ""


class PushBody(TypedDict):
    """Changed objects, and the range to pass them on to (None for no one)."""

    objects: list[WireObject]
    range: list[str] | None


class ExchangeBody(TypedDict):
    """A summary of the configuration that a node holds.

    `watermark` is a store revision up to which nothing is missing, -1 if none is
    known; `age_s` is how many seconds ago any node is known to have had contact
    with the store, None for never.
    """

    root: str
    is_synced: bool
    watermark: int
    age_s: float | None


class ReplicationStatus(TypedDict):
    """The configuration's part of the status page."""

    is_synced: bool
    is_watcher: bool
    watermark: int
    age_s: float | None
    objects: int
    root: str


class BucketsBody(TypedDict):
    """Requests the objects of differing buckets, from the bucket `first` on."""

    buckets: list[str]
    first: int


class BucketsReply(TypedDict):
    """Objects of some differing buckets; `next` is None after the last one."""

    buckets: list[int]
    objects: list[WireObject]
    next: int | None
    is_synced: bool


def object_to_wire(obj: StoreObject) -> WireObject:
    """Return an object in its JSON form."""
    return {
        "kind": obj.kind,
        "name": obj.name,
        "version": obj.version,
        "value": obj.value,
    }


def object_from_wire(item: WireObject) -> StoreObject:
    """Return the object that a JSON form describes.

    Raises:
        KeyError: a field is missing.
        ValueError: the version is not a number.
    """
    return StoreObject(
        item["kind"], item["name"], int(item["version"]), item.get("value")
    )
