"""Configuration, spread to every entry host and never reverting."""

from .replicator import Spread
from .report import SpreadReport
from .state import ConfigState

__all__ = ["ConfigState", "Spread", "SpreadReport"]
