"""Membership of the fleet of entry hosts."""

from .assignments import MAX_HOMES, MIN_HOMES, HomeSets, home_set, home_size
from .connectivity import Contact
from .gossip import Gossip
from .host_list import HostView
from .host_list_reader import HostReader
from .members import Member, Membership
from .store_readers import store_readers

__all__ = [
    "MAX_HOMES",
    "MIN_HOMES",
    "Contact",
    "Gossip",
    "HomeSets",
    "HostReader",
    "HostView",
    "Member",
    "Membership",
    "home_set",
    "home_size",
    "store_readers",
]
