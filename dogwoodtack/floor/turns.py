"""Notice that this process was paused, before anything known earlier is used."""

from collections.abc import Callable

from ..clock import Clock
from ..logs import log_event
from .messages import PAUSE_LIMIT_S

__all__ = ["Turns"]


class Turns:
    """The turns of the loop, noted at least every tick."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._at = clock.boottime()
        self._listeners: list[Callable[[float], None]] = []

    def subscribe(self, on_pause: Callable[[float], None]) -> None:
        """Call a function with the boottime at which a pause was noticed."""
        self._listeners.append(on_pause)

    def note(self) -> float:
        """Note a turn and return the boottime in seconds."""
        now = self._clock.boottime()
        paused_s = now - self._at
        self._at = now
        if paused_s > PAUSE_LIMIT_S:
            log_event("paused", "WARNING", seconds=paused_s)
            for listener in self._listeners:
                listener(now)
        return now
