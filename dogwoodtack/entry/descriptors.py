"""How an entry host divides its descriptors among its ports.

Load pattern: the callers of many lost hosts come to the few that are left, with more
connections than these have descriptors.  Without a share of their own, connections to
instances could not be opened, and no request would be served.
"""

from typing import NamedTuple

from ..frontend import MAX_PENDING_REJECTIONS

__all__ = ["ConnectionLimits", "connection_limits"]

# The platform keeps so many descriptors of a process for files.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors. The rest is for connections to instances, to other
# hosts and to the store, and for the process itself.
CALLER_SHARE = 0.5
HANDOVER_SHARE = 0.08
DIRECTORY_SHARE = 0.15
# Probes of the platform, and reads by the zone's hosts.
SERVICE_SHARE = 0.02


class ConnectionLimits(NamedTuple):
    """The most connections that each port accepts.

    Attributes:
        callers: at the callers' port, without those that it rejects.
        handovers: at the port for requests of other entry hosts, in the same way.
        directory: at the port for callers' discovery.
        readiness: at the port for readiness checks.
        relay: at the port for other hosts' reads.
        rejections: connections that are being rejected, at each of the first two ports.
    """

    callers: int
    handovers: int
    directory: int
    readiness: int
    relay: int
    rejections: int


def connection_limits(max_descriptors: int) -> ConnectionLimits:
    """Return the limits for a process that may have so many descriptors."""
    available = max(0, max_descriptors - FILE_DESCRIPTORS)
    # Few descriptors leave few for rejections, too.
    rejections = min(MAX_PENDING_REJECTIONS, available // 20)
    return ConnectionLimits(
        callers=max(1, int(CALLER_SHARE * available) - rejections),
        handovers=max(1, int(HANDOVER_SHARE * available)),
        directory=max(1, int(DIRECTORY_SHARE * available)),
        readiness=max(1, int(SERVICE_SHARE * available)),
        relay=max(1, int(SERVICE_SHARE * available)),
        rejections=rejections,
    )
