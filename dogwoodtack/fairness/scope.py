"""Which services share their slots fairly among organisations and kinds of request."""

from ..routing import Configuration, RouteKind

__all__ = ["fair_services"]


def fair_services(configuration: Configuration) -> frozenset[str]:
    """Return the services whose queues are ordered and bounded by work.

    With organisations these are all services, otherwise those that uploads reach.
    Other services are served in the order of priority and arrival.
    """
    return frozenset(
        part.service
        for route in configuration.routes
        if configuration.organisations is not None or route.kind is RouteKind.UPLOAD
        for part in route.weighted_services
    )
