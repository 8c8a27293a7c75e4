"""Connections to back ends, peers and the platform."""

from .link import Header, Link, LinkOwner, OutgoingHead, ResponseHead
from .pool import LinkPool

__all__ = [
    "Header",
    "Link",
    "LinkOwner",
    "LinkPool",
    "OutgoingHead",
    "ResponseHead",
]
