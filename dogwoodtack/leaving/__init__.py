"""Leaving back ends."""

from .leaving import Leaving

__all__ = ["Leaving"]
