"""The fleet: which entry hosts of a zone serve, and what they tell each other."""

from .fleet import Fleet, GetSyncStatus
from .peers import Peer, PeerTable
from .records import (
    Heartbeat,
    HostRecord,
    InstanceReport,
    PeerReport,
    read_host,
    write_host,
)

__all__ = [
    "Heartbeat",
    "Fleet",
    "HostRecord",
    "GetSyncStatus",
    "PeerReport",
    "Peer",
    "PeerTable",
    "InstanceReport",
    "read_host",
    "write_host",
]
