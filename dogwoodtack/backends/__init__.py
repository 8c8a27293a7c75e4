"""Connections to back ends, peers and the platform."""

from .connection import (
    BackendConnection,
    ConnectionOwner,
    ConnectionUse,
    Header,
    OutgoingHead,
    ResponseHead,
    ResponseRules,
)
from .pool import NO_REUSE, ConnectionPool

__all__ = [
    "BackendConnection",
    "ConnectionOwner",
    "ConnectionPool",
    "ConnectionUse",
    "Header",
    "NO_REUSE",
    "OutgoingHead",
    "ResponseHead",
    "ResponseRules",
]
