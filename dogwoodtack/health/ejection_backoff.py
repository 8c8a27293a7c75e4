"""How long an ejection lasts: longer for an instance that turns unhealthy again."""

__all__ = ["EjectionBackoff"]

BASE_EJECTION_TIME_S = 10.0
MAX_EJECTION_TIME_S = 600.0
HEALTHY_S_PER_STRIKE = 120.0


class EjectionBackoff:
    """Exponential ejection time of one instance.

    Each return to rotation adds a strike and each strike doubles the next ejection
    time.  Healthy time removes strikes again.
    """

    __slots__ = ("_returned_at", "_unhealthy_at", "_strikes")

    def __init__(self) -> None:
        self._strikes = 0.0
        self._returned_at = 0.0
        self._unhealthy_at: float | None = None

    def strikes(self, now: float) -> float:
        """Return the strikes left, as a fraction, at a monotonic time in seconds."""
        end = now if self._unhealthy_at is None else self._unhealthy_at
        healthy_s = max(0.0, end - self._returned_at)
        return max(0.0, self._strikes - healthy_s / HEALTHY_S_PER_STRIKE)

    def ejection_time_s(self, now: float) -> float:
        """Return how many seconds an ejection lasts that begins now."""
        return min(MAX_EJECTION_TIME_S, BASE_EJECTION_TIME_S * 2 ** self.strikes(now))

    def record_unhealthy(self, now: float) -> None:
        """Record that the instance became unhealthy; healthy time ends here."""
        self._unhealthy_at = now

    def record_return(self, now: float) -> None:
        """Add a strike and count healthy time from now on.

        Does nothing unless the instance became unhealthy since its last return.
        """
        if self._unhealthy_at is None:
            return
        self._strikes = self.strikes(now) + 1
        self._returned_at = now
        self._unhealthy_at = None
