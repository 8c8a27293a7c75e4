"""Discovery: which entry hosts a caller should use."""

from .discovery import Discovery, DiscoveryAddress, DiscoveryResponse
from .prefixes import KeyPrefixCache

__all__ = ["Discovery", "DiscoveryAddress", "DiscoveryResponse", "KeyPrefixCache"]
