"""Notice that this process was paused, before anything known earlier is used."""

from collections.abc import Callable

from ..clock import Clock
from ..logs import log_event
from .messages import GAP_THRESHOLD_S, PAUSE_THRESHOLD_S, STABLE_AFTER_S

__all__ = ["PauseDetector"]


class PauseDetector:
    """The turns of the loop, noted at least every tick.

    After any gap a process needs STABLE_AFTER_S without another one, in which it hears
    of what changed meanwhile.  One that was disturbed for longer than
    PAUSE_THRESHOLD_S, by one gap or by several close together, doubts what it knew.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._checked_at = clock.boottime()
        self._stable_at = self._checked_at
        self._unstable_since = self._checked_at
        self._listeners: list[Callable[[float], None]] = []

    def subscribe(self, on_pause: Callable[[float], None]) -> None:
        """Call a function with the boottime at which a long pause was noticed."""
        self._listeners.append(on_pause)

    def is_stable(self) -> bool:
        """Return whether the latest gap is long enough ago."""
        return self._checked_at >= self._stable_at

    def check(self) -> float:
        """Note a turn and return the boottime in seconds."""
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
