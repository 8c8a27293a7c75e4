"""Routes, services and limits of one configuration version, and route look-up."""

import enum
from typing import NamedTuple

__all__ = [
    "CallerLimits",
    "Configuration",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceRules",
    "WeightedService",
]


class RouteKind(enum.StrEnum):
    """What a route's requests allow a proxy to do."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request of this kind may run more than once."""
        return self is not RouteKind.UNSAFE


class WeightedService(NamedTuple):
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests under one prefix of a host name go.

    Attributes:
        name: unique within a configuration.
        host: the host name that callers send, in lower case.
        prefix: the start of the paths; it begins and ends with a slash.
        kind: what may be repeated.
        weighted_services: the services that share the requests; one for a plain route.
        timeout_s: the longest time a caller may be kept waiting, None for no limit.
        objective_s: the latency objective.
        max_attempts: how many instances one request may be sent to.
        priority: rank of its requests, 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float | None
    objective_s: float
    max_attempts: int
    priority: int


class ServiceRules(NamedTuple):
    """What the configuration says of one service.

    Attributes:
        health_path: path of the instances' health check.
        max_connections: connections that an instance takes from all callers.
    """

    name: str
    health_path: str
    max_connections: int


class CallerLimits(NamedTuple):
    """Bounds on what callers may send and how long they may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One whole version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceRules, ...]
    limits: CallerLimits


class RouteTable:
    """Find the route of a request by host name and longest prefix."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for known in self._by_host.values():
            known.sort(key=lambda route: -len(route.prefix))

    def match(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or None.

        Args:
            host: the Host header's value, with or without a port.
            target: the request's path and query.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        path = target.split("?", 1)[0]
        for route in self._by_host.get(name.strip().lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
