"""The platform's host list, read by a few nodes and distributed to all.

The list may lag.  Snapshots of it are numbered: a snapshot's number is one above
the highest number that its reader knew when it began to read, so a higher number
was read later and no clocks are compared.  Two snapshots with the same number
were read at about the same time, and a host in either of them counts as listed.
"""

from typing import NamedTuple, TypedDict

from ..clock import Clock, SystemClock

__all__ = ["HostListSnapshot", "HostListView", "WireHostList"]

UNLISTED_AFTER_S = 10.0
UNLISTED_AFTER_SNAPSHOTS = 2


class HostListSnapshot(NamedTuple):
    """The host list as one node read it.

    Attributes:
        number: increases from snapshot to snapshot, across readers.
        names: the listed hosts, live or leaving.
        leaving: those of them that are listed as leaving.
        shows_absence: whether a missing name counts as absent.  False if the list
            lacked the reader itself: it then lags, or lists back ends only.
    """

    number: int
    names: frozenset[str]
    leaving: frozenset[str]
    shows_absence: bool = True


class WireHostList(TypedDict):
    """The JSON form of a HostListSnapshot."""

    number: int
    names: list[str]
    leaving: list[str]
    shows_absence: bool


class _Absence(NamedTuple):
    """Since when (monotonic seconds) and for how many snapshots a host is missing."""

    since: float
    snapshots: int


class HostListView:
    """Determines from the snapshots received which hosts are listed.

    `is_listed` is True in doubt.  A host counts as unlisted only if several
    consecutive snapshots over several seconds lacked it.  A snapshot that lacks
    its own reader unlists no host, so every entry host counts as listed at a site
    whose platform lists none of them.  The hosts that such a snapshot shows as
    leaving still count as leaving.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self.snapshot: HostListSnapshot | None = None
        self.applied_at: float | None = None
        self._absences: dict[str, _Absence] = {}
        self._first_applied_at = 0.0
        self._snapshot_count = 0

    @property
    def number(self) -> int:
        """Return the number of the latest snapshot, 0 if there is none."""
        return 0 if self.snapshot is None else self.snapshot.number

    def apply(self, snapshot: HostListSnapshot) -> bool:
        """Apply a snapshot unless it is older or adds nothing; return whether."""
        known = self.snapshot
        if known is not None and snapshot.number < known.number:
            return False
        if known is not None and snapshot.number == known.number:
            return self._merge_same_number(known, snapshot)
        self.snapshot = snapshot
        self.applied_at = self._clock.monotonic()
        if snapshot.shows_absence:
            self._record_absences(known)
        return True

    def _merge_same_number(
        self, known: HostListSnapshot, snapshot: HostListSnapshot
    ) -> bool:
        names = known.names | snapshot.names
        leaving = known.leaving | snapshot.leaving
        shows_absence = known.shows_absence and snapshot.shows_absence
        merged = HostListSnapshot(known.number, names, leaving, shows_absence)
        if merged == known:
            return False
        self.snapshot = merged
        for name in names:
            self._absences.pop(name, None)
        return True

    def _record_absences(self, known: HostListSnapshot | None) -> None:
        now = self._clock.monotonic()
        if self._snapshot_count == 0:
            self._first_applied_at = now
        self._snapshot_count += 1
        names = self.snapshot.names
        newly_absent = known.names - names if known is not None else frozenset()
        for name, absence in list(self._absences.items()):
            if name in names:
                del self._absences[name]
            else:
                self._absences[name] = absence._replace(snapshots=absence.snapshots + 1)
        for name in newly_absent:
            self._absences.setdefault(name, _Absence(now, 1))
        self._drop_unlisted(now)

    def _drop_unlisted(self, now: float) -> None:
        """Drop absences that already count as unlisted.

        A host without an absence counts as missing since the first snapshot,
        which gives the same result.
        """
        for name, absence in list(self._absences.items()):
            if self._is_unlisted(absence, now):
                del self._absences[name]

    def is_listed(self, name: str) -> bool:
        """Return whether a host is on the list; True in doubt."""
        snapshot = self.snapshot
        if snapshot is None or not snapshot.shows_absence or name in snapshot.names:
            return True
        never_listed = _Absence(self._first_applied_at, self._snapshot_count)
        absence = self._absences.get(name, never_listed)
        return not self._is_unlisted(absence, self._clock.monotonic())

    @staticmethod
    def _is_unlisted(absence: _Absence, now: float) -> bool:
        is_long = now - absence.since >= UNLISTED_AFTER_S
        return is_long and absence.snapshots >= UNLISTED_AFTER_SNAPSHOTS

    def is_leaving(self, name: str) -> bool:
        """Return whether a host is listed as leaving."""
        return self.snapshot is not None and name in self.snapshot.leaving

    def to_wire(self) -> WireHostList | None:
        """Return the latest snapshot in its JSON form, None if there is none."""
        if self.snapshot is None:
            return None
        return {
            "number": self.snapshot.number,
            "names": sorted(self.snapshot.names),
            "leaving": sorted(self.snapshot.leaving),
            "shows_absence": self.snapshot.shows_absence,
        }

    @staticmethod
    def from_wire(item: WireHostList) -> HostListSnapshot:
        """Return the snapshot that a JSON form describes."""
        return HostListSnapshot(
            number=int(item["number"]),
            names=frozenset(item["names"]),
            leaving=frozenset(item["leaving"]),
            shows_absence=bool(item["shows_absence"]),
        )
