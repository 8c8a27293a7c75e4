"""Heartbeats and reports between entry hosts, and the table of a zone's hosts."""

from .fleet import Fleet, GetSyncStatus
from .peers import MAX_STORE_AGE_S, Peer, PeerTable
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
    "MAX_STORE_AGE_S",
    "Peer",
    "PeerReport",
    "PeerTable",
    "ServingHost",
    "decode_host",
    "encode_host",
]
