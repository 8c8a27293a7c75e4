"""Heartbeats and reports between entry hosts, and the table of a zone's hosts."""

from .fleet import Fleet, GetSyncStatus
from .peers import Peer, PeerTable
from .records import (
    Heartbeat,
    HostRecord,
    InstanceReport,
    PeerReport,
    ServingHost,
    decode_host,
    encode_host,
)

__all__ = [
    "Fleet",
    "GetSyncStatus",
    "Heartbeat",
    "HostRecord",
    "InstanceReport",
    "Peer",
    "PeerReport",
    "PeerTable",
    "ServingHost",
    "decode_host",
    "encode_host",
]
