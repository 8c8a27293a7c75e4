"""The HTTP frontend for callers, which sends one response to each request."""

from .callers import (
    KEPT_CONNECTIONS_SHARE,
    MAX_PENDING_REJECTIONS,
    CallerExchange,
    CallerFrontend,
)
from .conn import RequestHead, ServerConn, ServerOwner
from .exchange import Exchange, ExchangeDependencies
from .frontend import DISCOVERY_PREFIX, Frontend
from .history import RequestHistory, RequestRecord

__all__ = [
    "CallerExchange",
    "CallerFrontend",
    "DISCOVERY_PREFIX",
    "Exchange",
    "ExchangeDependencies",
    "Frontend",
    "KEPT_CONNECTIONS_SHARE",
    "MAX_PENDING_REJECTIONS",
    "RequestHead",
    "RequestHistory",
    "RequestRecord",
    "ServerConn",
    "ServerOwner",
]
