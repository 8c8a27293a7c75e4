"""Discovery: which entry hosts a caller should use."""

from .discovery import Discovery, DiscoveryAddress, DiscoveryAnswer
from .prefixes import KeyPrefixCache

__all__ = ["Discovery", "DiscoveryAddress", "DiscoveryAnswer", "KeyPrefixCache"]
