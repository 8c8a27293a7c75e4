"""Membership of the fleet of entry hosts."""

from .contact import Contact
from .gossip import Gossip
from .homes import HOME_SET_SIZE, home_set
from .hosts import HostView
from .members import Member, Membership

__all__ = [
    "HOME_SET_SIZE",
    "Contact",
    "Gossip",
    "HostView",
    "Member",
    "Membership",
    "home_set",
]
