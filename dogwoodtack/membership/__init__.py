"""Membership of the fleet of entry hosts."""

from .contact import Contact
from .gossip import Gossip
from .homes import MAX_HOMES, MIN_HOMES, HomeSets, home_set, home_size
from .host_reader import HostReader
from .hosts import HostView
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
