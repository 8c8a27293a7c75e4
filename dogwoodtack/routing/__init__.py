"""Routing: which service a request goes to."""

from .organisations import digest_key
from .routes import (
    CallerLimits,
    Configuration,
    KindChange,
    Organisation,
    Route,
    RouteKind,
    RouteTable,
    ServiceRules,
    WeightedService,
    kind_changes,
    routed_services,
)
from .splits import TrafficSplitter

__all__ = [
    "CallerLimits",
    "Configuration",
    "KindChange",
    "Organisation",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceRules",
    "TrafficSplitter",
    "WeightedService",
    "digest_key",
    "kind_changes",
    "routed_services",
]
