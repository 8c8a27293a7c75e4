"""The comparisons with peers: a signal, a request class and a window each."""

from typing import NamedTuple

from .messages import RequestClass, Signal
from .scores import Share
from .windows import RATE_WINDOW, WINDOW_LENGTHS_S, Counts

__all__ = ["Comparison", "is_signal_present", "shares_for", "sum_counts"]

REPORT_DELAY_WINDOWS = 2


class Comparison(NamedTuple):
    """One comparison of every instance with its peers.

    Attributes:
        signal: what is counted.
        requests: the class of requests it is counted in.
        window_index: index into `WINDOW_LENGTHS_S`.
    """

    signal: Signal
    requests: RequestClass
    window_index: int


def sum_counts(left: Counts, right: Counts) -> Counts:
    """Return the sum of the counts of two request classes."""
    return Counts(
        left.total + right.total,
        left.failed + right.failed,
        left.slow + right.slow,
        left.very_slow + right.very_slow,
    )


def is_signal_present(signal: Signal, counts: dict[str, list[Counts]]) -> bool:
    """Return whether any instance showed the signal in the longest window."""
    longest = [windows[-1] for windows in counts.values()]
    if signal is Signal.FAILED:
        return any(one.failed for one in longest)
    if signal is Signal.SLOW:
        return any(one.slow for one in longest)
    return any(one.failed or one.very_slow for one in longest)


def shares_for(
    comparison: Comparison, counts: dict[str, list[Counts]]
) -> dict[str, Share]:
    """Return each instance's share of attempts that showed the signal.

    Entry hosts report failed attempts at once and successful ones seconds later.
    For FAILED and LOST the total of a short window is therefore raised to what the
    instance's recent request rate predicts for a window of that length.
    """
    shares = {}
    for name, windows in counts.items():
        counts_in_window = windows[comparison.window_index]
        total = counts_in_window.total
        if comparison.window_index < REPORT_DELAY_WINDOWS:
            recent_rate = windows[RATE_WINDOW].total / WINDOW_LENGTHS_S[RATE_WINDOW]
            total = max(total, recent_rate * WINDOW_LENGTHS_S[comparison.window_index])
        if comparison.signal is Signal.FAILED:
            shares[name] = Share(counts_in_window.failed, total)
        elif comparison.signal is Signal.LOST:
            shares[name] = Share(
                counts_in_window.failed + counts_in_window.very_slow, total
            )
        else:
            shares[name] = Share(
                counts_in_window.slow, counts_in_window.total - counts_in_window.failed
            )
    return shares
