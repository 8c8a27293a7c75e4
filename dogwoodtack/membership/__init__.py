"""Membership of the fleet of entry hosts."""

from .homes import HOME_SET_SIZE, home_set
from .members import Member, Membership

__all__ = ["HOME_SET_SIZE", "Member", "Membership", "home_set"]
