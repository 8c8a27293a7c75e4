"""Counts of good and bad requests, by service and idempotency."""

from collections.abc import Callable

from ..clock import Clock
from .messages import (
    BurnPoint,
    BurnReport,
    BurnRow,
    Objective,
    RequestResult,
    SeriesKey,
    is_bad,
)
from .series import CountSeries, RequestCounts

__all__ = ["WINDOWS_S", "BurnTracker", "burn_rate"]

WINDOWS_S = (300, 3600, 21600)
FINE_BUCKET_S = 10
FINE_BUCKETS = 360
COARSE_BUCKET_S = 60
COARSE_BUCKETS = 360


def burn_rate(counts: RequestCounts, good_ratio: float) -> float:
    """Return how many times faster than allowed the error budget is spent."""
    if counts.total == 0:
        return 0.0
    return counts.bad / counts.total / (1.0 - good_ratio)


class _SeriesPair:
    """A fine series for short windows and a coarse one for long windows."""

    def __init__(self) -> None:
        self.fine = CountSeries(FINE_BUCKET_S, FINE_BUCKETS)
        self.coarse = CountSeries(COARSE_BUCKET_S, COARSE_BUCKETS)

    def for_window(self, window_s: int) -> CountSeries:
        """Return the finest series that covers a window."""
        if window_s <= FINE_BUCKET_S * FINE_BUCKETS:
            return self.fine
        return self.coarse


class BurnTracker:
    """Counts good and bad requests against each service's objective.

    Args:
        clock: gives the time.
        objective_of: returns a service's objective by its name.
    """

    def __init__(self, clock: Clock, objective_of: Callable[[str], Objective]) -> None:
        self._clock = clock
        self._objective_of = objective_of
        self._series: dict[SeriesKey, _SeriesPair] = {}

    def record(self, result: RequestResult) -> None:
        """Count a request that has ended.

        A request whose caller disconnected is not counted, since that was the caller's
        choice; one that matched no service has no objective.
        """
        if not result.service or result.is_caller_gone:
            return
        bad = is_bad(result, self._objective_of(result.service))
        now = self._clock.monotonic()
        key = SeriesKey(result.service, result.is_idempotent)
        pair = self._series.get(key)
        if pair is None:
            pair = self._series[key] = _SeriesPair()
        pair.fine.add(now, bad)
        pair.coarse.add(now, bad)

    def report(self) -> BurnReport:
        """Return the counts of this node, by service, idempotency and window."""
        rows: list[BurnRow] = []
        points: list[BurnPoint] = []
        now = self._clock.monotonic()
        for key in sorted(self._series):
            pair = self._series[key]
            rows.extend(self._row(key, pair, window_s, now) for window_s in WINDOWS_S)
            points.extend(self._points(key, pair, now))
        return {"rows": rows, "points": points}

    def _row(
        self, key: SeriesKey, pair: _SeriesPair, window_s: int, now: float
    ) -> BurnRow:
        counts = pair.for_window(window_s).counts_within(now, window_s)
        good_ratio = self._objective_of(key.service).good_ratio
        return {
            "service": key.service,
            "idempotent": key.is_idempotent,
            "window_s": window_s,
            "total": counts.total,
            "bad": counts.bad,
            "good_ratio": good_ratio,
            "burn": burn_rate(counts, good_ratio),
        }

    @staticmethod
    def _points(key: SeriesKey, pair: _SeriesPair, now: float) -> list[BurnPoint]:
        return [
            {
                "service": key.service,
                "idempotent": key.is_idempotent,
                "age_s": age_s,
                "total": counts.total,
                "bad": counts.bad,
            }
            for age_s, counts in pair.fine.points(now)
        ]
