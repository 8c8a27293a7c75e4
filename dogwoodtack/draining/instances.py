"""Which back ends are leaving, from whichever source says so first.

The platform's list lags, so a back end's own word in an answer counts at once
and is passed on to the other entry hosts of its service.  That word holds until
a probe shows that the back end takes work again: a real request sent to find
out would be new work for a back end that may still be leaving.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..clock import Clock
from ..logs import log_event
from .messages import Hint, LeavingSource

__all__ = ["HOLD_S", "Leaving"]

HOLD_S = 30.0
PROBE_RETRY_S = 5.0


class _Held(NamedTuple):
    """How long an instance's word stands before a probe asks again."""

    probe_at: float
    source: LeavingSource


class Leaving:
    """Know the leaving instances of the services served here.

    Args:
        clock: gives the time.
        tell: passes a hint on to the other entry hosts of the service.
    """

    def __init__(self, clock: Clock, tell: Callable[[Hint], None]) -> None:
        self._clock = clock
        self._tell = tell
        self._held: dict[Hint, _Held] = {}
        self._listed: frozenset[str] = frozenset()

    def is_leaving(self, service: str, instance: str) -> bool:
        """Return whether any source has said that the instance is leaving."""
        return instance in self._listed or Hint(service, instance) in self._held

    def note_draining(self, service: str, instance: str) -> None:
        """Take an instance's own word, given in an answer, that it drains."""
        hint = Hint(service, instance)
        if self._hold(hint, LeavingSource.OWN_WORD):
            self._tell(hint)

    def take_hint(self, hint: Hint) -> None:
        """Take another entry host's word that an instance drains."""
        self._hold(hint, LeavingSource.PEER)

    def take_host_list(self, leaving: Iterable[str]) -> frozenset[str]:
        """Take the names that the platform's list shows as leaving.

        Returns the names that the list before did not show as leaving.
        """
        before, self._listed = self._listed, frozenset(leaving)
        return self._listed - before

    def note_listed(self, service: str, instance: str) -> None:
        """Take an instance of a service that the list newly shows as leaving.

        The list itself reaches the other hosts by gossip within seconds; the hint
        that is passed on here is there sooner.
        """
        hint = Hint(service, instance)
        if self._hold(hint, LeavingSource.HOST_LIST):
            self._tell(hint)

    def due_probes(self) -> list[Hint]:
        """Return the instances to probe now; each is due again a little later."""
        now = self._clock.monotonic()
        due = [hint for hint, held in self._held.items() if held.probe_at <= now]
        for hint in due:
            later = now + PROBE_RETRY_S
            self._held[hint] = self._held[hint]._replace(probe_at=later)
        return due

    def take_probe(self, hint: Hint, takes_work: bool) -> None:
        """Take a probe's result; only a clean answer ends the hold."""
        if takes_work and self._held.pop(hint, None) is not None:
            log_event("back-end-back", service=hint.service, instance=hint.instance)

    def retain(self, known: set[Hint]) -> None:
        """Forget instances that are in no service any more."""
        for hint in [held for held in self._held if held not in known]:
            del self._held[hint]

    def _hold(self, hint: Hint, source: LeavingSource) -> bool:
        """Hold an instance out of work; return whether that is news."""
        is_news = hint not in self._held
        self._held[hint] = _Held(self._clock.monotonic() + HOLD_S, source)
        if is_news:
            log_event(
                "back-end-leaving",
                service=hint.service,
                instance=hint.instance,
                source=source,
            )
        return is_news
