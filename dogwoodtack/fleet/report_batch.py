"""Batch of instance reports that a host sends to its peers."""

from ..placement import Observation
from .records import InstanceReport

__all__ = ["ReportBatch"]

# Failures are reported at once, so that peers avoid the same instance.
URGENT = frozenset(
    {
        Observation.ERROR,
        Observation.BROKEN_RESPONSE,
        Observation.NO_RESPONSE,
        Observation.UNREACHABLE,
    }
)


class ReportBatch:
    """Collect instance reports for one datagram.

    Load pattern: all slots are busy and requests are queued at every host.  A slot
    that ends one request and starts the next must not look free to peers in
    between, or each of them sends a request there, too.
    """

    def __init__(self) -> None:
        self._reports: list[InstanceReport] = []
        self._latest: dict[str, int] = {}
        self.is_due = False

    def add(self, report: InstanceReport) -> bool:
        """Add a report and return whether the batch has to be sent at once.

        A report without an observation only updates the in-flight count of the
        instance's latest report, if there is one.
        """
        index = self._latest.get(report.instance_id)
        if index is not None and report.observation is None:
            known = self._reports[index]
            self._reports[index] = known._replace(in_flight=report.in_flight)
        elif index is not None and self._reports[index].observation is None:
            self._reports[index] = report
        else:
            self._latest[report.instance_id] = len(self._reports)
            self._reports.append(report)
        return report.observation in URGENT

    def pop_all(self) -> list[InstanceReport]:
        """Return the collected reports and empty the batch."""
        popped, self._reports = self._reports, []
        self._latest = {}
        self.is_due = False
        return popped
