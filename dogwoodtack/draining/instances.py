"""Which instances are draining, from whichever source reports it first.

The platform's list lags, so an instance that marks a response as draining counts
as draining at once, and the other entry hosts of its service are notified. It
stays so until a probe shows that it accepts requests again: a real request sent
to find out would be a new request to an instance that may still be draining.
"""

from collections.abc import Callable, Iterable

from ..clock import Clock
from ..logs import log_event
from .messages import DrainNotice, DrainSource

__all__ = ["FIRST_PROBE_DELAY_S", "DrainingInstances"]

FIRST_PROBE_DELAY_S = 30.0
PROBE_RETRY_S = 5.0


class DrainingInstances:
    """Tracks the draining instances of this entry host's services.

    Args:
        clock: gives the time.
        notify: sends a notice to the other entry hosts of the service.
    """

    def __init__(self, clock: Clock, notify: Callable[[DrainNotice], None]) -> None:
        self._clock = clock
        self._notify = notify
        # When to probe each draining instance next.
        self._probe_at: dict[DrainNotice, float] = {}
        self._listed: frozenset[str] = frozenset()

    def is_draining(self, service: str, instance: str) -> bool:
        """Return whether any source reports the instance as draining."""
        return (
            instance in self._listed or DrainNotice(service, instance) in self._probe_at
        )

    def record_drain_response(self, service: str, instance: str) -> None:
        """Record that a response of the instance itself marked it as draining.

        The other entry hosts of the service are notified unless a report on the
        instance is recorded already.
        """
        notice = DrainNotice(service, instance)
        if self._record(notice, DrainSource.RESPONSE):
            self._notify(notice)

    def apply_notice(self, notice: DrainNotice) -> None:
        """Record a notice from another entry host; it is not sent on."""
        self._record(notice, DrainSource.PEER)

    def apply_host_list(self, leaving: Iterable[str]) -> frozenset[str]:
        """Replace the names that the platform's list shows as leaving.

        Returns:
            The names that the previous list did not show as leaving.
        """
        before, self._listed = self._listed, frozenset(leaving)
        return self._listed - before

    def record_listed(self, service: str, instance: str) -> None:
        """Record an instance that the platform's list newly shows as leaving.

        The other entry hosts are notified unless a report on the instance is recorded
        already. The list itself reaches them by gossip within seconds; the notice
        arrives sooner.
        """
        notice = DrainNotice(service, instance)
        if self._record(notice, DrainSource.HOST_LIST):
            self._notify(notice)

    def due_probes(self) -> list[DrainNotice]:
        """Return the instances to probe now; each is due again after PROBE_RETRY_S."""
        now = self._clock.monotonic()
        due = [notice for notice, at in self._probe_at.items() if at <= now]
        for notice in due:
            self._probe_at[notice] = now + PROBE_RETRY_S
        return due

    def record_probe(self, notice: DrainNotice, accepts_requests: bool) -> None:
        """Apply a probe's result; only one that accepts requests ends the drain."""
        if accepts_requests and self._probe_at.pop(notice, None) is not None:
            log_event("back-end-back", service=notice.service, instance=notice.instance)

    def retain(self, known: set[DrainNotice]) -> None:
        """Drop the reports on instances that are in no service any more."""
        for notice in [one for one in self._probe_at if one not in known]:
            del self._probe_at[notice]

    def _record(self, notice: DrainNotice, source: DrainSource) -> bool:
        """Record the first report on an instance; further ones change nothing.

        Returns:
            Whether no report on the instance was recorded before.
        """
        if notice in self._probe_at:
            return False
        self._probe_at[notice] = self._clock.monotonic() + FIRST_PROBE_DELAY_S
        log_event(
            "back-end-leaving",
            service=notice.service,
            instance=notice.instance,
            source=source,
        )
        return True
