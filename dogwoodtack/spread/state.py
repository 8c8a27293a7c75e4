"""The configuration a node holds; versions only go up."""

from collections.abc import Callable
from typing import Any

from ..store import StoreObject

__all__ = ["ConfigState"]

OnChange = Callable[[StoreObject], None]


class ConfigState:
    """Objects by kind and name, deleted ones kept as tombstones."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], StoreObject] = {}
        self._listeners: list[OnChange] = []

    def subscribe(self, on_change: OnChange) -> None:
        """Call a function with every object that is taken from now on."""
        self._listeners.append(on_change)

    def apply(self, obj: StoreObject) -> bool:
        """Take an object if it is newer than the known one; return whether."""
        key = (obj.kind, obj.name)
        known = self._objects.get(key)
        if known is not None and known.version >= obj.version:
            return False
        self._objects[key] = obj
        for listener in self._listeners:
            listener(obj)
        return True

    def get(self, kind: str, name: str) -> StoreObject | None:
        """Return an object, or None where it was never seen."""
        return self._objects.get((kind, name))

    def value(self, kind: str, name: str) -> Any:
        """Return an object's value, None where it is unknown or deleted."""
        obj = self._objects.get((kind, name))
        return None if obj is None else obj.value

    def objects(self) -> list[StoreObject]:
        """Return every object, tombstones among them."""
        return list(self._objects.values())
