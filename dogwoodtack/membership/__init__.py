"""Membership of the fleet of entry hosts."""

from .contact import Contact
from .gossip import Gossip
from .homes import MAX_HOMES, MIN_HOMES, HomeSets, home_set, home_size
from .hosts import HostView
from .members import Member, Membership

__all__ = [
    "MAX_HOMES",
    "MIN_HOMES",
    "Contact",
    "Gossip",
    "HomeSets",
    "HostView",
    "Member",
    "Membership",
    "home_set",
    "home_size",
]
