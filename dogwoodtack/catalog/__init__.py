"""Services and routes as operators defined them."""

from .catalog import Catalog, Match, is_removed
from .service import Instance, RouteRule, Service, parse_service

__all__ = [
    "Catalog",
    "Instance",
    "Match",
    "RouteRule",
    "Service",
    "is_removed",
    "parse_service",
]
