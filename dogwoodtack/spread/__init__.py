"""Configuration, spread to every entry host and never reverting."""

from .report import SpreadReport
from .spread import Spread
from .state import ConfigState

__all__ = ["ConfigState", "Spread", "SpreadReport"]
