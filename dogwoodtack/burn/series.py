"""Counts of good and bad requests over time, in a ring of equal time buckets."""

from typing import NamedTuple

__all__ = ["CountSeries", "RequestCounts"]


class RequestCounts(NamedTuple):
    """How many requests there were, and how many of them were bad."""

    total: int
    bad: int


NO_REQUESTS = RequestCounts(0, 0)


class CountSeries:
    """Counts by time bucket; those older than the ring are dropped.

    Args:
        bucket_s: the length of a bucket in seconds.
        max_buckets: how many buckets are kept.
    """

    def __init__(self, bucket_s: int, max_buckets: int) -> None:
        self._bucket_s = bucket_s
        self._max_buckets = max_buckets
        self._counts: dict[int, RequestCounts] = {}

    def add(self, now: float, is_bad: bool) -> None:
        """Count one request."""
        index = int(now // self._bucket_s)
        known = self._counts.get(index)
        if known is None:
            self._drop_expired(index)
            known = NO_REQUESTS
        self._counts[index] = RequestCounts(known.total + 1, known.bad + is_bad)

    def _drop_expired(self, index: int) -> None:
        oldest = index - self._max_buckets
        for expired in [one for one in self._counts if one <= oldest]:
            del self._counts[expired]

    def counts_within(self, now: float, window_s: float) -> RequestCounts:
        """Return the counts of the last `window_s` seconds, in whole buckets."""
        first = int((now - window_s) // self._bucket_s) + 1
        counts = [count for index, count in self._counts.items() if index >= first]
        return RequestCounts(
            sum(count.total for count in counts), sum(count.bad for count in counts)
        )

    def points(self, now: float) -> list[tuple[int, RequestCounts]]:
        """Return the age in seconds and the counts of each bucket, oldest first."""
        current = int(now // self._bucket_s)
        return [
            ((current - index) * self._bucket_s, self._counts[index])
            for index in sorted(self._counts)
            if current - index < self._max_buckets
        ]
