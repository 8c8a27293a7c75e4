"""Routing: which service a request goes to."""

from .routes import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    RouteTable,
    ServiceRules,
    WeightedService,
)
from .splits import TrafficSplitter

__all__ = [
    "CallerLimits",
    "Configuration",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceRules",
    "TrafficSplitter",
    "WeightedService",
]
