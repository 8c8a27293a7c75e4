"""The entry host: the request path on a platform that stores all durable state."""

from .host import EntryHost, PlatformAdapter
from .settings import Bounds, EntrySettings
from .wire import AddressQuery, DirectoryQuery, HeaderNames, ReadinessQuery

__all__ = [
    "AddressQuery",
    "Bounds",
    "DirectoryQuery",
    "EntryHost",
    "EntrySettings",
    "HeaderNames",
    "PlatformAdapter",
    "ReadinessQuery",
]
