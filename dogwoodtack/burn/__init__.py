"""Service-level burn."""

from .burn import Burn, Served

__all__ = ["Burn", "Served"]
