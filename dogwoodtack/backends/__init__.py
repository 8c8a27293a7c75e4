"""Connections to back ends, peers and the platform."""

from .link import AnswerRules, Header, Link, LinkOwner, OutgoingHead, ResponseHead
from .pool import LinkPool

__all__ = [
    "AnswerRules",
    "Header",
    "Link",
    "LinkOwner",
    "LinkPool",
    "OutgoingHead",
    "ResponseHead",
]
