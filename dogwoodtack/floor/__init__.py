"""The floor under a service's healthy capacity."""

from .control import FloorControl
from .dependencies import FloorDependencies
from .floor import Floor

__all__ = ["Floor", "FloorControl", "FloorDependencies"]
