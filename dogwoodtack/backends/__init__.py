"""Connections to back ends, peers and the platform."""

from .connection import (
    BackendConnection,
    ConnectionOwner,
    Header,
    OutgoingHead,
    ResponseHead,
    ResponseRules,
)
from .pool import ConnectionPool

__all__ = [
    "BackendConnection",
    "ConnectionOwner",
    "ConnectionPool",
    "Header",
    "OutgoingHead",
    "ResponseHead",
    "ResponseRules",
]
