"""Membership of the entry host fleet, and what is derived from it."""

from .assignments import (
    MAX_ASSIGNED_HOSTS,
    MIN_ASSIGNED_HOSTS,
    HostAssignments,
    assigned_host_count,
    assigned_hosts,
)
from .connectivity import Connectivity
from .gossip import Gossip
from .host_list import HostListView
from .host_list_reader import HostListReader
from .members import Member, Membership
from .store_readers import store_readers

__all__ = [
    "MAX_ASSIGNED_HOSTS",
    "MIN_ASSIGNED_HOSTS",
    "Connectivity",
    "Gossip",
    "HostAssignments",
    "HostListReader",
    "HostListView",
    "Member",
    "Membership",
    "assigned_hosts",
    "assigned_host_count",
    "store_readers",
]
