"""Services and routes as operators declared them."""

from .catalog import Catalog, Match
from .service import Instance, RouteRule, Service, parse_service

__all__ = ["Catalog", "Instance", "Match", "RouteRule", "Service", "parse_service"]
