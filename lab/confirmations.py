"""What confirmations of the configuration cost: calls to the store, and waits.

`python -m lab.confirmations` replays the confirmers of a fleet on virtual time while
all its hosts lose answers at the same rate, and prints a table.
"""

import functools
import random
import statistics
from typing import NamedTuple

from dogwoodtack.confirmation import ConfigurationConfirmer, OnConfirmed
from lab.virtual import VirtualLoop

__all__ = ["Fleet", "Result", "Way", "replay"]

SPAN_S = 5.0
STORE_S = 0.004
RELAY_S = 0.001


class Way(NamedTuple):
    """How hosts learn the newest configuration.

    Attributes:
        name: in the table.
        readers: hosts of a zone that read the store for the others; 0 if each host
            reads for itself.
    """

    name: str
    readers: int


class Fleet(NamedTuple):
    """A fleet and its load.

    Attributes:
        hosts: number of its hosts.
        zones: number of its zones.
        repeats_per_s: requests of one host that need a confirmation, per second.
    """

    hosts: int
    zones: int
    repeats_per_s: float


class Result(NamedTuple):
    """What a replay showed.

    Attributes:
        store_calls_per_s: of the whole fleet.
        relay_calls_per_s: received by the busiest host.
        mean_ms: mean wait of a request.
        worst_ms: longest wait of a request.
    """

    store_calls_per_s: float
    relay_calls_per_s: float
    mean_ms: float
    worst_ms: float


class _Reader:
    """A host that reads the store, for itself or for others."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self.store_calls = 0
        self.relay_calls = 0
        self._confirmer = ConfigurationConfirmer(loop, self._read)

    def _read(self, on_done: OnConfirmed) -> None:
        self.store_calls += 1
        self._loop.call_later(STORE_S, on_done, True)

    def confirm(self, on_done: OnConfirmed) -> None:
        self._confirmer.confirm(on_done)

    def confirm_for_peer(self, on_done: OnConfirmed) -> None:
        self.relay_calls += 1
        reply = functools.partial(self._loop.call_later, RELAY_S / 2, on_done)
        self._loop.call_later(RELAY_S / 2, self._confirmer.confirm, reply)


def replay(fleet: Fleet, way: Way, seed: int = 1) -> Result:
    """Replay one zone, as all zones are alike, and return figures of the fleet."""
    rng = random.Random(seed)
    loop = VirtualLoop()
    hosts = fleet.hosts // fleet.zones
    readers = [_Reader(loop) for _ in range(way.readers or hosts)]
    waits_s: list[float] = []

    def ask(confirmer: ConfigurationConfirmer | _Reader) -> None:
        asked_at = loop.clock.now
        confirmer.confirm(lambda _: waits_s.append(loop.clock.now - asked_at))

    for number in range(hosts):
        reader = readers[number % len(readers)]
        confirmer = reader
        if number >= len(readers):
            confirmer = ConfigurationConfirmer(loop, reader.confirm_for_peer)
        at_s = rng.expovariate(fleet.repeats_per_s)
        while at_s < SPAN_S:
            loop.call_later(at_s, ask, confirmer)
            at_s += rng.expovariate(fleet.repeats_per_s)
    loop.run_for(SPAN_S + 1.0)
    store_calls = sum(reader.store_calls for reader in readers)
    return Result(
        store_calls * fleet.zones / SPAN_S,
        max(reader.relay_calls for reader in readers) / SPAN_S,
        statistics.fmean(waits_s) * 1000,
        max(waits_s) * 1000,
    )


def main() -> None:
    """Print the table of docs/design/confirmations.md."""
    ways = (Way("each host", 0), Way("one reader a zone", 1), Way("nine a zone", 9))
    for fleet in (
        Fleet(32, 3, 0.1),
        Fleet(32, 3, 15.0),
        Fleet(292, 5, 0.1),
        Fleet(292, 5, 15.0),
        Fleet(6300, 5, 0.1),
        Fleet(6300, 5, 15.0),
    ):
        for way in ways if fleet.hosts > 1000 else ways[:2]:
            result = replay(fleet, way)
            row = [fleet.hosts, fleet.repeats_per_s, way.name, *map(round, result)]
            print("| " + " | ".join(str(one) for one in row) + " |")


if __name__ == "__main__":
    main()
