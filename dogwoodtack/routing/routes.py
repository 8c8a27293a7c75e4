"""Routes, services and limits of a configuration version, and route matching."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    "CallerLimits",
    "Configuration",
    "KindChange",
    "Organisation",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceRules",
    "WeightedService",
    "kind_changes",
    "routed_services",
]


class RouteKind(enum.StrEnum):
    """Kind of a route's requests, which says whether they may be retried.

    Attributes:
        SAFE: idempotent requests.
        UNSAFE: non-idempotent requests.
        DOWNLOAD: downloads, which are idempotent too.
        UPLOAD: requests with large bodies, which are non-idempotent too.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request of this kind may run more than once."""
        return self in (RouteKind.SAFE, RouteKind.DOWNLOAD)


class WeightedService(NamedTuple):
    """A service of a route, weighted by its share of the route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Maps requests by host name and path prefix to services.

    Attributes:
        name: unique within a configuration.
        host: the host name that callers send, in lower case.
        prefix: path prefix; it begins and ends with a slash.
        kind: whether its requests may be retried.
        weighted_services: the services that share the requests; one for a plain route,
            none if its services can't be decoded.
        timeout_s: longest time in seconds that a caller waits, None for no limit.
        objective_s: latency objective in seconds.
        max_attempts: how many instances one request may be sent to.
        priority: priority of its requests, 0 is the highest.
        allows_anonymous: whether callers need no key, although the configuration has
            organisations.
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
    allows_anonymous: bool = False


class ServiceRules(NamedTuple):
    """Configuration of one service.

    Attributes:
        name: name of the service.
        health_path: path of the instances' health check.
        max_connections: connections that an instance accepts from all callers.
    """

    name: str
    health_path: str
    max_connections: int


class CallerLimits(NamedTuple):
    """Limits on the size of callers' requests and on the time to send them."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Organisation(NamedTuple):
    """An organisation whose callers identify themselves by keys.

    Attributes:
        name: unique within a configuration.
        key_digests: SHA-256 digests of its keys in hexadecimal form; the keys
            themselves are kept nowhere.
        priority: priority of its requests, which goes before that of their routes; 0
            is the highest.
        rate_per_s: requests per second that all hosts together may serve; 0 for no
            limit.
        burst: further requests that they may serve at once.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class Configuration(NamedTuple):
    """One complete version of the configuration.

    Attributes:
        version: its number; a higher one replaces it.
        routes: the routes.
        services: the services.
        limits: limits on callers' requests.
        organisations: the organisations that have keys; None if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceRules, ...]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] | None = None


class RouteTable:
    """Finds the route of a request by host name and longest path prefix."""

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


class KindChange(NamedTuple):
    """A change of whether the requests of a host and prefix may run more than once."""

    host: str
    prefix: str
    before: RouteKind
    after: RouteKind


def kind_changes(
    before: tuple[Route, ...], after: tuple[Route, ...]
) -> list[KindChange]:
    """Return the prefixes whose requests became idempotent, or no longer are.

    Another route may match a prefix than the one that has it.
    """
    tables = RouteTable(before), RouteTable(after)
    found = []
    for host, prefix in sorted({(one.host, one.prefix) for one in (*before, *after)}):
        matched = [table.match(host, prefix) for table in tables]
        if None in matched:
            continue
        old, new = (route.kind for route in matched)
        if old.is_idempotent != new.is_idempotent:
            found.append(KindChange(host, prefix, old, new))
    return found


def routed_services(routes: Iterable[Route]) -> tuple[set[str], set[str]]:
    """Return the services that requests are routed to, and the idempotent ones' part.

    A service with weight 0 gets no requests.
    """
    shares = [
        (share.service, route.kind.is_idempotent)
        for route in routes
        for share in route.weighted_services
        if share.weight > 0
    ]
    return {name for name, _ in shares}, {name for name, safe in shares if safe}
