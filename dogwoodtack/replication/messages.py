"""Messages between nodes about the configuration."""

import math
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
    "exchange_from_wire",
    "object_from_wire",
    "object_to_wire",
]


# A greater one would hide every later change.
MAX_VERSION = 2**53
# The watermark of a node that knows of no revision up to which nothing is missing.
NO_WATERMARK = -1


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
        TypeError, ValueError: a field has another type, or is a text that can't be
            encoded; the version is no whole number.
    """
    kind, name, version = item["kind"], item["name"], item["version"]
    for text in (kind, name):
        if not isinstance(text, str):
            raise TypeError("a kind or name is no text")
        # Digests are made of the encoded texts.
        text.encode()
    if not is_whole_number(version):
        raise ValueError("a version is no whole number")
    return StoreObject(kind, name, version, item.get("value"))


def is_whole_number(value: Any) -> bool:
    """Return whether a JSON value is a revision or version, which later ones exceed."""
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and 0 <= value <= MAX_VERSION


def exchange_from_wire(body: Any) -> ExchangeBody:
    """Return the summary that a JSON form describes.

    Raises:
        KeyError: a field is missing.
        TypeError, ValueError: a field has another type or is out of range.
    """
    root, watermark, age_s = body["root"], body["watermark"], body["age_s"]
    if not isinstance(root, str):
        raise TypeError("a root is no text")
    if watermark != NO_WATERMARK and not is_whole_number(watermark):
        raise ValueError("a watermark is no revision")
    if age_s is not None and not 0.0 <= float(age_s) < math.inf:
        raise ValueError("an age is no number of seconds")
    return {
        "root": root,
        "is_synced": body["is_synced"] is True,
        "watermark": watermark,
        "age_s": None if age_s is None else float(age_s),
    }
