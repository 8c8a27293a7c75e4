"""Replicates the configuration to every entry host; versions never revert."""

from .replicator import Replicator
from .report import ReplicationReport
from .state import ConfigState

__all__ = ["ConfigState", "Replicator", "ReplicationReport"]
