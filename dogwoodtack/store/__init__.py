"""Client of the platform's object service."""

from .client import ERA_HEADER, HostEntry, Snapshot, Store, StoreObject

__all__ = ["ERA_HEADER", "HostEntry", "Snapshot", "Store", "StoreObject"]
