"""How many further attempts a service's requests may make in all."""

__all__ = ["RetryBudget"]

LENT = 10.0
SAVED = 20.0
ROUNDING = 1e-9


class RetryBudget:
    """A token bucket that first attempts fill and further attempts drain.

    Further attempts never come to more than `ratio` for each request that was
    sent on since the start.  The first ten are lent, so that a host that has just
    started can retry; later requests pay for them.  What quiet times earn is saved
    up to a limit: it carries look-ups over the seconds until a back end that has
    begun to fail is ejected.
    """

    def __init__(self) -> None:
        self._earned = 0.0
        self._spent = 0.0

    def note_first(self, ratio: float) -> None:
        """Note that a request was sent on for the first time."""
        self._earned = min(self._earned + ratio, self._spent + SAVED)

    def take(self, spared: float = 0.0) -> bool:
        """Return whether one further attempt may be made, and count it.

        Args:
            spared: tokens that have to stay for others.
        """
        if self._spent + 1.0 + spared > max(LENT, self._earned + ROUNDING):
            return False
        self._spent += 1.0
        return True
