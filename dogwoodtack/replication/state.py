"""The configuration that a node holds; versions only increase.

Values are stored as compressed JSON, because most nodes use few of them, and are
decoded on demand.
"""

import json
import zlib
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, NamedTuple

from ..digest import BucketDigest, bucket_for, hash_entry
from ..logs import log_event
from ..store import StoreObject

__all__ = ["ConfigState"]

COMPRESSION_LEVEL = 1
MAX_DECODED = 256

OnChange = Callable[[StoreObject], None]


class _StoredObject(NamedTuple):
    """An object's version and its compressed JSON, None for a deleted object."""

    version: int
    data: bytes | None


class ConfigState:
    """Objects by kind and name, with deleted ones stored as tombstones.

    An object is only replaced by a higher version of itself.  An object that is
    missing from a read is not deleted, because the read may be stale: only a
    tombstone deletes, and it has a version too.
    """

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], _StoredObject] = {}
        self._decoded: OrderedDict[tuple[str, str], Any] = OrderedDict()
        self._listeners: list[OnChange] = []
        self._buckets: dict[int, set[tuple[str, str]]] = {}
        self.digest = BucketDigest()

    def subscribe(self, on_change: OnChange) -> None:
        """Call a function with every object that is applied from now on."""
        self._listeners.append(on_change)

    def apply(self, obj: StoreObject) -> bool:
        """Store an object if it is newer than the known one; return whether.

        Raises:
            ValueError, RecursionError: the object can't be encoded; it is not stored.
        """
        key = (obj.kind, obj.name)
        known = self._objects.get(key)
        if known is not None and known.version >= obj.version:
            return False
        stored = _StoredObject(obj.version, _encode(obj.value))
        self._index(key, known, obj.version)
        self._objects[key] = stored
        self._decoded.pop(key, None)
        for listener in self._listeners:
            _notify(listener, obj)
        return True

    def _index(
        self, key: tuple[str, str], known: _StoredObject | None, version: int
    ) -> None:
        bucket = bucket_for("\0".join(key))
        self._buckets.setdefault(bucket, set()).add(key)
        if known is not None:
            self.digest.toggle(bucket, hash_entry(*key, known.version))
        self.digest.toggle(bucket, hash_entry(*key, version))

    def __len__(self) -> int:
        return len(self._objects)

    def size(self, kind: str, name: str) -> int:
        """Return an object's compressed size in bytes, 0 for a tombstone."""
        return len(self._objects[kind, name].data or b"")

    def version(self, kind: str, name: str) -> int:
        """Return an object's version, 0 if it is unknown."""
        stored = self._objects.get((kind, name))
        return 0 if stored is None else stored.version

    def get(self, kind: str, name: str) -> StoreObject | None:
        """Return an object, or None if it is unknown."""
        stored = self._objects.get((kind, name))
        if stored is None:
            return None
        return StoreObject(kind, name, stored.version, self.value(kind, name))

    def value(self, kind: str, name: str) -> Any:
        """Return an object's value, None if it is unknown or deleted.

        The value is shared with other callers and must not be modified.
        """
        key = (kind, name)
        if key in self._decoded:
            self._decoded.move_to_end(key)
            return self._decoded[key]
        stored = self._objects.get(key)
        if stored is None:
            return None
        value = _decode(stored.data)
        self._decoded[key] = value
        if len(self._decoded) > MAX_DECODED:
            self._decoded.popitem(last=False)
        return value

    def objects(self) -> list[StoreObject]:
        """Return all objects, tombstones included."""
        return [self._object(key) for key in self._objects]

    def in_bucket(self, bucket: int) -> list[StoreObject]:
        """Return the objects in one bucket of the digest."""
        return [self._object(key) for key in self._buckets.get(bucket, ())]

    def _object(self, key: tuple[str, str]) -> StoreObject:
        stored = self._objects[key]
        return StoreObject(*key, stored.version, _decode(stored.data))


def _notify(listener: OnChange, obj: StoreObject) -> None:
    """Call a listener; its failure does not stop other listeners or objects."""
    try:
        listener(obj)
    except Exception as exc:
        log_event(
            "config-listener-failed",
            "ERROR",
            kind=obj.kind,
            name=obj.name,
            version=obj.version,
            error=repr(exc),
        )


def _encode(value: Any) -> bytes | None:
    if value is None:
        return None
    text = json.dumps(value, separators=(",", ":"))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def _decode(data: bytes | None) -> Any:
    return None if data is None else json.loads(zlib.decompress(data))
