"""Which instances are out of rotation on this entry host, checked for each request."""

from collections.abc import Callable

from ..clock import Clock, SystemClock
from ..logs import log_event
from .pauses import PauseDetector
from .removals import Change, LocalRemovals

__all__ = ["Floor", "log_changes"]

SERVED_WINDOW_S = 60.0
"""Seconds after its last request for which a service counts as served here."""


class Floor:
    """Reports whether an instance is ejected or drained at this moment.

    Attributes:
        pause_detector: checked before any stored decision is used.
        on_first_use: called when a service begins to be served here, so that its
            removals can be pulled at once.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.pause_detector = PauseDetector(clock or SystemClock())
        self.pause_detector.subscribe(self._on_pause)
        self.on_first_use: Callable[[], None] | None = None
        self._removals: dict[str, LocalRemovals] = {}
        self._used_at: dict[str, float] = {}

    def is_removed(self, service: str, instance: str) -> bool:
        """Return whether an instance must get no new requests."""
        now = self.pause_detector.check()
        is_first_use = service not in self._used_at
        self._used_at[service] = now
        if is_first_use and self.on_first_use is not None:
            self.on_first_use()
        return self.removals(service).is_removed(instance, now)

    def is_drained(self, service: str, instance: str) -> bool:
        """Return whether an instance's drain has taken effect on this node."""
        return self.removals(service).is_drained(instance)

    def removals(self, service: str) -> LocalRemovals:
        """Return the removals of a service that are in use on this node."""
        removals = self._removals.get(service)
        if removals is None:
            removals = self._removals[service] = LocalRemovals()
        return removals

    def served(self, now: float) -> list[str]:
        """Return the services with requests in the last SERVED_WINDOW_S; forget others.

        Removals that are no longer pulled are out of date, and must not be used when
        requests for the service arrive again.
        """
        for name, used_at in list(self._used_at.items()):
            if now - used_at >= SERVED_WINDOW_S:
                self.forget(name)
        return list(self._used_at)

    def forget(self, service: str) -> None:
        """Discard the removals of a service that was deleted or is not served here."""
        self._used_at.pop(service, None)
        removals = self._removals.pop(service, None)
        if removals is not None:
            log_changes(service, removals.clear(self.pause_detector.check()))

    def _on_pause(self, now: float) -> None:
        for name, removals in self._removals.items():
            log_changes(name, removals.discard_drains(now))


def log_changes(service: str, changes: list[Change]) -> None:
    """Log which instances went out of rotation or returned to it on this node."""
    for change in changes:
        log_event(
            change.event,
            service=service,
            instance=change.instance,
            boottime=f"{change.at:.3f}",
            until="" if change.until is None else f"{change.until:.3f}",
        )
