"""Traffic splits: deal a route's requests out to its services by weight."""

from .routes import Route, WeightedService

__all__ = ["TrafficSplitter"]


class TrafficSplitter:
    """Deal by smooth weighted round robin, so that every run of requests fits.

    A random choice strays from the weights over a few dozen requests; this
    stays within one request of them on each host.
    """

    def __init__(self, initial_phase: float = 0.0) -> None:
        """Make a splitter.

        Args:
            initial_phase: 0 to 1; where in a round this host begins, so that many
                hosts do not all begin with the heaviest part.
        """
        self._initial_phase = initial_phase
        self._credits: dict[str, tuple[tuple[WeightedService, ...], list[float]]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service that the route's next request goes to."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        known = self._credits.get(route.name)
        if known is None or known[0] != route.weighted_services:
            known = (route.weighted_services, self._opening(route.weighted_services))
            self._credits[route.name] = known
        parts, credits = known
        total = sum(part.weight for part in parts)
        for index, part in enumerate(parts):
            credits[index] += part.weight
        dealt = [index for index, part in enumerate(parts) if part.weight > 0]
        best = max(dealt or range(len(parts)), key=credits.__getitem__)
        credits[best] -= total
        return parts[best].service

    def _opening(self, parts: tuple[WeightedService, ...]) -> list[float]:
        """Return credits as they stand somewhere within a round."""
        opening = [(self._initial_phase - 0.5) * part.weight for part in parts]
        heaviest = max(range(len(parts)), key=lambda index: parts[index].weight)
        opening[heaviest] -= sum(opening)
        return opening
