"""Traffic splits: distribute a route's requests over its services by weight."""

from .routes import Route, WeightedService

__all__ = ["TrafficSplitter"]


class TrafficSplitter:
    """Smooth weighted round robin over the services of each route.

    A random choice deviates from the weights over a few dozen requests; this
    stays within one request of them on each host.
    """

    def __init__(self, initial_phase: float = 0.0) -> None:
        """Create a splitter.

        Args:
            initial_phase: 0 to 1; where in a round this host begins, so that many
                hosts do not all begin with the heaviest service.
        """
        self._initial_phase = initial_phase
        self._credits: dict[str, tuple[tuple[WeightedService, ...], list[float]]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service that the route's next request goes to.

        No instance has an empty name of its service, which a route without usable
        services gets.
        """
        if not route.weighted_services:
            return ""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        state = self._credits.get(route.name)
        if state is None or state[0] != route.weighted_services:
            state = (
                route.weighted_services,
                self._initial_credits(route.weighted_services),
            )
            self._credits[route.name] = state
        services, credits = state
        total = sum(service.weight for service in services)
        for index, service in enumerate(services):
            credits[index] += service.weight
        eligible = [
            index for index, service in enumerate(services) if service.weight > 0
        ]
        best = max(eligible or range(len(services)), key=credits.__getitem__)
        credits[best] -= total
        return services[best].service

    def peek_service(self, route: Route) -> str:
        """Return the service that `next_service` would return, without a change."""
        copied = TrafficSplitter(self._initial_phase)
        if route.name in self._credits:
            services, credits = self._credits[route.name]
            copied._credits[route.name] = services, list(credits)
        return copied.next_service(route)

    def _initial_credits(self, services: tuple[WeightedService, ...]) -> list[float]:
        """Return the credits at the initial phase of a round."""
        initial = [(self._initial_phase - 0.5) * service.weight for service in services]
        heaviest = max(range(len(services)), key=lambda index: services[index].weight)
        initial[heaviest] -= sum(initial)
        return initial
