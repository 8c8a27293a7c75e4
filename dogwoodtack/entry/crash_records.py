"""Records in the store of requests that are held back, for hosts that start later."""

from typing import Any

from ..errors import DECODE_ERRORS, StoreError
from ..feed import Source
from ..fleet import Fleet
from ..logs import log_event
from ..quarantine import (
    CrashReport,
    Quarantine,
    crash_record_from_json,
    crash_record_to_json,
)
from ..reactor import Reactor

__all__ = ["CrashRecords"]

RETRY_S = 1.0
CHECK_S = 1.0
# Bounds the writes of a zone; the rest follows with the next check.
MAX_WRITES_PER_CHECK = 5


class CrashRecords:
    """Read the records when a host starts, and keep them up to date.

    Hosts tell each other of crashes, but if all of them restart together, only the
    store remembers.  The gateway of each zone writes.

    Args:
        reactor: runs timers.
        source: the store.
        fleet: tells whether the local host is its zone's gateway.
        quarantine: the requests that are held back.
    """

    def __init__(
        self,
        reactor: Reactor,
        source: Source,
        fleet: Fleet,
        quarantine: Quarantine,
    ) -> None:
        self._reactor = reactor
        self._source = source
        self._fleet = fleet
        self._quarantine = quarantine
        # Records outlive any monotonic clock.
        self._clock = reactor.clock
        # What the store is known to hold, by digest, without ages; None if it may hold
        # something else.
        self._stored: dict[str, CrashReport | None] = {}

    def begin(self) -> None:
        """Read the records and begin the periodic checks."""
        self._read()
        self._run_checks()

    def on_store_restored(self) -> None:
        """Forget what the store held before it came back from an older copy."""
        self._stored = dict.fromkeys(self._stored)

    def _read(self) -> None:
        self._source.read_crash_records(self._on_records)

    def _on_records(self, records: list[Any] | None, exc: StoreError | None) -> None:
        if records is None:
            log_event("crash-records-unread", level="WARNING", error=str(exc))
            self._reactor.call_later(RETRY_S, self._read)
            return
        unix_s = self._clock.wall()
        reports = []
        for record in records:
            try:
                reports.append(crash_record_from_json(record, unix_s))
            except DECODE_ERRORS as decode_exc:
                log_event(
                    "crash-record-unusable", level="WARNING", error=repr(decode_exc)
                )
        self._stored.update({one.digest: _without_ages(one) for one in reports})
        now = self._clock.monotonic()
        for digest in self._quarantine.on_reports(reports, now):
            log_event(
                "request-quarantined",
                digest=digest,
                crashes=self._quarantine.crashes(digest, now),
                reported_by="store",
            )

    def _run_checks(self) -> None:
        self._reactor.call_later(CHECK_S, self._run_checks)
        if self._fleet.is_zone_gateway():
            for report in self._find_changed()[:MAX_WRITES_PER_CHECK]:
                self._write(report)

    def _find_changed(self) -> list[CrashReport]:
        """Return what the store lacks of requests that are, or were, held back."""
        now = self._clock.monotonic()
        stored = (self._quarantine.report(digest, now) for digest in self._stored)
        known = [*self._quarantine.held_back(now), *(one for one in stored if one)]
        reports = {one.digest: one for one in known}
        return [
            one
            for digest, one in reports.items()
            if self._stored.get(digest) != _without_ages(one)
        ]

    def _write(self, report: CrashReport) -> None:
        self._stored[report.digest] = _without_ages(report)

        def on_written(exc: StoreError | None) -> None:
            if exc is not None:
                log_event("crash-record-unwritten", level="WARNING", error=str(exc))
                self._stored[report.digest] = None

        record = crash_record_to_json(report, self._clock.wall())
        self._source.write_crash_record(report.digest, record, on_written)


def _without_ages(report: CrashReport) -> CrashReport:
    crashes = sorted(crash._replace(age_s=0.0) for crash in report.crashes)
    return report._replace(crashes=tuple(crashes))
