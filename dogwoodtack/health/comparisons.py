"""What each test looks at: a signal, some requests and a window."""

from typing import NamedTuple

from .messages import RequestClass, Signal
from .scores import Share
from .windows import LENGTHS_S, RATE_LEVEL, Counts

__all__ = ["Cell", "is_seen", "shares_of", "sum_counts"]

REPORTED_LATE_LEVELS = 2


class Cell(NamedTuple):
    """One test: a signal in some requests over one window."""

    signal: Signal
    requests: RequestClass
    level: int


def sum_counts(left: Counts, right: Counts) -> Counts:
    """Return the counts of two request classes together."""
    return Counts(
        left.total + right.total,
        left.failed + right.failed,
        left.slow + right.slow,
        left.very_slow + right.very_slow,
    )


def is_seen(signal: Signal, counts: dict[str, list[Counts]]) -> bool:
    """Return whether any instance showed a signal in the longest window."""
    longest = [levels[-1] for levels in counts.values()]
    if signal is Signal.FAILED:
        return any(one.failed for one in longest)
    if signal is Signal.SLOW:
        return any(one.slow for one in longest)
    return any(one.failed or one.very_slow for one in longest)


def shares_of(cell: Cell, counts: dict[str, list[Counts]]) -> dict[str, Share]:
    """Return the counts that one test looks at.

    Entry hosts report bad attempts at once and good ones seconds later, so a
    short window is filled up with the good attempts that are still to come.
    """
    shares = {}
    for name, levels in counts.items():
        one = levels[cell.level]
        total = one.total
        if cell.level < REPORTED_LATE_LEVELS:
            usual = levels[RATE_LEVEL].total / LENGTHS_S[RATE_LEVEL]
            total = max(total, usual * LENGTHS_S[cell.level])
        if cell.signal is Signal.FAILED:
            shares[name] = Share(one.failed, total)
        elif cell.signal is Signal.LOST:
            shares[name] = Share(one.failed + one.very_slow, total)
        else:
            shares[name] = Share(one.slow, one.total - one.failed)
    return shares
