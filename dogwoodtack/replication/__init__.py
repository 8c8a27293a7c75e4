"""Configuration, spread to every entry host and never reverting."""

from .replicator import Replicator
from .report import ReplicationReport
from .state import ConfigState

__all__ = ["ConfigState", "Replicator", "ReplicationReport"]
