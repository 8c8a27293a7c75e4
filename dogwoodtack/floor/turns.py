"""Notice that this process was paused, before anything known earlier is used."""

from collections.abc import Callable

from ..clock import Clock
from ..logs import log_event
from .messages import CALM_S, GAP_S, PAUSE_LIMIT_S

__all__ = ["Turns"]


class Turns:
    """The turns of the loop, noted at least every tick.

    After any gap a process needs CALM_S without another one, in which it hears
    of what changed meanwhile.  One that was disturbed for longer than
    PAUSE_LIMIT_S, by one gap or by several close together, doubts what it knew.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._at = clock.boottime()
        self._calm_at = self._at
        self._disturbed_since = self._at
        self._listeners: list[Callable[[float], None]] = []

    def subscribe(self, on_pause: Callable[[float], None]) -> None:
        """Call a function with the boottime at which a long pause was noticed."""
        self._listeners.append(on_pause)

    def is_calm(self) -> bool:
        """Return whether the latest gap is long enough ago."""
        return self._at >= self._calm_at

    def note(self) -> float:
        """Note a turn and return the boottime in seconds."""
        now = self._clock.boottime()
        if now - self._at > GAP_S:
            self._note_gap(now)
        self._at = now
        return now

    def _note_gap(self, now: float) -> None:
        if self.is_calm():
            self._disturbed_since = self._at
        self._calm_at = now + CALM_S
        disturbed_s = now - self._disturbed_since
        is_pause = disturbed_s > PAUSE_LIMIT_S
        log_event(
            "paused" if is_pause else "stalled", "WARNING", seconds=now - self._at
        )
        if is_pause:
            for listener in self._listeners:
                listener(now)
