"""Which entry hosts probe which instances, and how often.

A probe only tells when a quiet or ejected instance may be tried again, so a few
probers an instance are enough, and their cost to the instance is bounded.
"""

import hashlib
from typing import NamedTuple

__all__ = ["ProbeAssignment", "probe_assignments"]

PROBERS_PER_INSTANCE = 3
PROBE_COST_S = 0.025
PLANNED_SHARE = 0.01
SHORTEST_INTERVAL_S = 1.0


class ProbeAssignment(NamedTuple):
    """One instance that this host probes.

    Attributes:
        instance: the instance's name.
        interval_s: seconds from one probe to the next.
        offset_s: when in the interval this host's turn is.
    """

    instance: str
    interval_s: float
    offset_s: float


def probe_assignments(
    me: str, hosts: list[str], service: str, slots: dict[str, int]
) -> list[ProbeAssignment]:
    """Return the probes that one of a service's home hosts has to make.

    The plan uses half of the 2% of slot time that probes may cost: while two
    views of the membership are in force, an instance has up to twice its
    probers.

    Args:
        me: this host's name.
        hosts: the names of the service's home hosts.
        service: the service's name.
        slots: each instance's slots by its name.
    """
    duties = []
    for instance, count in slots.items():
        chosen = _probers(hosts, service, instance)
        if me not in chosen:
            continue
        busy_s = PROBE_COST_S * len(chosen)
        interval_s = max(SHORTEST_INTERVAL_S, busy_s / (PLANNED_SHARE * count))
        offset_s = interval_s * chosen.index(me) / len(chosen)
        duties.append(ProbeAssignment(instance, interval_s, offset_s))
    return duties


def _probers(hosts: list[str], service: str, instance: str) -> list[str]:
    """Return an instance's probers by rendezvous hashing."""

    def rank(host: str) -> bytes:
        text = f"{service}\0{instance}\0{host}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(hosts, key=rank)[:PROBERS_PER_INSTANCE]
