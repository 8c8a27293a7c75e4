"""The callers' door: HTTP in, one answer out."""

from .conn import RequestHead, ServerConn, ServerOwner
from .door import DISCOVERY_PREFIX, Door
from .exchange import Exchange, Parts
from .trail import Trail

__all__ = [
    "DISCOVERY_PREFIX",
    "Door",
    "Exchange",
    "Parts",
    "RequestHead",
    "ServerConn",
    "ServerOwner",
    "Trail",
]
