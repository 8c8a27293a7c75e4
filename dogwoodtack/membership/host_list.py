"""The platform's lagging host list, read by a few nodes and known to all.

Readings are numbered: a reading's number is one above the highest its reader
knew when it began to read, so a higher number was read later and no clock is
compared.  Two readings of one number were made at about the same time, and a
host that either shows is taken as listed.
"""

from typing import NamedTuple, TypedDict

from ..clock import Clock, SystemClock

__all__ = ["HostListSnapshot", "HostListView", "WireHostList"]

UNLISTED_AFTER_S = 10.0
UNLISTED_AFTER_READINGS = 2


class HostListSnapshot(NamedTuple):
    """One reading of the list.

    Attributes:
        number: grows from reading to reading, across readers.
        names: the hosts that the list showed, live or leaving.
        leaving: those of them that it showed as leaving.
        shows_absence: whether a missing name means anything.  It does not where
            the list lacked its own reader: the list is then behind, or is one of
            back ends only.
    """

    number: int
    names: frozenset[str]
    leaving: frozenset[str]
    shows_absence: bool = True


class WireHostList(TypedDict):
    """A HostListSnapshot as it travels."""

    number: int
    names: list[str]
    leaving: list[str]
    shows_absence: bool


class _Absence(NamedTuple):
    """Since when, and for how many readings, a name has been missing."""

    since: float
    readings: int


class HostListView:
    """What this node concludes from the readings it has seen.

    `is_listed` is True in doubt.  A host is taken off only if several readings
    in a row, over several seconds, lacked it.  A reading that lacks its own
    reader takes nobody off: a site whose platform lists no entry hosts at all
    therefore sees each of them as listed.  What it shows as leaving counts.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self.snapshot: HostListSnapshot | None = None
        self.read_at: float | None = None
        self._absences: dict[str, _Absence] = {}
        self._first_at = 0.0
        self._readings = 0

    @property
    def number(self) -> int:
        """Return the number of the latest reading, 0 where there is none."""
        return 0 if self.snapshot is None else self.snapshot.number

    def apply(self, snapshot: HostListSnapshot) -> bool:
        """Apply a snapshot that is newer or adds to the known one.

        Returns:
            Whether it changed what is known.
        """
        known = self.snapshot
        if known is not None and snapshot.number < known.number:
            return False
        if known is not None and snapshot.number == known.number:
            return self._merge_same_number(known, snapshot)
        self.snapshot = snapshot
        self.read_at = self._clock.monotonic()
        if snapshot.shows_absence:
            self._record_absences(known)
        return True

    def _merge_same_number(
        self, known: HostListSnapshot, snapshot: HostListSnapshot
    ) -> bool:
        names = known.names | snapshot.names
        leaving = known.leaving | snapshot.leaving
        shows_absence = known.shows_absence and snapshot.shows_absence
        joined = HostListSnapshot(known.number, names, leaving, shows_absence)
        if joined == known:
            return False
        self.snapshot = joined
        for name in names:
            self._absences.pop(name, None)
        return True

    def _record_absences(self, known: HostListSnapshot | None) -> None:
        now = self._clock.monotonic()
        if self._readings == 0:
            self._first_at = now
        self._readings += 1
        names = self.snapshot.names
        gone = known.names - names if known is not None else frozenset()
        for name, absence in list(self._absences.items()):
            if name in names:
                del self._absences[name]
            else:
                self._absences[name] = absence._replace(readings=absence.readings + 1)
        for name in gone:
            self._absences.setdefault(name, _Absence(now, 1))
        self._drop_settled(now)

    def _drop_settled(self, now: float) -> None:
        """Drop absences that the first reading's age settles just as well."""
        for name, absence in list(self._absences.items()):
            if self._is_gone(absence, now):
                del self._absences[name]

    def is_listed(self, name: str) -> bool:
        """Return whether a host is on the list, True in doubt."""
        snapshot = self.snapshot
        if snapshot is None or not snapshot.shows_absence or name in snapshot.names:
            return True
        never_shown = _Absence(self._first_at, self._readings)
        absence = self._absences.get(name, never_shown)
        return not self._is_gone(absence, self._clock.monotonic())

    @staticmethod
    def _is_gone(absence: _Absence, now: float) -> bool:
        is_long = now - absence.since >= UNLISTED_AFTER_S
        return is_long and absence.readings >= UNLISTED_AFTER_READINGS

    def is_leaving(self, name: str) -> bool:
        """Return whether the list shows a host as leaving."""
        return self.snapshot is not None and name in self.snapshot.leaving

    def to_wire(self) -> WireHostList | None:
        """Return the latest reading in its JSON form, None where there is none."""
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
        """Read a reading from its JSON form."""
        return HostListSnapshot(
            number=int(item["number"]),
            names=frozenset(item["names"]),
            leaving=frozenset(item["leaving"]),
            shows_absence=bool(item["shows_absence"]),
        )
