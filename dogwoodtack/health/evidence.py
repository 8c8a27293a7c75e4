"""The compact message format in which entry hosts share attempt counts."""

import math
from collections import defaultdict
from typing import Any, NamedTuple, TypedDict

from ..errors import ErrorKind, WireError
from .messages import SampleKind

__all__ = ["Evidence", "Outbox", "Row", "bucket_of", "decode"]

URGENT_SEND_INTERVAL_S = 0.5
REGULAR_SEND_INTERVAL_S = 4.0
BUCKETS_PER_OCTAVE = 8
MIN_LATENCY_S = 0.0001
MAX_ROWS = 4000
MAX_BUCKET = 400
MAX_COUNT = 1_000_000


class Evidence(TypedDict):
    """One entry host's new attempt counts for one service, as sent to its peers.

    `rows` holds one list for each instance and request class: the instance's
    name, 1 for idempotent requests else 0, the number of failed attempts, and the
    successful attempts as latency bucket, count, latency bucket, count and so on.
    """

    source: str
    rows: list[list[Any]]


class Row(NamedTuple):
    """One entry host's attempt counts for one instance and request class.

    Attributes:
        instance: the instance's name.
        is_idempotent: whether the counts are of idempotent requests.
        failed: number of failed attempts.
        latencies: number of successful attempts by latency bucket.
    """

    instance: str
    is_idempotent: bool
    failed: int
    latencies: dict[int, int]


def bucket_of(latency_s: float) -> int:
    """Return the index of a latency's bucket on a logarithmic scale."""
    ratio = max(latency_s, MIN_LATENCY_S) / MIN_LATENCY_S
    return int(BUCKETS_PER_OCTAVE * math.log2(ratio))


class Outbox:
    """This host's attempt counts for one service that are still to be sent."""

    def __init__(self, source: str) -> None:
        self._source = source
        self._failed: dict[tuple[str, bool], int] = defaultdict(int)
        self._latencies: dict[tuple[str, bool], dict[int, int]] = {}
        self.is_urgent = False
        self._taken_at = -math.inf

    def add(
        self, instance: str, is_idempotent: bool, kind: SampleKind, bucket: int
    ) -> None:
        """Count one attempt; a failed one makes the outbox urgent."""
        key = (instance, is_idempotent)
        latencies = self._latencies.setdefault(key, {})
        if kind is SampleKind.OK:
            latencies[bucket] = latencies.get(bucket, 0) + 1
        else:
            self._failed[key] += 1
            self.is_urgent = True

    def mark_urgent(self) -> None:
        """Shorten the send interval for what is collected so far."""
        self.is_urgent = True

    def take(self, now: float) -> Evidence | None:
        """Return and clear the collected counts if they are due to be sent.

        Args:
            now: monotonic time in seconds.

        Returns:
            The evidence, or None if there is none or the send interval has not
            passed since the last evidence was taken.
        """
        interval_s = (
            URGENT_SEND_INTERVAL_S if self.is_urgent else REGULAR_SEND_INTERVAL_S
        )
        if not self._latencies or now - self._taken_at < interval_s:
            return None
        rows = [
            [
                instance,
                int(is_idempotent),
                self._failed.get((instance, is_idempotent), 0),
                *(number for pair in sorted(latencies.items()) for number in pair),
            ]
            for (instance, is_idempotent), latencies in self._latencies.items()
        ]
        self._failed.clear()
        self._latencies.clear()
        self.is_urgent = False
        self._taken_at = now
        return Evidence(source=self._source, rows=rows)


def decode(evidence: Any) -> tuple[str, list[Row]]:
    """Validate another entry host's evidence; return its source and rows.

    Raises:
        WireError: the evidence is malformed; the whole message is rejected.
    """
    try:
        source = evidence["source"]
        rows = [_decode_row(row) for row in evidence["rows"]]
    except (KeyError, TypeError, ValueError, IndexError) as exc:
        raise WireError(ErrorKind.BAD_REQUEST, f"evidence: {exc!r}") from exc
    if not isinstance(source, str) or len(rows) > MAX_ROWS:
        raise WireError(ErrorKind.BAD_REQUEST, "evidence: source or rows")
    return source, rows


def _decode_row(row: Any) -> Row:
    instance, is_idempotent, failed, *pairs = row
    numbers = [is_idempotent, failed, *pairs]
    if not isinstance(instance, str) or len(pairs) % 2:
        raise ValueError("a row is not [instance, class, failed, bucket, count, ...]")
    if not all(type(one) is int and 0 <= one <= MAX_COUNT for one in numbers):
        raise ValueError("a number is not an integer within the limits")
    if any(bucket > MAX_BUCKET for bucket in pairs[::2]):
        raise ValueError("a latency bucket is above the highest one")
    latencies = dict(zip(pairs[::2], pairs[1::2]))
    return Row(instance, bool(is_idempotent), failed, latencies)
