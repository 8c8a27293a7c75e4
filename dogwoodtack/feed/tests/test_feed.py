"""Two hosts that follow one store through faults: nothing goes back or is lost."""

import json
import random
import unittest

from hypothesis import example, given, settings, strategies as st

from dogwoodtack.errors import HistoryGone, StoreError
from dogwoodtack.feed import ConfigurationUpdate, Feed, FeedCallbacks, InstanceUpdates
from dogwoodtack.feed.relay import answer_relay, decode_state
from dogwoodtack.fleet import Heartbeat, PeerTable
from dogwoodtack.fleet.tests.test_peers import make_host
from dogwoodtack.misc import Address
from dogwoodtack.placement import Instance, InstanceChange, InstanceRegistry
from dogwoodtack.routing import CallerLimits, Configuration
from lab.virtual import VirtualLoop

BEAT_S = 0.4
# Some instances that each write about every second and a half.
INSTANCE_BEAT_S = 0.3
TROUBLED_S = 10.0
# A missing entry is taken as gone 2.2 s after the store is back; then a few rounds.
SETTLE_S = 8.0
CALL_TIMEOUT_S = 1.0


class Store:
    """The truth: every change of instances and configuration, by revision."""

    def __init__(self):
        self.revision = 1
        self.forgotten = 0
        self.changes = []
        self.instances = {}
        self.version = 0
        self.version_revision = 0

    def put(self, name, is_draining=False):
        self.revision += 1
        address = Address("10.0.0.1", 1)
        one = Instance(name, "s", address, "a", 2, is_draining, 0.0, 1)
        self.instances[name] = one
        self.changes.append(InstanceChange(name, self.revision, one))

    def remove(self, name):
        self.revision += 1
        self.instances.pop(name, None)
        self.changes.append(InstanceChange(name, self.revision, None))

    def configure(self):
        self.revision += 1
        self.version += 3
        self.version_revision = self.revision

    def beat(self, rng):
        """Let an instance write its sign of life, which is an event like others."""
        if self.instances:
            self.revision += 1
            one = self.instances[rng.choice(sorted(self.instances))]
            self.changes.append(InstanceChange(one.id, self.revision, one))

    def forget(self):
        self.forgotten = self.revision


class ShakySource:
    """Calls to the store of one host; some fail, are slow, or get no answer."""

    def __init__(self, reactor, store, rng):
        self.trouble = 0.0
        self._reactor = reactor
        self._store = store
        self._rng = rng

    def _call(self, wait_s, answer, on_done):
        """Make a call whose answer is taken at some moment and comes later."""
        rng = self._rng
        chance = rng.random()
        if chance < self.trouble / 2:
            error = StoreError("no answer")
            self._reactor.call_later(CALL_TIMEOUT_S, on_done, None, error)
        elif chance < self.trouble:
            self._reactor.call_later(0.01, on_done, None, StoreError("status 503"))
        else:
            slow_s = rng.random() * self.trouble
            self._reactor.call_later(wait_s + slow_s, self._take, answer, on_done)

    def _take(self, answer, on_done):
        word, exc = answer()
        way_s = 0.004 + self._rng.random() * self.trouble / 2
        self._reactor.call_later(way_s, on_done, word, exc)

    def read_instances(self, on_done):
        def answer():
            store = self._store
            changes = [
                InstanceChange(name, store.revision, one)
                for name, one in store.instances.items()
            ]
            return InstanceUpdates(changes, store.revision, True), None

        self._call(0.0, answer, on_done)

    def watch_instances(self, after, wait_s, on_done):
        def answer():
            store = self._store
            if after < store.forgotten:
                return None, HistoryGone("gone")
            latest = {one.id: one for one in store.changes if one.revision > after}
            changes = [one._replace(revision=store.revision) for one in latest.values()]
            return InstanceUpdates(changes, store.revision, False), None

        self._call(self._rng.random() * wait_s, answer, on_done)

    def _configuration(self, after):
        store = self._store
        if not store.version or store.version_revision <= after:
            return ConfigurationUpdate(None, store.revision), None
        found = Configuration(store.version, (), (), CallerLimits())
        return ConfigurationUpdate(found, store.revision), None

    def read_configuration(self, on_done):
        self._call(0.0, lambda: self._configuration(0), on_done)

    def watch_configuration(self, after, wait_s, on_done):
        def answer():
            if after < self._store.forgotten:
                return None, HistoryGone("gone")
            return self._configuration(after)

        self._call(self._rng.random() * wait_s, answer, on_done)


class FollowingHost:
    """A feed with its peer_table, and checks of what it believes."""

    def __init__(self, world, name):
        self.world = world
        self.record = make_host(name)
        self.peer_table = PeerTable(self.record)
        self.book = InstanceRegistry()
        self.source = ShakySource(world.reactor, world.store, world.rng)
        self.versions = []
        self.has_left = set()
        self.went_back = []
        self.feed = Feed(
            world.reactor,
            self.source,
            self,
            self.peer_table,
            self.book,
            world.rng,
            FeedCallbacks(self.on_configuration, self.on_instances),
        )

    def on_configuration(self, configuration):
        if self.versions and configuration.version <= self.versions[-1]:
            self.went_back.append(("version", configuration.version))
        self.versions.append(configuration.version)

    def on_instances(self, news):
        for change in news:
            if change.instance is None or change.instance.is_draining:
                self.has_left.add(change.id)
            elif change.id in self.has_left:
                self.went_back.append(("ready again", change.id))

    def beat(self):
        if self not in self.world.hosts:
            return
        self.world.reactor.call_later(BEAT_S, self.beat)
        version, revision, age_s = self.feed.sync_status()
        beat = Heartbeat(self.record, True, version, revision, age_s, BEAT_S, {})
        for host in self.world.hosts:
            if host is None or host is self:
                continue
            if self.world.rng.random() >= host.source.trouble / 2:
                self.world.reactor.call_later(0.001, host.hear, beat)

    def hear(self, beat):
        self.peer_table.on_heartbeat(beat, self.world.reactor.clock.now)
        self.feed.on_heartbeat(beat)

    def read(self, address, revision, version, on_done):
        """Stand for the relay client: ask the host that listens at an address."""
        peer = next(
            one for one in self.world.hosts if one.record.relay_address == address
        )
        if self.world.rng.random() < self.source.trouble / 2:
            self.world.reactor.call_later(0.5, on_done, None)
            return
        target = f"/state?revision={revision}&version={version}"
        feed = peer.feed
        body = answer_relay(target, peer.book, feed.configuration, feed.is_synced)
        way_s = 0.001 + self.world.rng.random() * self.source.trouble
        state = decode_state(json.loads(body))
        self.world.reactor.call_later(way_s, on_done, state)


class World:
    """A store, two hosts, and operators and instances that go on meanwhile."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.reactor = VirtualLoop(100.0)
        self.store = Store()
        self.store.configure()
        for name in ("i-0", "i-1", "i-2"):
            self.store.put(name)
        self.hosts = [None, None]
        for number in range(2):
            self.start(number)
        self.beat_instances()

    def start(self, number):
        """Start a host, in place of the one that had its name."""
        host = FollowingHost(self, f"h-{number}")
        self.hosts[number] = host
        host.feed.begin()
        host.beat()

    def beat_instances(self):
        self.store.beat(self.rng)
        self.reactor.call_later(INSTANCE_BEAT_S, self.beat_instances)

    def apply(self, step):
        kind, number = step
        name = f"i-{number}"
        is_new = all(change.id != name for change in self.store.changes)
        if kind == "put" and is_new:
            self.store.put(name)
        elif kind == "drain" and name in self.store.instances:
            self.store.put(name, is_draining=True)
        elif kind == "remove" and name in self.store.instances:
            self.store.remove(name)
        elif kind == "configure":
            self.store.configure()
        elif kind == "forget":
            self.store.forget()
        elif kind == "restart":
            self.start(number % 2)
        elif kind == "trouble":
            self.hosts[number % 2].source.trouble = 0.15 * (number % 6)

    def run(self, seconds):
        self.reactor.run_for(seconds)

    def play(self, steps):
        pause_s = TROUBLED_S / (len(steps) + 1)
        for step in steps:
            self.run(pause_s)
            self.apply(step)
        for host in self.hosts:
            host.source.trouble = 0.0
        self.run(SETTLE_S)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("put", "drain", "remove", "configure", "forget", "trouble", "restart")
        ),
        st.integers(0, 11),
    ),
    max_size=30,
)


class FeedTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 10_000), steps=STEPS)
    # The reader restarts after an instance ended, and never knew it.
    @example(0, [("trouble", 9), ("remove", 0), ("restart", 1)])
    def test_nothing_goes_back_and_all_is_known_in_the_end(self, seed, steps):
        world = World(seed)
        world.play(steps)
        for host in world.hosts:
            self.assertEqual(host.went_back, [])
            self.assertEqual(host.feed.version, world.store.version)
            known = {one.id: one.is_draining for one in host.book.all()}
            truth = {one.id: one.is_draining for one in world.store.instances.values()}
            self.assertEqual(known, truth)

    def test_lapsed_entries_are_kept_though_the_reader_restarts(self):
        """The store is away for long, and its entries lapse, but are back soon."""
        world = World(7)
        world.run(2.0)
        reader = (
            0
            if world.hosts[0].peer_table.store_reader(world.reactor.clock.now) is None
            else 1
        )
        follower = world.hosts[1 - reader]
        self.assertEqual(len(follower.book.all()), 3)
        follower.source.trouble = 1.0
        world.hosts[reader].source.trouble = 1.0
        world.run(2.0)
        lapsed = sorted(world.store.instances)
        for name in lapsed:
            world.store.remove(name)
        world.start(reader)
        world.hosts[reader].source.trouble = 1.0
        world.run(3.0)
        for host in world.hosts:
            host.source.trouble = 0.0
        for tenth in range(80):
            if tenth == 15:
                for name in lapsed:
                    world.store.put(name)
            world.run(0.1)
            self.assertEqual(len(follower.book.all()), 3, f"after {tenth / 10} s")
        self.assertEqual(len(world.hosts[reader].book.all()), 3)


if __name__ == "__main__":
    unittest.main()
