"""The entry host on a platform that keeps what must last: the whole request path."""

from .host import EntryHost, PlatformParts
from .settings import Bounds, EntrySettings
from .wire import AddressQuestion, Question, ReadinessQuestion, WireHeaders

__all__ = [
    "AddressQuestion",
    "Bounds",
    "EntryHost",
    "EntrySettings",
    "PlatformParts",
    "Question",
    "ReadinessQuestion",
    "WireHeaders",
]
