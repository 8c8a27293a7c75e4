"""The floor: the number of instances of a service that always stay in rotation."""

from .control import FloorControl
from .dependencies import FloorDependencies
from .floor import Floor

__all__ = ["Floor", "FloorControl", "FloorDependencies"]
