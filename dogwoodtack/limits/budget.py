"""Limits the retries of all requests of one service."""

__all__ = ["RetryBudget"]

INITIAL_CREDIT_TOKENS = 10.0
MAX_SAVED_TOKENS = 20.0
ROUNDING_TOLERANCE = 1e-9


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    Since the start there are never more retries than `ratio` for each request that
    was sent to a back end.  The first ten retries are granted on credit, so that a
    host that has just started can retry; later requests pay for them.  Unused
    tokens are saved up to a limit: they cover the retries of idempotent requests in
    the seconds until a back end that has begun to fail is ejected.
    """

    def __init__(self) -> None:
        self._earned = 0.0
        self._spent = 0.0

    def record_request(self, ratio: float) -> None:
        """Add tokens for a request that is sent to a back end for the first time.

        Args:
            ratio: tokens to add, the service's retries per request.
        """
        self._earned = min(self._earned + ratio, self._spent + MAX_SAVED_TOKENS)

    def try_spend(self, reserved: float = 0.0) -> bool:
        """Spend a token for one retry; return whether there was one.

        Args:
            reserved: tokens that must remain for others.
        """
        if self._spent + 1.0 + reserved > max(
            INITIAL_CREDIT_TOKENS, self._earned + ROUNDING_TOLERANCE
        ):
            return False
        self._spent += 1.0
        return True
