"""What an entry host has to know before it starts."""

from typing import NamedTuple

from ..misc import Address
from ..placement import RetryRules

__all__ = ["Bounds", "EntrySettings"]


class Bounds(NamedTuple):
    """Promised bounds that shape an entry host's own timing.

    Attributes:
        grace_s: from SIGTERM to the end of the process.
        max_answer_ttl_s: how long callers keep an address answer at most.
        retries: the retry budget that all hosts share.
    """

    grace_s: float = 6.0
    max_answer_ttl_s: float = 5.0
    retries: RetryRules = RetryRules()


class EntrySettings(NamedTuple):
    """The settings of one entry host.

    Attributes:
        name: the host's name.
        zone: its availability zone.
        callers: where callers' requests arrive.
        readiness: where the platform asks whether the host is ready.
        directory: where callers ask for addresses.
        peer_ports: first and last port that hosts may use among themselves.
        store: the platform's store.
        cores: processor cores that the process gets, a fraction or more than one.
        link_mbps: the host's own link.
        bounds: what was promised.
    """

    name: str
    zone: str
    callers: Address
    readiness: Address
    directory: Address
    peer_ports: tuple[int, int]
    store: Address
    cores: float
    link_mbps: float
    bounds: Bounds

    @property
    def ip(self) -> str:
        """Return the host's own IP number."""
        return self.callers.host
