"""A store on a virtual clock, and nodes that replicate its objects."""

import random
from typing import Any

from dogwoodtack.errors import StoreError
from dogwoodtack.membership.tests.fakes import FakeNetwork, FakeNode
from dogwoodtack.misc import Address
from dogwoodtack.replication import ConfigState, Replicator
from dogwoodtack.store import Snapshot, StoreObject

__all__ = ["FakeStore", "FakeStoreClient", "ReplicationNode"]

DELAY_S = 0.002
TIMEOUT_S = 5.0


class FakeStore:
    """A store with watches, and the addresses that cannot reach it."""

    def __init__(self, network: FakeNetwork) -> None:
        self.reactor = network.reactor
        self.objects: dict[str, StoreObject] = {}
        self.previous: list[StoreObject] = []
        self.revision = 0
        self.is_down = False
        self.is_stale = False
        self.is_hanging = False
        self.cut: set[Address] = set()
        self.calls = 0
        self._watches: list[Any] = []

    def write(self, name: str, value: Any) -> int:
        """Store a new version and wake the watches."""
        self.previous = list(self.objects.values())
        self.revision += 1
        self.objects[name] = StoreObject("service", name, self.revision, value)
        watches, self._watches = self._watches, []
        for respond in watches:
            respond()
        return self.revision

    def snapshot(self, after: int = 0, is_full_list: bool = False) -> Snapshot:
        """Return the objects changed after a revision; a full list may be stale."""
        if is_full_list and self.is_stale:
            revision = max((one.version for one in self.previous), default=0)
            return Snapshot(revision, list(self.previous))
        objects = [one for one in self.objects.values() if one.version > after]
        return Snapshot(self.revision, objects)

    def wait(self, respond: Any) -> None:
        """Call a function at the next write."""
        self._watches.append(respond)


class FakeStoreClient:
    """The store client of one node."""

    def __init__(self, store: FakeStore, node: FakeNode) -> None:
        self._store = store
        self._node = node

    def list(self, on_done: Any) -> None:
        self._call(on_done, lambda: self._store.snapshot(is_full_list=True), None)

    def watch(self, after: int, wait_s: float, on_done: Any) -> None:
        delay_s = wait_s if after >= self._store.revision else None
        self._call(on_done, lambda: self._store.snapshot(after), delay_s)

    def _call(self, on_done: Any, read: Any, wait_s: float | None) -> None:
        store = self._store
        store.calls += 1
        # A call from a cut host never arrives, also if the cut ends meanwhile.
        is_swallowed = store.is_hanging or self._node.address in store.cut
        calls_ended: list[bool] = []

        def end(snapshot: Snapshot | None, exc: StoreError | None) -> None:
            if calls_ended or self._node.peers.is_ended:
                return
            calls_ended.append(True)
            if snapshot is not None:
                self._node.connectivity.record_store_contact()
            on_done(snapshot, exc)

        def respond() -> None:
            if is_swallowed or self._node.address in store.cut:
                return
            if store.is_down:
                end(None, StoreError("down"))
                return
            end(read(), None)

        store.reactor.call_later(TIMEOUT_S, end, None, StoreError("no response"))
        if wait_s is None:
            store.reactor.call_later(DELAY_S, respond)
            return
        store.reactor.call_later(wait_s, respond)
        store.wait(lambda: store.reactor.call_later(DELAY_S, respond))


class ReplicationNode(FakeNode):
    """Membership and configuration replication of one node."""

    is_ready = False

    def __init__(
        self,
        network: FakeNetwork,
        store: FakeStore,
        number: int,
        seeds: list[int],
        restarts: int = 0,
    ) -> None:
        super().__init__(network, number, seeds, restarts)
        self.state = ConfigState()
        self.replicator = Replicator(
            network.reactor,
            self.peers,
            FakeStoreClient(store, self),
            self.view,
            self.connectivity,
            self.state,
            random.Random(number * 77 + restarts),
            bool(seeds),
            self.gossip.mark_ready,
            self.gossip.check_member,
        )
        network.views[self.address] = [*self.gossip.routes(), *self.replicator.routes()]
        self.replicator.begin()

    def version(self, name: str) -> int:
        """Return the version of a service that this node holds."""
        return self.state.version("service", name)
