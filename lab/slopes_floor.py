"""Measure what the floor costs a node: processor time and bytes for each pull.

One process is both sides: the holder behind its control surface and the entry
host that pulls.  The time is that of both sides together, which is what a node
pays that makes and answers equally many pulls.

    python -m lab.slopes_floor
"""

import json
import random
import time
from typing import Any, NamedTuple

from absl import app, flags

from dogwoodtack.calls import Client, Reply
from dogwoodtack.catalog import Catalog
from dogwoodtack.clock import SystemClock
from dogwoodtack.draining import DrainingInstances
from dogwoodtack.floor import Floor, FloorControl, FloorDependencies
from dogwoodtack.floor.messages import HolderEntry, holder_value
from dogwoodtack.health import Health, Sample, SampleKind
from dogwoodtack.membership import Member, Membership
from dogwoodtack.misc import Address
from dogwoodtack.peers import Peers
from dogwoodtack.replication import ConfigState
from dogwoodtack.store import StoreObject
from dogwoodtack.surface import ACCESS_HEADER, Surface
from dogwoodtack_standins.process import Process

from .fleet import free_ports

__all__ = ["Bench", "Figures"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("pulls", 400, "Pulls measured for each size.")
flags.DEFINE_integer("served", 25, "Services a node serves, for the budget.")
flags.DEFINE_integer("homes", 36, "Entry hosts of a service, for the budget.")

HTTP_OK = 200
KEY = "loopback-only-key"
PULL_PATH = "/floor/pull"
SIZES = ((1, 4), (1, 16), (1, 64), (5, 16), (25, 16))
CORE_BUDGET = 0.024
BYTES_BUDGET = 23_000
CALM_PERIOD_S = 4.0
BUSY_PERIOD_S = 1.0
TICK_RATE = 2.0


class Figures(NamedTuple):
    """What one size came to.

    Attributes:
        pull_us: processor time of one pull, both sides, in microseconds.
        tick_us: processor time of one tick, in microseconds.
        sent: bytes of a pull and its head.
        received: bytes of the answer and its head.
    """

    pull_us: float
    tick_us: float
    sent: int
    received: int


class LocalStore:
    """Let every claim succeed at once, without a call, for this node or another."""

    def __init__(self, other: HolderEntry | None) -> None:
        self._other = other
        self.state = ConfigState()

    def put(
        self, kind: str, name: str, value: Any, if_version: int, on_done: Any
    ) -> None:
        """Answer that the write took effect, or that another was first."""
        if self._other is None:
            on_done(if_version + 1, None)
            return
        first = StoreObject(kind, name, if_version + 1, holder_value(self._other))
        self.state.apply(first)


class Bench(Process):
    """A holder and a puller of some services on one loop."""

    def __init__(self, services: int, instances: int, is_holder: bool = True) -> None:
        super().__init__()
        self.address = Address("127.0.0.1", free_ports(1)[0])
        self._instances = instances
        client = Client(self.reactor, 1.0)
        me = Member("bench", "bench", "zone-a", self.address, self.address)
        self._health = Health(self.clock, "bench")
        other = HolderEntry("other", "other", Address("127.0.0.1", free_ports(1)[0]))
        store = LocalStore(None if is_holder else other)
        catalog = Catalog()
        parts = FloorDependencies(
            reactor=self.reactor,
            store=store,
            state=store.state,
            catalog=catalog,
            membership=Membership(me),
            peers=Peers(client, KEY),
            health=self._health,
            draining=DrainingInstances(self.clock, lambda notice: None),
            rng=random.Random(1),
        )
        self._floor = Floor(self.clock)
        self._control = FloorControl(parts, self._floor)
        Surface("peer", self.address, KEY, self._control.routes()).register(self)
        self._peers = parts.peers
        self._names = [f"service-{number}" for number in range(services)]
        for name in self._names:
            catalog.put(name, 1, self._declared())
            self._floor.is_removed(name, "i-0")
        self._left = 0
        self._began = 0.0
        self._figures: Figures | None = None

    def _declared(self) -> dict[str, Any]:
        return {
            "floor": self._instances - 1,
            "instances": [
                {"name": f"i-{number}", "address": f"127.0.0.1:{number + 1}"}
                for number in range(self._instances)
            ],
        }

    def form(self) -> dict[str, Any]:
        """Return a pull with the evidence of some seconds."""
        return {"services": {name: self._item(name) for name in self._names}}

    def _item(self, name: str) -> dict[str, Any]:
        other = Health(SystemClock(), "other")
        for number in range(self._instances):
            for kind in (SampleKind.OK, SampleKind.OK, SampleKind.OK):
                at = self.clock.monotonic()
                latency_s = 0.02 + 0.001 * number
                other.record(Sample(name, f"i-{number}", True, kind, latency_s, at))
        evidence = other.take_evidence(name)
        return {"floor_version": 1, "service_version": 1, "evidence": evidence}

    def measure(self, pulls: int) -> Figures:
        """Make pulls one after another and return what they cost."""
        self._control.begin()
        self._left = pulls
        form = self.form()
        self.reactor.call_soon(self._begin, form, pulls)
        self.run()
        return self._figures

    def _begin(self, form: dict[str, Any], pulls: int) -> None:
        self._began = time.process_time()
        self._pull(form, pulls)

    def _pull(self, form: dict[str, Any], pulls: int) -> None:
        def on_reply(reply: Reply | None, exc: Exception | None) -> None:
            if exc is not None or reply.status != HTTP_OK:
                raise RuntimeError(f"{reply} {exc}")
            self._left -= 1
            if self._left:
                self._pull(form, pulls)
                return
            pull_us = (time.process_time() - self._began) / pulls * 1e6
            sent = self._request_bytes(form)
            received = _reply_bytes(reply)
            self._figures = Figures(pull_us, self.time_ticks(), sent, received)
            self.stop()

        self._peers.call(self.address, PULL_PATH, form, on_reply, 5.0)

    def time_ticks(self, ticks: int = 50) -> float:
        began = time.process_time()
        for _ in range(ticks):
            self._control.begin()
        return (time.process_time() - began) / ticks * 1e6

    def _request_bytes(self, form: dict[str, Any]) -> int:
        body = json.dumps(form)
        head = (
            f"POST {PULL_PATH} HTTP/1.1\r\nhost: {self.address}\r\n"
            f"content-length: {len(body)}\r\n{ACCESS_HEADER}: {KEY}\r\n"
            "content-type: application/json\r\n\r\n"
        )
        return len(head) + len(body)


def _reply_bytes(reply: Reply) -> int:
    head = len("HTTP/1.1 200 OK\r\n\r\n")
    head += sum(len(name) + len(value) + len(": \r\n") for name, value in reply.headers)
    return head + len(json.dumps(reply.body))


def main(argv: list[str]) -> int:
    """Measure every size and print the budget of one node."""
    found = {}
    for services, instances in SIZES:
        figures = Bench(services, instances).measure(FLAGS.pulls)
        found[services, instances] = figures
        print(
            f"held={services} instances={instances} "
            f"pull_us={figures.pull_us:.0f} tick_us={figures.tick_us:.0f} "
            f"sent={figures.sent} received={figures.received}"
        )
    served_us = Bench(FLAGS.served, 16, is_holder=False).time_ticks()
    print(f"served={FLAGS.served} instances=16 tick_us={served_us:.0f}")
    print_budget(found[1, 16], served_us)
    return 0


def print_budget(one: Figures, served_us: float) -> None:
    """Print a node's share where every service has a holder of its own.

    A node makes one pull a period for each service it serves.  It holds one title
    for every `homes` services it serves, and so answers as many pulls as it makes.
    """
    held = FLAGS.served / FLAGS.homes
    ticks = TICK_RATE * (served_us + held * one.tick_us)
    for name, period_s in (("calm", CALM_PERIOD_S), ("busy", BUSY_PERIOD_S)):
        rate = FLAGS.served / period_s
        core = (rate * one.pull_us + ticks) / 1e6
        wire = rate * (one.sent + one.received)
        print(
            f"{name}: pulls/s made={rate:.1f} answered={rate:.1f} titles={held:.1f} "
            f"core={core:.2%} of {CORE_BUDGET:.1%} for all control, "
            f"bytes/s each way={wire:.0f} of {BYTES_BUDGET} for all control"
        )


if __name__ == "__main__":
    app.run(main)
