"""Membership of the fleet of entry hosts."""

from .homes import MAX_HOMES, MIN_HOMES, HomeSets, home_set, home_size
from .members import Member, Membership

__all__ = [
    "MAX_HOMES",
    "MIN_HOMES",
    "HomeSets",
    "Member",
    "Membership",
    "home_set",
    "home_size",
]
