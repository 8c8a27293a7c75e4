"""Detection of pauses of this process, before any earlier knowledge is used."""

from collections.abc import Callable

from ..clock import Clock
from ..logs import log_event
from .messages import GAP_THRESHOLD_S, PAUSE_THRESHOLD_S, STABLE_AFTER_S

__all__ = ["PauseDetector"]


class PauseDetector:
    """Detects gaps between loop iterations; checked at least every tick.

    After any gap a process counts as unstable until STABLE_AFTER_S have passed without
    another one, time in which it receives the updates that it missed.  If it was
    unstable for longer than PAUSE_THRESHOLD_S, by one gap or by several close together,
    it was paused, and the listeners discard what may be out of date.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._checked_at = clock.boottime()
        self._stable_at = self._checked_at
        self._unstable_since = self._checked_at
        self._listeners: list[Callable[[float], None]] = []

    def subscribe(self, on_pause: Callable[[float], None]) -> None:
        """Call a function with the boottime at which each pause is detected."""
        self._listeners.append(on_pause)

    def is_stable(self) -> bool:
        """Return whether the latest gap is at least STABLE_AFTER_S ago."""
        return self._checked_at >= self._stable_at

    def check(self) -> float:
        """Check for a gap since the last call and return the boottime in seconds."""
        now = self._clock.boottime()
        if now - self._checked_at > GAP_THRESHOLD_S:
            self._handle_gap(now)
        self._checked_at = now
        return now

    def _handle_gap(self, now: float) -> None:
        if self.is_stable():
            self._unstable_since = self._checked_at
        self._stable_at = now + STABLE_AFTER_S
        unstable_s = now - self._unstable_since
        is_pause = unstable_s > PAUSE_THRESHOLD_S
        log_event(
            "paused" if is_pause else "stalled",
            "WARNING",
            seconds=now - self._checked_at,
        )
        if is_pause:
            for listener in self._listeners:
                listener(now)
