"""How many further attempts a service's requests may make in all."""

__all__ = ["RetryBudget"]

BURST = 3.0


class RetryBudget:
    """A token bucket that first attempts fill and further attempts drain.

    Over any number of requests, attempts stay under `1 + ratio` for each request
    that was sent on, and a burst of three.
    """

    def __init__(self) -> None:
        self._tokens = BURST

    def note_first(self, ratio: float) -> None:
        """Note that a request was sent on for the first time."""
        self._tokens = min(max(BURST, self._tokens), self._tokens + ratio)

    def take(self) -> bool:
        """Return whether one further attempt may be made, and count it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
