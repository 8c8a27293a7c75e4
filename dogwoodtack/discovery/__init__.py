"""Discovery: which entry hosts a caller should use."""

from .discovery import Discovery, DiscoveryAddress, DiscoveryAnswer
from .prefixes import PrefixBook

__all__ = ["Discovery", "DiscoveryAddress", "DiscoveryAnswer", "PrefixBook"]
