"""When a host last heard, from the store or peers, what the newest configuration is."""

import math
from typing import NamedTuple

__all__ = ["StoreContacts"]

# Versions that were heard of and not read yet; there is hardly ever more than one.
MAX_CONTACTS = 8


class _Contact(NamedTuple):
    """At a monotonic time the store's newest version was this one, or an older one."""

    version: int
    at: float


class StoreContacts:
    """Remember what peers that are in touch with the store say of its newest version.

    Load pattern: a host is cut off from the store and from its peers, or hears of a
    newer version that it cannot read, which may lack a key that the host knows.  A
    host that has just read a version knows that this is as recent as the heartbeat that
    named it.
    """

    def __init__(self) -> None:
        self._contacts: list[_Contact] = []

    def on_heartbeat(self, version: int, store_age_s: float, now: float) -> None:
        """Record a peer's heartbeat.

        Args:
            version: version of the configuration in force there.
            store_age_s: seconds since the store last responded to the peer.
            now: seconds on the monotonic clock.
        """
        new = _Contact(version, now - max(0.0, store_age_s))
        if any(_covers(known, new) for known in self._contacts):
            return
        kept = [known for known in self._contacts if not _covers(new, known)]
        self._contacts = sorted([*kept, new])[-MAX_CONTACTS:]

    def age_s(self, version: int, now: float) -> float:
        """Return the seconds since a version was known to be the newest.

        Args:
            version: the version in force at this host.
            now: seconds on the monotonic clock.
        """
        times = [known.at for known in self._contacts if known.version <= version]
        return now - max(times, default=-math.inf)


def _covers(one: _Contact, other: _Contact) -> bool:
    """Return whether one contact says all that the other one does."""
    return one.version <= other.version and one.at >= other.at
