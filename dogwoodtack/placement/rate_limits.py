"""Rate limits that instances name for all hosts together."""

from typing import NamedTuple

__all__ = ["RateLimit", "RateLimits"]


class RateLimit(NamedTuple):
    """The rate limit that an instance named last.

    Attributes:
        per_s: requests per second that the instance takes from all hosts together.
        named_at: when the limit was last named, in seconds on the monotonic clock.
    """

    per_s: float
    named_at: float


class RateLimits:
    """The rate limits of instances, as their responses name them."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def on_response(
        self, instance_id: str, per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Record what a response says and return whether the limit has changed.

        Args:
            instance_id: the instance that responded.
            per_s: the limit that the response names, None if it names none.
            sent_at: when the request was sent.
            now: seconds on the monotonic clock.
        """
        known = self._limits.get(instance_id)
        if per_s is not None:
            self._limits[instance_id] = RateLimit(per_s, now)
            return known is None or known.per_s != per_s
        # A response to a request from before may be older than the limit.
        if known is None or sent_at <= known.named_at:
            return False
        del self._limits[instance_id]
        return True

    def forget(self, instance_id: str) -> None:
        """Drop the limit of an instance that is gone."""
        self._limits.pop(instance_id, None)
