"""Measure the floor's cost for a node: processor time and bytes per pull.

One process runs both sides: the holder behind its control server and the entry host
that pulls.  The measured time is that of both sides together, which is the cost of a
node that sends and answers equally many pulls.

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
from dogwoodtack.control import ACCESS_HEADER, ControlServer
from dogwoodtack.draining import DrainingInstances
from dogwoodtack.floor import Floor, FloorControl, FloorDependencies
from dogwoodtack.floor.messages import HolderEntry, holder_value
from dogwoodtack.health import Health, Sample, SampleKind
from dogwoodtack.membership import Member, Membership
from dogwoodtack.misc import Address
from dogwoodtack.peers import PeerClient
from dogwoodtack.replication import ConfigState
from dogwoodtack.store import StoreObject
from dogwoodtack_standins.process import Process

from .fleet import free_ports

__all__ = ["Bench", "PullCosts"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("pulls", 400, "Number of pulls to measure per size.")
flags.DEFINE_integer("served", 25, "Services per node, for the budget.")
flags.DEFINE_integer("homes", 36, "Entry hosts per service, for the budget.")

HTTP_OK = 200
KEY = "loopback-only-key"
PULL_PATH = "/floor/pull"
SIZES = ((1, 4), (1, 16), (1, 64), (5, 16), (25, 16))
CORE_BUDGET = 0.024
BYTES_BUDGET = 23_000
STABLE_PERIOD_S = 4.0
BUSY_PERIOD_S = 1.0
TICKS_PER_S = 2.0


class PullCosts(NamedTuple):
    """Costs measured for one size.

    Attributes:
        pull_us: processor time of one pull, both sides, in microseconds.
        tick_us: processor time of one tick, in microseconds.
        sent: bytes of a pull request, with its head.
        received: bytes of the reply, with its head.
    """

    pull_us: float
    tick_us: float
    sent: int
    received: int


class LocalStore:
    """A store in which every claim succeeds at once, for this node or another one."""

    def __init__(self, other_holder: HolderEntry | None) -> None:
        self._other_holder = other_holder
        self.state = ConfigState()

    def put(
        self, kind: str, name: str, value: Any, if_version: int, on_done: Any
    ) -> None:
        """Report success, or apply the claim of the other holder instead."""
        if self._other_holder is None:
            on_done(if_version + 1, None)
            return
        written = StoreObject(
            kind, name, if_version + 1, holder_value(self._other_holder)
        )
        self.state.apply(written)


class Bench(Process):
    """A holder and a puller of several services on one event loop."""

    def __init__(self, services: int, instances: int, is_holder: bool = True) -> None:
        super().__init__()
        self.address = Address("127.0.0.1", free_ports(1)[0])
        self._instances = instances
        client = Client(self.reactor, 1.0)
        local_member = Member("bench", "bench", "zone-a", self.address, self.address)
        self._health = Health(self.clock, "bench")
        other_holder = HolderEntry(
            "other", "other", Address("127.0.0.1", free_ports(1)[0])
        )
        store = LocalStore(None if is_holder else other_holder)
        catalog = Catalog()
        deps = FloorDependencies(
            reactor=self.reactor,
            store=store,
            state=store.state,
            catalog=catalog,
            membership=Membership(local_member),
            peers=PeerClient(client, KEY),
            health=self._health,
            draining=DrainingInstances(self.clock, lambda notice: None),
            rng=random.Random(1),
        )
        self._floor = Floor(self.clock)
        self._control = FloorControl(deps, self._floor)
        ControlServer("peer", self.address, KEY, self._control.routes()).register(self)
        self._peers = deps.peers
        self._names = [f"service-{number}" for number in range(services)]
        for name in self._names:
            catalog.put(name, 1, self._service_value())
            self._floor.is_removed(name, "i-0")
        self._remaining = 0
        self._started_at = 0.0
        self._costs: PullCosts | None = None

    def _service_value(self) -> dict[str, Any]:
        return {
            "floor": self._instances - 1,
            "instances": [
                {"name": f"i-{number}", "address": f"127.0.0.1:{number + 1}"}
                for number in range(self._instances)
            ],
        }

    def pull_request(self) -> dict[str, Any]:
        """Return a pull request with evidence on every instance."""
        return {"services": {name: self._item(name) for name in self._names}}

    def _item(self, name: str) -> dict[str, Any]:
        other_health = Health(SystemClock(), "other")
        for number in range(self._instances):
            for kind in (SampleKind.OK, SampleKind.OK, SampleKind.OK):
                at = self.clock.monotonic()
                latency_s = 0.02 + 0.001 * number
                other_health.record(
                    Sample(name, f"i-{number}", True, kind, latency_s, at)
                )
        evidence = other_health.take_evidence(name)
        return {"floor_version": 1, "service_version": 1, "evidence": evidence}

    def measure(self, pulls: int) -> PullCosts:
        """Send pulls one after another and return their costs."""
        self._control.begin()
        self._remaining = pulls
        pull_request = self.pull_request()
        self.reactor.call_soon(self._start_pulls, pull_request, pulls)
        self.run()
        return self._costs

    def _start_pulls(self, pull_request: dict[str, Any], pulls: int) -> None:
        self._started_at = time.process_time()
        self._pull(pull_request, pulls)

    def _pull(self, pull_request: dict[str, Any], pulls: int) -> None:
        def on_reply(reply: Reply | None, exc: Exception | None) -> None:
            if exc is not None or reply.status != HTTP_OK:
                raise RuntimeError(f"{reply} {exc}")
            self._remaining -= 1
            if self._remaining:
                self._pull(pull_request, pulls)
                return
            pull_us = (time.process_time() - self._started_at) / pulls * 1e6
            sent = self._request_bytes(pull_request)
            received = _reply_bytes(reply)
            self._costs = PullCosts(pull_us, self.time_ticks(), sent, received)
            self.stop()

        self._peers.call(self.address, PULL_PATH, pull_request, on_reply, 5.0)

    def time_ticks(self, ticks: int = 50) -> float:
        started_at = time.process_time()
        for _ in range(ticks):
            self._control.begin()
        return (time.process_time() - started_at) / ticks * 1e6

    def _request_bytes(self, pull_request: dict[str, Any]) -> int:
        body = json.dumps(pull_request)
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
    costs_by_size = {}
    for services, instances in SIZES:
        costs = Bench(services, instances).measure(FLAGS.pulls)
        costs_by_size[services, instances] = costs
        print(
            f"held={services} instances={instances} "
            f"pull_us={costs.pull_us:.0f} tick_us={costs.tick_us:.0f} "
            f"sent={costs.sent} received={costs.received}"
        )
    served_tick_us = Bench(FLAGS.served, 16, is_holder=False).time_ticks()
    print(f"served={FLAGS.served} instances=16 tick_us={served_tick_us:.0f}")
    print_budget(costs_by_size[1, 16], served_tick_us)
    return 0


def print_budget(costs: PullCosts, served_tick_us: float) -> None:
    """Print a node's costs if leases are spread evenly over the nodes.

    A node sends one pull per period for each service it serves.  It holds one lease for
    every `homes` services it serves, and so answers as many pulls as it sends.
    """
    leases = FLAGS.served / FLAGS.homes
    ticks = TICKS_PER_S * (served_tick_us + leases * costs.tick_us)
    for name, period_s in (("calm", STABLE_PERIOD_S), ("busy", BUSY_PERIOD_S)):
        rate = FLAGS.served / period_s
        cpu_share = (rate * costs.pull_us + ticks) / 1e6
        bytes_per_s = rate * (costs.sent + costs.received)
        print(
            f"{name}: pulls/s sent={rate:.1f} answered={rate:.1f} leases={leases:.1f} "
            f"core={cpu_share:.2%} of {CORE_BUDGET:.1%} for all control calls, "
            f"bytes/s each way={bytes_per_s:.0f} of {BYTES_BUDGET} for all of them"
        )


if __name__ == "__main__":
    app.run(main)
