"""The callers' door: HTTP in, one answer out."""

from .callers import CallerExchange, CallerFrontend
from .conn import RequestHead, ServerConn, ServerOwner
from .exchange import Exchange, ExchangeDependencies
from .frontend import DISCOVERY_PREFIX, Frontend
from .history import RequestHistory, RequestRecord

__all__ = [
    "CallerFrontend",
    "CallerExchange",
    "DISCOVERY_PREFIX",
    "Frontend",
    "Exchange",
    "ExchangeDependencies",
    "RequestHead",
    "RequestRecord",
    "ServerConn",
    "ServerOwner",
    "RequestHistory",
]
