"""The settings that an entry host needs at its start."""

from typing import NamedTuple

from ..misc import Address
from ..placement import BalancingSetting, RetryRules
from ..quotas import QuotaBounds

__all__ = ["Bounds", "EntrySettings"]


class Bounds(NamedTuple):
    """Guaranteed bounds that determine an entry host's own timing.

    Attributes:
        grace_s: seconds from SIGTERM until the process has to have ended.
        max_answer_ttl_s: longest time in seconds that callers cache addresses.
        retries: the retry budget shared by all hosts.
        max_pause_s: longest time in seconds for which an instance that asks for a
            pause gets no request.
        strict_revocation: whether keys are valid only while the host hears from the
            store, or from a peer that does.
        revoke_s: for how many seconds they stay valid without.
        balancing: how requests are spread over the instances of a service.
        quotas: by how much all hosts together may exceed an organisation's limit.
    """

    grace_s: float = 6.0
    max_answer_ttl_s: float = 5.0
    retries: RetryRules = RetryRules()
    max_pause_s: float = 300.0
    strict_revocation: bool = False
    revoke_s: float = 5.0
    balancing: BalancingSetting = BalancingSetting.AUTO
    quotas: QuotaBounds = QuotaBounds()


class EntrySettings(NamedTuple):
    """The settings of one entry host.

    Attributes:
        name: the host's name.
        zone: its availability zone.
        callers: the address for callers' requests.
        readiness: the address for the platform's readiness checks.
        directory: the address for callers' discovery of entry hosts.
        peer_ports: first and last port for traffic between hosts.
        store: address of the platform's store.
        cores: processor cores for the process, a fraction or more than one.
        link_mbps: speed of the host's network link in Mbit/s.
        max_descriptors: how many descriptors the process may have.
        memory_mb: memory of the process in megabytes.
        bounds: guaranteed time bounds and the retry budget.
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
    max_descriptors: int
    memory_mb: float
    bounds: Bounds

    @property
    def ip(self) -> str:
        """Return the host's own IP address."""
        return self.callers.host
