"""How long an idle connection to a service's instances may be trusted."""

__all__ = ["IdleLimit"]

# Callers' requests that may run once are lost with a connection that was dropped.
MAX_IDLE_LIMIT_S = 4.0
MIN_IDLE_LIMIT_S = 0.5
# After a drop at some idle time, trust less than that time.
DROP_FACTOR = 0.5
# Trust grows back by this much for each connection that proved good.
GROWTH_FACTOR = 1.005


class IdleLimit:
    """Learn from connections that were dropped while they were idle.

    Instances that forget idle connections reset the next request on them; a
    request that may run only once is then lost, so it takes a young connection.
    """

    def __init__(self) -> None:
        self._limits_s: dict[str, float] = {}

    def limit_s(self, service: str) -> float:
        """Return the longest idle time that is trusted at a service."""
        return self._limits_s.get(service, MAX_IDLE_LIMIT_S)

    def record_dropped(self, service: str, idle_s: float) -> None:
        """Note that a connection was dead when it was used again."""
        limit = min(self.limit_s(service), max(MIN_IDLE_LIMIT_S, DROP_FACTOR * idle_s))
        self._limits_s[service] = limit

    def record_reused(self, service: str) -> None:
        """Note that a connection was good when it was used again."""
        self._limits_s[service] = min(
            MAX_IDLE_LIMIT_S, self.limit_s(service) * GROWTH_FACTOR
        )
