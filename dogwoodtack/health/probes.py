"""Which entry hosts probe which instances, and how often.

A probe only shows when an idle or ejected instance may be tried again, so a few
probers per instance are enough, and their cost to the instance is bounded.
"""

import hashlib
from typing import NamedTuple

__all__ = ["ProbeAssignment", "probe_assignments"]

PROBERS_PER_INSTANCE = 3
PROBE_COST_S = 0.025
PLANNED_SLOT_SHARE = 0.01
MIN_INTERVAL_S = 1.0


class ProbeAssignment(NamedTuple):
    """One instance that this host probes.

    Attributes:
        instance: the instance's name.
        interval_s: seconds from one of this host's probes to the next.
        offset_s: seconds from the start of the interval to this host's probe.
    """

    instance: str
    interval_s: float
    offset_s: float


def probe_assignments(
    local_host: str, hosts: list[str], service: str, slots: dict[str, int]
) -> list[ProbeAssignment]:
    """Return the instances that one of a service's assigned hosts has to probe.

    The intervals use half of the 2% of slot time that probes may cost, because an
    instance has up to twice its probers while hosts hold two different views of
    the membership.

    Args:
        local_host: this host's name.
        hosts: the names of the service's assigned hosts.
        service: the service's name.
        slots: each instance's number of slots by its name.
    """
    assignments = []
    for instance, count in slots.items():
        probers = _choose_probers(hosts, service, instance)
        if local_host not in probers:
            continue
        busy_s = PROBE_COST_S * len(probers)
        interval_s = max(MIN_INTERVAL_S, busy_s / (PLANNED_SLOT_SHARE * count))
        offset_s = interval_s * probers.index(local_host) / len(probers)
        assignments.append(ProbeAssignment(instance, interval_s, offset_s))
    return assignments


def _choose_probers(hosts: list[str], service: str, instance: str) -> list[str]:
    """Return an instance's probers by rendezvous hashing."""

    def rank(host: str) -> bytes:
        text = f"{service}\0{instance}\0{host}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(hosts, key=rank)[:PROBERS_PER_INSTANCE]
