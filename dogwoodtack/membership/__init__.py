"""Membership of the fleet of entry hosts."""

from .contact import Contact
from .gossip import Gossip
from .homes import HOME_SET_SIZE, home_set
from .host_reader import HostReader
from .hosts import HostView
from .members import Member, Membership
from .store_readers import store_readers

__all__ = [
    "HOME_SET_SIZE",
    "Contact",
    "Gossip",
    "HostReader",
    "HostView",
    "Member",
    "Membership",
    "home_set",
    "store_readers",
]
