"""Client of the platform's object service."""

from .client import HostEntry, Snapshot, Store, StoreObject

__all__ = ["HostEntry", "Snapshot", "Store", "StoreObject"]
