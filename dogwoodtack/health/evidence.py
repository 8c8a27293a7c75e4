"""The compact form in which entry hosts pass on what they have seen."""

import math
from collections import defaultdict
from typing import Any, NamedTuple, TypedDict

from ..errors import ErrorKind, WireError
from .messages import SampleKind

__all__ = ["Evidence", "Outbox", "Row", "bucket_of", "decode"]

URGENT_PERIOD_S = 0.5
CALM_PERIOD_S = 4.0
BUCKETS_PER_OCTAVE = 8
SHORTEST_LATENCY_S = 0.0001
MAX_ROWS = 4000
MAX_BUCKETS = 400
MAX_COUNT = 1_000_000


class Evidence(TypedDict):
    """What one entry host passes on of one service.

    `rows` holds one list for each instance and request class: the instance's
    name, 1 for idempotent requests, failed attempts, and the good answers as
    latency bucket, count, latency bucket, count and so on.
    """

    source: str
    rows: list[list[Any]]


class Row(NamedTuple):
    """What one entry host saw of one instance in one request class.

    Attributes:
        instance: the instance's name.
        is_idempotent: the request class.
        failed: attempts without a good answer.
        latencies: good answers counted by latency bucket.
    """

    instance: str
    is_idempotent: bool
    failed: int
    latencies: dict[int, int]


def bucket_of(latency_s: float) -> int:
    """Return the latency's bucket on a logarithmic scale."""
    ratio = max(latency_s, SHORTEST_LATENCY_S) / SHORTEST_LATENCY_S
    return int(BUCKETS_PER_OCTAVE * math.log2(ratio))


class Outbox:
    """What this host has seen of one service and not yet passed on."""

    def __init__(self, source: str) -> None:
        self._source = source
        self._failed: dict[tuple[str, bool], int] = defaultdict(int)
        self._latencies: dict[tuple[str, bool], dict[int, int]] = {}
        self.is_urgent = False
        self._taken_at = -math.inf

    def add(
        self, instance: str, is_idempotent: bool, kind: SampleKind, bucket: int
    ) -> None:
        """Count one attempt."""
        key = (instance, is_idempotent)
        latencies = self._latencies.setdefault(key, {})
        if kind is SampleKind.OK:
            latencies[bucket] = latencies.get(bucket, 0) + 1
        else:
            self._failed[key] += 1
            self.is_urgent = True

    def hurry(self) -> None:
        """Pass on what there is at the next chance."""
        self.is_urgent = True

    def take(self, now: float) -> Evidence | None:
        """Return what is worth passing on at a monotonic time, or None."""
        period_s = URGENT_PERIOD_S if self.is_urgent else CALM_PERIOD_S
        if not self._latencies or now - self._taken_at < period_s:
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
    """Check what another entry host passed on; return its source and rows.

    Raises:
        WireError: the evidence is malformed; none of it may be used.
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
        raise ValueError("a row's form")
    if not all(type(one) is int and 0 <= one <= MAX_COUNT for one in numbers):
        raise ValueError("a row's numbers")
    if any(bucket > MAX_BUCKETS for bucket in pairs[::2]):
        raise ValueError("a row's latency bucket")
    latencies = dict(zip(pairs[::2], pairs[1::2]))
    return Row(instance, bool(is_idempotent), failed, latencies)
