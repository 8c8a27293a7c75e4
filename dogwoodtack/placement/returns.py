"""When rejected callers should retry."""

import math

__all__ = ["RETRY_JITTER_S", "ReturnTimes", "retry_after"]

# Jitter of Retry-After, so that callers rejected together do not retry together.
RETRY_JITTER_S = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 3.0


def retry_after(wait_s: float, jitter: float) -> float:
    """Return after how many seconds a rejected caller should retry.

    Args:
        wait_s: seconds until capacity is expected to be free.
        jitter: 0 to 1, a random number.
    """
    base = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return base + RETRY_JITTER_S * jitter


class ReturnTimes:
    """Spread the returns of rejected callers over the time that their work takes.

    Load pattern: a burst of seconds is rejected in part. If all its callers return when
    there is room for the first of them, they are the next burst.
    """

    def __init__(self) -> None:
        # Until when the work of the callers that were told to return takes the slots.
        self._booked_until = -math.inf

    def book(self, wait_s: float, room_s: float, now: float, jitter: float) -> float:
        """Return after how many seconds a rejected caller should retry.

        Args:
            wait_s: seconds until there is room for the first caller.
            room_s: seconds that it takes to free slots for this caller's work.
            now: seconds on the monotonic clock.
            jitter: 0 to 1, a random number.
        """
        room_s = min(room_s, MAX_RETRY_AFTER_S)
        end = max(self._booked_until, now) + room_s
        self._booked_until = min(end, now + MAX_RETRY_AFTER_S)
        earliest_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        span_s = max(RETRY_JITTER_S, self._booked_until - now)
        return earliest_s + min(span_s, MAX_RETRY_AFTER_S) * jitter
