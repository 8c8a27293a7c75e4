"""A token bucket that may go into debt."""

import math

__all__ = ["TokenBucket"]


class TokenBucket:
    """Tokens that come at a steady rate, up to a capacity.

    What others have used is learned late, so the bucket may go into debt.

    Args:
        per_s: tokens that are added each second.
        capacity: most tokens that the bucket holds.
        tokens: tokens at the start.
        now: seconds on the monotonic clock.
        max_debt: most tokens that are owed; further ones are forgotten.
    """

    __slots__ = ("per_s", "capacity", "max_debt", "_tokens", "_updated_at")

    def __init__(
        self,
        per_s: float,
        capacity: float,
        tokens: float,
        now: float,
        max_debt: float = math.inf,
    ) -> None:
        self.per_s = per_s
        self.capacity = capacity
        self.max_debt = max_debt
        self._tokens = tokens
        self._updated_at = now

    def tokens(self, now: float, owed: float = 0.0) -> float:
        """Return the tokens in the bucket, which are negative while it is in debt.

        Args:
            now: seconds on the monotonic clock.
            owed: tokens that are used up, but not charged yet; the bucket holds so many
                above its capacity.
        """
        elapsed_s = max(0.0, now - self._updated_at)
        filled = self._tokens + elapsed_s * self.per_s
        self._tokens = min(self.capacity + owed, filled)
        self._updated_at = max(now, self._updated_at)
        return self._tokens

    def charge(self, tokens: float, now: float, owed: float = 0.0) -> None:
        """Take tokens from the bucket; a negative number returns them.

        Args:
            tokens: how many.
            now: seconds on the monotonic clock.
            owed: as for `tokens`, before the charge.
        """
        left = self.tokens(now, owed) - tokens
        self._tokens = max(-self.max_debt, min(self.capacity + owed, left))

    def set_rate(
        self, per_s: float, capacity: float, max_debt: float, now: float
    ) -> None:
        """Set the rate from now on, and the bounds of the tokens."""
        self.tokens(now)
        self.per_s = per_s
        self.capacity = capacity
        self.max_debt = max_debt

    def scale(self, factor: float, now: float) -> None:
        """Multiply the tokens; a debt stays as it is."""
        tokens = self.tokens(now)
        if tokens > 0.0:
            self._tokens = tokens * factor
