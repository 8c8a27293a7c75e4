"""Membership of the fleet of entry hosts."""

from .members import Member, Membership

__all__ = ["Member", "Membership"]
