"""What the head of an instance's response says about the instance itself."""

import email.utils
import math
import time
from collections.abc import Callable, Sequence

from ..backends import ResponseHead
from ..logs import LimitedLog
from ..placement import InstanceNotice
from .wire import HeaderNames

__all__ = ["NoticeReader"]

LEAVING = b"1"
SERVICE_UNAVAILABLE = 503


class NoticeReader:
    """Read notices from response heads; a header that is unusable is ignored.

    Args:
        header_names: header names on the wire.
        max_pause_s: returns the longest pause in seconds; no header takes an instance
            out of work for longer.
        monotonic: returns the time in seconds; limits the log lines.
        wall_clock: returns the Unix time in seconds, for dates in headers.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        max_pause_s: Callable[[], float],
        monotonic: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._header_names = header_names
        self._max_pause_s = max_pause_s
        self._log = LimitedLog(monotonic)
        self._wall_clock = wall_clock

    def read(self, head: ResponseHead) -> InstanceNotice:
        """Return what a response says about its instance."""
        names = self._header_names
        pauses = (
            self._numbers(head, names.retry_after, self._parse_delay)
            if head.status == SERVICE_UNAVAILABLE
            else []
        )
        limits = self._numbers(head, names.rate_limit, _parse_number)
        return InstanceNotice(
            # Of different values the most cautious one counts.
            rate_limit_per_s=min(limits, default=None),
            is_leaving=self._is_leaving(head),
            pause_s=min(max(pauses), self._max_pause_s()) if pauses else None,
        )

    def _is_leaving(self, head: ResponseHead) -> bool:
        values = _values(head, self._header_names.leaving)
        for value in values:
            if value != LEAVING:
                self._log_unusable(self._header_names.leaving, value)
        return LEAVING in values

    def _numbers(
        self, head: ResponseHead, name: bytes, parse: Callable[[bytes], float | None]
    ) -> list[float]:
        found = []
        for value in _values(head, name):
            number = parse(value)
            if number is None:
                self._log_unusable(name, value)
            else:
                found.append(number)
        return found

    def _parse_delay(self, value: bytes) -> float | None:
        """Return the seconds of a delay or until a date, or None."""
        seconds = _parse_number(value)
        if seconds is not None:
            return seconds
        try:
            date = email.utils.parsedate_to_datetime(value.decode("latin-1"))
            return max(0.0, date.timestamp() - self._wall_clock())
        except (ValueError, OverflowError):
            return None

    def _log_unusable(self, name: bytes, value: bytes) -> None:
        self._log.warn(
            "notice-unusable",
            header=name.decode(),
            value=value[:40].decode("latin-1"),
        )


def _values(head: ResponseHead, name: bytes) -> Sequence[bytes]:
    return [value.strip() for key, value in head.headers if key == name]


def _parse_number(value: bytes) -> float | None:
    """Return a finite decimal number of at least 0, or None."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < math.inf else None
