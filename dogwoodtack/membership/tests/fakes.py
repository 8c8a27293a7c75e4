"""A virtual loop, and peers that call each other's request handlers directly."""

import json
import random
from typing import Any

from dogwoodtack.calls import Reply
from dogwoodtack.control import ControlRequest, DeferredReply, Route
from dogwoodtack.errors import ErrorKind, WireError
from dogwoodtack.membership import Connectivity, Gossip, Member, Membership
from dogwoodtack.membership.host_list import HostListView
from dogwoodtack.misc import Address
from lab.virtual import VirtualLoop

__all__ = ["FakeNetwork", "FakeNode", "FakePeers"]

DELAY_S = 0.001


class FakeNetwork:
    """Carries calls between nodes, except in cut directions and for silent nodes."""

    def __init__(self) -> None:
        self.reactor = VirtualLoop()
        self.views: dict[Address, list[Route]] = {}
        self.cut: set[tuple[Address, Address]] = set()
        self.silent: set[Address] = set()
        self.bytes_sent = 0

    def deliver(
        self, source: Address, to: Address, target: str, body: Any, on_reply: Any
    ) -> bool:
        """Deliver a call; return False if it will get no reply."""
        is_lost = (source, to) in self.cut or {source, to} & self.silent
        if is_lost or to not in self.views:
            return False
        text = json.dumps(body)
        self.bytes_sent += len(text)
        route = next(one for one in self.views[to] if one.pattern == target)
        req = ControlRequest("POST", target, {}, {}, json.loads(text))
        result = route.view(req)
        responder = FakeResponder(self, on_reply)
        if isinstance(result, DeferredReply):
            result.start(responder)
        else:
            responder.send(result)
        return True


class FakeResponder:
    """Delivers a reply after DELAY_S."""

    def __init__(self, network: FakeNetwork, on_reply: Any) -> None:
        self._network = network
        self._on_reply = on_reply

    def send(self, body: Any) -> None:
        text = json.dumps(body)
        self._network.bytes_sent += len(text)
        reply = Reply(200, [], json.loads(text))
        self._network.reactor.call_later(DELAY_S, self._on_reply, reply, None)


class FakePeers:
    """The calls of one node; a call without a reply times out."""

    def __init__(self, network: FakeNetwork, address: Address) -> None:
        self._network = network
        self._address = address
        self.is_ended = False

    def call(self, address, target, body, on_reply, timeout_s=1.0) -> None:
        calls_ended = []

        def end(reply: Reply | None, exc: WireError | None) -> None:
            if not calls_ended:
                calls_ended.append(True)
                on_reply(reply, exc)

        def send() -> None:
            if self.is_ended:
                return
            self._network.deliver(self._address, address, target, body, end)

        timeout = WireError(ErrorKind.BACKEND_TIMEOUT, "no reply in time")
        self._network.reactor.call_later(DELAY_S, send)
        self._network.reactor.call_later(timeout_s, end, None, timeout)


class FakeNode:
    """The membership of one node on a fake network."""

    is_ready = True

    def __init__(
        self, network: FakeNetwork, number: int, seeds: list[int], restarts: int = 0
    ) -> None:
        self.address = address_of(number)
        incarnation = f"{number:04d}-{restarts}"
        zone = f"zone-{'abc'[number % 3]}"
        local_member = Member(
            f"e{number}",
            incarnation,
            zone,
            self.address,
            self.address,
            is_ready=self.is_ready,
        )
        clock = network.reactor.clock
        self.view = Membership(local_member, clock.wall(), HostListView(clock))
        self.connectivity = Connectivity(clock, bool(seeds))
        self.peers = FakePeers(network, self.address)
        self.gossip = Gossip(
            network.reactor,
            self.peers,
            self.view,
            self.connectivity,
            tuple(address_of(seed) for seed in seeds),
            random.Random(number * 1000 + restarts),
        )
        network.views[self.address] = self.gossip.routes()
        self.gossip.begin()


def address_of(number: int) -> Address:
    """Return a node's address."""
    return Address("10.0.0.1", 1000 + number)
