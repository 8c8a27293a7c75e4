"""The callers' door: HTTP in, one answer out."""

from .callers import CallerDoor, CallerExchange
from .conn import RequestHead, ServerConn, ServerOwner
from .exchange import Exchange, Parts
from .frontend import DISCOVERY_PREFIX, Door
from .history import RequestNote, Trail

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
