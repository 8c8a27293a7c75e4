"""What a host is about to tell its peers of instances."""

from ..placement import Observation
from .records import InstanceReport

__all__ = ["ReportBatch"]

# Failures are told at once, so that peers do not run into the same instance.
URGENT = frozenset(
    {
        Observation.ERROR,
        Observation.BROKEN_RESPONSE,
        Observation.NO_RESPONSE,
        Observation.UNREACHABLE,
    }
)


class ReportBatch:
    """Gather sightings for one datagram.

    Load pattern: all slots are busy, and work waits at every host.  A slot that
    ends one request and begins the next must not look free to peers in between,
    or each of them sends work there, too.
    """

    def __init__(self) -> None:
        self._sightings: list[InstanceReport] = []
        self._latest: dict[str, int] = {}
        self.is_due = False

    def add(self, sighting: InstanceReport) -> bool:
        """Take a sighting in and return whether the batch has to go at once."""
        index = self._latest.get(sighting.instance_id)
        if index is not None and sighting.sign is None:
            known = self._sightings[index]
            self._sightings[index] = known._replace(in_flight=sighting.in_flight)
        elif index is not None and self._sightings[index].sign is None:
            self._sightings[index] = sighting
        else:
            self._latest[sighting.instance_id] = len(self._sightings)
            self._sightings.append(sighting)
        return sighting.sign in URGENT

    def take(self) -> list[InstanceReport]:
        """Return what was gathered, and begin anew."""
        taken, self._sightings = self._sightings, []
        self._latest = {}
        self.is_due = False
        return taken
