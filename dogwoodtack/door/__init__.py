"""The callers' door: HTTP in, one answer out."""

from .callers import CallerDoor, CallerExchange
from .conn import RequestHead, ServerConn, ServerOwner
from .door import DISCOVERY_PREFIX, Door
from .exchange import Exchange, Parts
from .trail import RequestNote, Trail

__all__ = [
    "CallerDoor",
    "CallerExchange",
    "DISCOVERY_PREFIX",
    "Door",
    "Exchange",
    "Parts",
    "RequestHead",
    "RequestNote",
    "ServerConn",
    "ServerOwner",
    "Trail",
]
