"""Discovery: which entry hosts a caller should use."""

from .discovery import Discovery, DiscoveryAddress, DiscoveryAnswer

__all__ = ["Discovery", "DiscoveryAddress", "DiscoveryAnswer"]
