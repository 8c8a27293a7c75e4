"""The floor under a service's healthy capacity."""

from .control import FloorControl
from .floor import Floor
from .parts import FloorParts

__all__ = ["Floor", "FloorControl", "FloorParts"]
