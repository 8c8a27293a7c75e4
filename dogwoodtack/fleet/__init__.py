"""The fleet: which entry hosts of a zone serve, and what they tell each other."""

from .fleet import Fleet, Knowledge
from .records import Beat, HostRecord, News, Sighting, read_host, write_host
from .roster import Peer, Roster

__all__ = [
    "Beat",
    "Fleet",
    "HostRecord",
    "Knowledge",
    "News",
    "Peer",
    "Roster",
    "Sighting",
    "read_host",
    "write_host",
]
