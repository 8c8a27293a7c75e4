"""Routing: which service a request goes to."""

from .routes import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    RouteTable,
    ServiceRules,
    TrafficPart,
)
from .splits import SplitDealer

__all__ = [
    "CallerLimits",
    "Configuration",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceRules",
    "SplitDealer",
    "TrafficPart",
]
