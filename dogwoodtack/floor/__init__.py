"""The floor under a service's healthy capacity."""

from .floor import Floor

__all__ = ["Floor"]
