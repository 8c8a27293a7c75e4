"""What nodes say to each other about the configuration."""

from typing import Any, NamedTuple, TypedDict

from ..store import StoreObject

__all__ = [
    "BucketsBody",
    "BucketsReply",
    "ExchangeBody",
    "PushBody",
    "Range",
    "ReplicationStatus",
    "WireObject",
    "object_from_wire",
    "object_to_wire",
]


class WireObject(TypedDict):
    """A StoreObject as it travels."""

    kind: str
    name: str
    version: int
    value: Any


class Range(NamedTuple):
    """Which members a node passes a change on to.

    Attributes:
        low: the incarnations start here.
        high: they end before this one; an empty text stands for no end.
        zone: only members of this zone; an empty text stands for every zone.
    """

    low: str = ""
    high: str = ""
    zone: str = ""


class PushBody(TypedDict):
    """Changed objects, and the members to pass them on to (None for nobody)."""

    objects: list[WireObject]
    range: list[str] | None


class ExchangeBody(TypedDict):
    """What a node holds, in short.

    `watermark` is a store revision up to which nothing is missing, -1 where none
    is known; `age_s` is how many seconds ago any node last heard that the
    configuration is current, None for never.
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
    """Ask for the objects of buckets that differ, from one bucket on."""

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
    """Read an object from its JSON form.

    Raises:
        KeyError: a field is missing.
        ValueError: the version is no number.
    """
    return StoreObject(
        item["kind"], item["name"], int(item["version"]), item.get("value")
    )
