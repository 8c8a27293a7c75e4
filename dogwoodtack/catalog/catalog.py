"""All services that this node knows, and the routing of requests to them."""

from typing import Any, NamedTuple

from ..errors import DECODE_ERRORS, RequestError
from ..logs import log_event
from .parts import parse_parts
from .service import RouteRule, Service, parse_service

__all__ = ["Catalog", "Match", "is_removed"]


class Match(NamedTuple):
    """The service and route that a request matches."""

    service: Service
    route: RouteRule


class Catalog:
    """Services by name and routes by host."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._versions: dict[str, int] = {}
        self._routes: dict[str, list[tuple[str, str]]] = {}

    def put(self, name: str, version: int, value: Any) -> None:
        """Apply a new version of a service's definition, or its removal.

        A definition that does not parse is logged and the previous version stays in
        force: a newer node may have written fields that this one does not know.  A node
        that knows no previous version takes the usable parts, as requests would get 404
        otherwise, or go to a service with a shorter prefix.

        Args:
            name: the service's name.
            version: the version of the object in the store.
            value: the definition as JSON; see `is_removed` for a removal.
        """
        try:
            service = None if is_removed(value) else parse_service(name, value)
        except (RequestError, *DECODE_ERRORS) as exc:
            detail = getattr(exc, "detail", repr(exc))
            log_event("service-unreadable", "ERROR", service=name, detail=detail)
            service = None if name in self._services else parse_parts(name, value)
            if service is None:
                return
        self._drop_routes(name)
        if service is None:
            self._services.pop(name, None)
            self._versions.pop(name, None)
            return
        self._services[name] = service
        self._versions[name] = version
        for route in service.routes:
            entries = self._routes.setdefault(route.host, [])
            entries.append((route.prefix, name))
            entries.sort(key=lambda entry: -len(entry[0]))

    def _drop_routes(self, name: str) -> None:
        service = self._services.get(name)
        for host in {route.host for route in service.routes} if service else ():
            others = [entry for entry in self._routes[host] if entry[1] != name]
            if others:
                self._routes[host] = others
            else:
                del self._routes[host]

    def get(self, name: str) -> Service | None:
        """Return a service, or None if it is not known."""
        return self._services.get(name)

    def version(self, name: str) -> int:
        """Return a service's version, 0 if it is not known."""
        return self._versions.get(name, 0)

    def services(self) -> list[Service]:
        """Return all services."""
        return list(self._services.values())

    def match(self, host: str, path: str) -> Match | None:
        """Return the service whose route has the longest matching prefix, or None."""
        for prefix, name in self._routes.get(host.lower(), ()):
            if not _is_under(path, prefix):
                continue
            service = self._services[name]
            for route in service.routes:
                if route.prefix == prefix and route.host == host.lower():
                    return Match(service, route)
        return None


def is_removed(value: Any) -> bool:
    """Return whether the value of a stored object means that it was removed.

    A removal that an operator confirmed is stored as a value, not as a deletion, so
    that it can carry the marks of the plans that led to it.
    """
    return value is None or (isinstance(value, dict) and value.get("removed") is True)


def _is_under(path: str, prefix: str) -> bool:
    """Return whether a path is under a prefix, compared by whole segments."""
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return prefix.endswith("/") or not rest or rest[0] in "/?"
