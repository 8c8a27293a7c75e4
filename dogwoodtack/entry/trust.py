"""How long an idle connection to a service's instances may be trusted."""

__all__ = ["IdleTrust"]

# Callers' requests that may run once are lost with a connection that was dropped.
FIRST_TRUST_S = 4.0
LEAST_TRUST_S = 0.5
# After a drop at some idle time, trust less than that time.
CAUTION = 0.5
# Trust grows back by this much for each connection that proved good.
REGAIN = 1.005


class IdleTrust:
    """Learn from connections that were dropped while they were idle.

    Instances that forget idle connections reset the next request on them; a
    request that may run only once is then lost, so it takes a young connection.
    """

    def __init__(self) -> None:
        self._trust_s: dict[str, float] = {}

    def limit_s(self, service: str) -> float:
        """Return the longest idle time that is trusted at a service."""
        return self._trust_s.get(service, FIRST_TRUST_S)

    def on_dropped(self, service: str, idle_s: float) -> None:
        """Note that a connection was dead when it was used again."""
        limit = min(self.limit_s(service), max(LEAST_TRUST_S, CAUTION * idle_s))
        self._trust_s[service] = limit

    def on_good(self, service: str) -> None:
        """Note that a connection was good when it was used again."""
        self._trust_s[service] = min(FIRST_TRUST_S, self.limit_s(service) * REGAIN)
