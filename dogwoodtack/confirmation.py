"""Confirmation by the store that no newer configuration is in force."""

import functools
import math
from collections.abc import Callable

from .logs import LimitedLog
from .reactor import Reactor, Timer

__all__ = ["ConfigurationConfirmer", "OnConfirmed"]

# A store that answers later is no help to a request that waits.
TIMEOUT_S = 0.4
# Bounds the calls to the store while many requests fail.
MIN_INTERVAL_S = 0.1
# After a read that failed none is made for a time, which doubles up to the longest: at
# the target size all hosts together may ask more than the store answers.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0

OnConfirmed = Callable[[bool], None]


class ConfigurationConfirmer:
    """Make sure that the newest configuration is known.

    A read of the store that begins after a request has arrived shows each configuration
    that was acknowledged before the request was sent, whatever the host has missed and
    however long it was paused.  One read serves all that waited for it to begin.

    Args:
        reactor: event loop and clock.
        read: reads the newest configuration, puts it in force, and calls its argument
            with whether it has.
        max_backoff_s: longest time in seconds without a read after some that failed.
    """

    def __init__(
        self,
        reactor: Reactor,
        read: Callable[[OnConfirmed], None],
        max_backoff_s: float = MAX_BACKOFF_S,
    ) -> None:
        self._reactor = reactor
        self._read = read
        self._max_backoff_s = max_backoff_s
        self._waiting: list[OnConfirmed] = []
        self._began_at = -math.inf
        self._interval_s = MIN_INTERVAL_S
        self._limited_log = LimitedLog(reactor.clock.monotonic)

    def confirm(self, on_done: OnConfirmed) -> None:
        """Call a function with whether the newest configuration is now in force.

        While reads fail most callers are told at once that it is not known.
        """
        wait_s = self._began_at + self._interval_s - self._reactor.clock.monotonic()
        if self.is_failing and wait_s > MIN_INTERVAL_S:
            self._reactor.call_soon(on_done, False)
            return
        self._waiting.append(on_done)
        if len(self._waiting) == 1:
            self._reactor.call_later(wait_s, self._begin)

    @property
    def is_failing(self) -> bool:
        """Return whether the last read has failed, as far as nothing else is known."""
        return self._interval_s > MIN_INTERVAL_S

    def end_backoff(self) -> None:
        """Read at once again, as the source has answered something else."""
        self._interval_s = MIN_INTERVAL_S

    def _begin(self) -> None:
        self._began_at = self._reactor.clock.monotonic()
        waiting, self._waiting = self._waiting, []
        timer = self._reactor.call_later(TIMEOUT_S, self._finish, waiting, None, False)
        self._read(functools.partial(self._finish, waiting, timer))

    def _finish(
        self, waiting: list[OnConfirmed], timer: Timer | None, is_confirmed: bool
    ) -> None:
        if timer is not None:
            timer.cancel()
        if is_confirmed:
            self._interval_s = MIN_INTERVAL_S
        elif waiting:
            backoff_s = max(FIRST_BACKOFF_S, 2.0 * self._interval_s)
            self._interval_s = min(self._max_backoff_s, backoff_s)
            self._limited_log.warn("configuration-unconfirmed", requests=len(waiting))
        # Each on its own, as one may raise.
        for on_done in waiting:
            self._reactor.call_soon(on_done, is_confirmed)
        # A read may end after its time.
        waiting.clear()
