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
from .messages import DrainNotice, DrainSource

__all__ = ["FIRST_PROBE_DELAY_S", "DrainingInstances"]

FIRST_PROBE_DELAY_S = 30.0
PROBE_RETRY_S = 5.0


class _DrainState(NamedTuple):
    """How long an instance's word stands before a probe asks again."""

    probe_at: float
    source: DrainSource


class DrainingInstances:
    """Know the leaving instances of the services served here.

    Args:
        clock: gives the time.
        notify: passes a notice on to the other entry hosts of the service.
    """

    def __init__(self, clock: Clock, notify: Callable[[DrainNotice], None]) -> None:
        self._clock = clock
        self._notify = notify
        self._states: dict[DrainNotice, _DrainState] = {}
        self._listed: frozenset[str] = frozenset()

    def is_draining(self, service: str, instance: str) -> bool:
        """Return whether any source has said that the instance is leaving."""
        return (
            instance in self._listed or DrainNotice(service, instance) in self._states
        )

    def record_drain_response(self, service: str, instance: str) -> None:
        """Take an instance's own word, given in an answer, that it drains."""
        notice = DrainNotice(service, instance)
        if self._record(notice, DrainSource.RESPONSE):
            self._notify(notice)

    def apply_notice(self, notice: DrainNotice) -> None:
        """Take another entry host's word that an instance drains."""
        self._record(notice, DrainSource.PEER)

    def apply_host_list(self, leaving: Iterable[str]) -> frozenset[str]:
        """Take the names that the platform's list shows as leaving.

        Returns the names that the list before did not show as leaving.
        """
        before, self._listed = self._listed, frozenset(leaving)
        return self._listed - before

    def record_listed(self, service: str, instance: str) -> None:
        """Take an instance of a service that the list newly shows as leaving.

        The list itself reaches the other hosts by gossip within seconds; the notice
        that is passed on here is there sooner.
        """
        notice = DrainNotice(service, instance)
        if self._record(notice, DrainSource.HOST_LIST):
            self._notify(notice)

    def due_probes(self) -> list[DrainNotice]:
        """Return the instances to probe now; each is due again a little later."""
        now = self._clock.monotonic()
        due = [
            notice for notice, state in self._states.items() if state.probe_at <= now
        ]
        for notice in due:
            later = now + PROBE_RETRY_S
            self._states[notice] = self._states[notice]._replace(probe_at=later)
        return due

    def record_probe(self, notice: DrainNotice, accepts_requests: bool) -> None:
        """Take a probe's result; only a clean answer ends the hold."""
        if accepts_requests and self._states.pop(notice, None) is not None:
            log_event("back-end-back", service=notice.service, instance=notice.instance)

    def retain(self, known: set[DrainNotice]) -> None:
        """Forget instances that are in no service any more."""
        for notice in [one for one in self._states if one not in known]:
            del self._states[notice]

    def _record(self, notice: DrainNotice, source: DrainSource) -> bool:
        """Hold an instance out of work; return whether that is news."""
        is_new = notice not in self._states
        self._states[notice] = _DrainState(
            self._clock.monotonic() + FIRST_PROBE_DELAY_S, source
        )
        if is_new:
            log_event(
                "back-end-leaving",
                service=notice.service,
                instance=notice.instance,
                source=source,
            )
        return is_new
