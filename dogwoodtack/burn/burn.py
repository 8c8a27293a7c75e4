"""What callers met, by service and request class."""

from collections.abc import Callable

from ..clock import Clock
from .messages import (
    BurnPoint,
    BurnReport,
    BurnRow,
    Objective,
    RequestClass,
    Served,
    is_bad,
)
from .series import Counted, Series

__all__ = ["WINDOWS_S", "Burn", "burn_rate"]

WINDOWS_S = (300, 3600, 21600)
FINE_STRETCH_S = 10
FINE_LENGTH = 360
COARSE_STRETCH_S = 60
COARSE_LENGTH = 360


def burn_rate(counted: Counted, good_ratio: float) -> float:
    """Return how many times faster than allowed the error budget was used."""
    if counted.total == 0:
        return 0.0
    return counted.bad / counted.total / (1.0 - good_ratio)


class _Pair:
    """A fine series for short windows and a coarse one for long windows."""

    def __init__(self) -> None:
        self.fine = Series(FINE_STRETCH_S, FINE_LENGTH)
        self.coarse = Series(COARSE_STRETCH_S, COARSE_LENGTH)

    def for_window(self, window_s: int) -> Series:
        """Return the series that covers a window."""
        if window_s <= FINE_STRETCH_S * FINE_LENGTH:
            return self.fine
        return self.coarse


class Burn:
    """Count good and bad requests against each service's objective.

    Args:
        clock: gives the time.
        objective_of: returns a service's objective by its name.
    """

    def __init__(self, clock: Clock, objective_of: Callable[[str], Objective]) -> None:
        self._clock = clock
        self._objective_of = objective_of
        self._series: dict[RequestClass, _Pair] = {}

    def record(self, served: Served) -> None:
        """Take one request that has ended.

        A request whose caller left is the caller's choice and is not counted; one
        that matched no service belongs to no objective.
        """
        if not served.service or served.is_caller_gone:
            return
        bad = is_bad(served, self._objective_of(served.service))
        now = self._clock.monotonic()
        key = RequestClass(served.service, served.is_idempotent)
        pair = self._series.get(key)
        if pair is None:
            pair = self._series[key] = _Pair()
        pair.fine.add(now, bad)
        pair.coarse.add(now, bad)

    def report(self) -> BurnReport:
        """Return every service, class and window that this node has seen."""
        rows: list[BurnRow] = []
        points: list[BurnPoint] = []
        now = self._clock.monotonic()
        for key in sorted(self._series):
            pair = self._series[key]
            rows.extend(self._row(key, pair, window_s, now) for window_s in WINDOWS_S)
            points.extend(self._points(key, pair, now))
        return {"rows": rows, "points": points}

    def _row(
        self, key: RequestClass, pair: _Pair, window_s: int, now: float
    ) -> BurnRow:
        counted = pair.for_window(window_s).within(now, window_s)
        good_ratio = self._objective_of(key.service).good_ratio
        return {
            "service": key.service,
            "idempotent": key.is_idempotent,
            "window_s": window_s,
            "total": counted.total,
            "bad": counted.bad,
            "good_ratio": good_ratio,
            "burn": burn_rate(counted, good_ratio),
        }

    @staticmethod
    def _points(key: RequestClass, pair: _Pair, now: float) -> list[BurnPoint]:
        return [
            {
                "service": key.service,
                "idempotent": key.is_idempotent,
                "age_s": age_s,
                "total": counted.total,
                "bad": counted.bad,
            }
            for age_s, counted in pair.fine.points(now)
        ]
