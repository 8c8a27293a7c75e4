"""Configuration, spread to every entry host and never reverting."""

from .state import ConfigState
from .watcher import Watcher

__all__ = ["ConfigState", "Watcher"]
