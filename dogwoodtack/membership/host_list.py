"""The platform's lagging host list, read by a few nodes and known to all.

Readings are numbered: a reading's number is one above the highest its reader
knew when it began to read, so a higher number was read later and no clock is
compared.  Two readings of one number were made at about the same time, and a
host that either shows is taken as listed.
"""

from typing import NamedTuple, TypedDict

from ..clock import Clock, SystemClock

__all__ = ["HostReading", "HostView", "WireReading"]

UNLISTED_AFTER_S = 10.0
UNLISTED_AFTER_READINGS = 2


class HostReading(NamedTuple):
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


class WireReading(TypedDict):
    """A HostReading as it travels."""

    number: int
    names: list[str]
    leaving: list[str]
    shows_absence: bool


class _Absence(NamedTuple):
    """Since when, and for how many readings, a name has been missing."""

    since: float
    readings: int


class HostView:
    """What this node concludes from the readings it has seen.

    `is_listed` is True in doubt.  A host is taken off only if several readings
    in a row, over several seconds, lacked it.  A reading that lacks its own
    reader takes nobody off: a site whose platform lists no entry hosts at all
    therefore sees each of them as listed.  What it shows as leaving counts.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self.reading: HostReading | None = None
        self.read_at: float | None = None
        self._absences: dict[str, _Absence] = {}
        self._first_at = 0.0
        self._readings = 0

    @property
    def number(self) -> int:
        """Return the number of the latest reading, 0 where there is none."""
        return 0 if self.reading is None else self.reading.number

    def take(self, reading: HostReading) -> bool:
        """Take a reading if it says anything new; return whether."""
        known = self.reading
        if known is not None and reading.number < known.number:
            return False
        if known is not None and reading.number == known.number:
            return self._take_tie(known, reading)
        self.reading = reading
        self.read_at = self._clock.monotonic()
        if reading.shows_absence:
            self._note_absences(known)
        return True

    def _take_tie(self, known: HostReading, reading: HostReading) -> bool:
        names = known.names | reading.names
        leaving = known.leaving | reading.leaving
        shows_absence = known.shows_absence and reading.shows_absence
        joined = HostReading(known.number, names, leaving, shows_absence)
        if joined == known:
            return False
        self.reading = joined
        for name in names:
            self._absences.pop(name, None)
        return True

    def _note_absences(self, known: HostReading | None) -> None:
        now = self._clock.monotonic()
        if self._readings == 0:
            self._first_at = now
        self._readings += 1
        names = self.reading.names
        gone = known.names - names if known is not None else frozenset()
        for name, absence in list(self._absences.items()):
            if name in names:
                del self._absences[name]
            else:
                self._absences[name] = absence._replace(readings=absence.readings + 1)
        for name in gone:
            self._absences.setdefault(name, _Absence(now, 1))
        self._forget_settled(now)

    def _forget_settled(self, now: float) -> None:
        """Drop absences that the first reading's age settles just as well."""
        for name, absence in list(self._absences.items()):
            if self._is_gone(absence, now):
                del self._absences[name]

    def is_listed(self, name: str) -> bool:
        """Return whether a host is on the list, True in doubt."""
        reading = self.reading
        if reading is None or not reading.shows_absence or name in reading.names:
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
        return self.reading is not None and name in self.reading.leaving

    def to_wire(self) -> WireReading | None:
        """Return the latest reading in its JSON form, None where there is none."""
        if self.reading is None:
            return None
        return {
            "number": self.reading.number,
            "names": sorted(self.reading.names),
            "leaving": sorted(self.reading.leaving),
            "shows_absence": self.reading.shows_absence,
        }

    @staticmethod
    def from_wire(item: WireReading) -> HostReading:
        """Read a reading from its JSON form."""
        return HostReading(
            number=int(item["number"]),
            names=frozenset(item["names"]),
            leaving=frozenset(item["leaving"]),
            shows_absence=bool(item["shows_absence"]),
        )
