"""The entry host on a platform that keeps what must last: the whole request path."""

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
