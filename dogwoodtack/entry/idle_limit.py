"""How long an idle connection to a service's instances is reused."""

__all__ = ["IdleLimit"]

# Initial and highest limit. A non-idempotent request sent on a connection that the
# instance has dropped is lost.
MAX_IDLE_LIMIT_S = 4.0
MIN_IDLE_LIMIT_S = 0.5
# After a drop, the limit is at most this fraction of the connection's idle time.
DROP_FACTOR = 0.5
# Each successful reuse raises the limit by this factor.
GROWTH_FACTOR = 1.005


class IdleLimit:
    """Learn the longest safe idle time from connections that were dropped while idle.

    An instance that drops idle connections resets the next request on them. A
    non-idempotent request is then lost, so it gets a connection that was idle for at
    most the limit.
    """

    def __init__(self) -> None:
        self._limits_s: dict[str, float] = {}

    def limit_s(self, service: str) -> float:
        """Return the longest idle time of a connection to reuse, in seconds."""
        return self._limits_s.get(service, MAX_IDLE_LIMIT_S)

    def record_dropped(self, service: str, idle_s: float) -> None:
        """Lower the limit after a reused connection turned out to be dead.

        Args:
            service: the service's name.
            idle_s: seconds for which the connection was idle.
        """
        limit = min(self.limit_s(service), max(MIN_IDLE_LIMIT_S, DROP_FACTOR * idle_s))
        self._limits_s[service] = limit

    def record_reused(self, service: str) -> None:
        """Raise the limit after a connection was reused successfully."""
        self._limits_s[service] = min(
            MAX_IDLE_LIMIT_S, self.limit_s(service) * GROWTH_FACTOR
        )
