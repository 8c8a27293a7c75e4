"""How long an ejection lasts: longer for an instance that comes back sick."""

__all__ = ["Hold"]

FIRST_HOLD_S = 10.0
LONGEST_HOLD_S = 600.0
GOOD_TIME_PER_STRIKE_S = 120.0


class Hold:
    """The hold of one instance; every return to work adds a strike."""

    __slots__ = ("_returned_at", "_sick_at", "_strikes")

    def __init__(self) -> None:
        self._strikes = 0.0
        self._returned_at = 0.0
        self._sick_at: float | None = None

    def strikes(self, now: float) -> float:
        """Return the strikes left at a monotonic time in seconds."""
        end = now if self._sick_at is None else self._sick_at
        good_s = max(0.0, end - self._returned_at)
        return max(0.0, self._strikes - good_s / GOOD_TIME_PER_STRIKE_S)

    def hold_s(self, now: float) -> float:
        """Return how many seconds an ejection lasts that begins now."""
        return min(LONGEST_HOLD_S, FIRST_HOLD_S * 2 ** self.strikes(now))

    def note_sick(self, now: float) -> None:
        """Note that an instance became suspect; good time counts up to here."""
        self._sick_at = now

    def note_return(self, now: float) -> None:
        """Add a strike and count good time from now on.

        A return that follows no suspicion changes nothing.
        """
        if self._sick_at is None:
            return
        self._strikes = self.strikes(now) + 1
        self._returned_at = now
        self._sick_at = None
