"""Tests of two hosts that follow a store through faults without regressing."""

import json
import random
import unittest

from hypothesis import example, given, settings, strategies as st

from dogwoodtack.errors import HistoryGone, StoreError
from dogwoodtack.feed import ConfigurationUpdate, Feed, FeedCallbacks, InstanceUpdates
from dogwoodtack.feed.relay import decode_state, handle_relay_request
from dogwoodtack.fleet import Heartbeat, PeerTable
from dogwoodtack.fleet.tests.test_peers import make_host
from dogwoodtack.misc import Address
from dogwoodtack.placement import Instance, InstanceChange, InstanceRegistry
from dogwoodtack.routing import CallerLimits, Configuration
from lab.virtual import VirtualLoop

HEARTBEAT_INTERVAL_S = 0.4
# A few instances that each write a heartbeat about every 1.5 s.
INSTANCE_HEARTBEAT_S = 0.3
FAULTY_SPAN_S = 10.0
# A missing entry counts as gone 2.2 s after the store is back; the rest is for syncing.
RECOVERY_S = 8.0
CALL_TIMEOUT_S = 1.0


class Store:
    """Authoritative state: all changes of instances and configuration by revision."""

    def __init__(self):
        self.revision = 1
        self.compacted_revision = 0
        self.changes = []
        self.instances = {}
        self.version = 0
        self.version_revision = 0

    def put(self, name, is_draining=False):
        self.revision += 1
        address = Address("10.0.0.1", 1)
        instance = Instance(name, "s", address, "a", 2, is_draining, 0.0, 1)
        self.instances[name] = instance
        self.changes.append(InstanceChange(name, self.revision, instance))

    def remove(self, name):
        self.revision += 1
        self.instances.pop(name, None)
        self.changes.append(InstanceChange(name, self.revision, None))

    def configure(self):
        self.revision += 1
        self.version += 3
        self.version_revision = self.revision

    def write_heartbeat(self, rng):
        """Write an instance's heartbeat, which is an event like any other change."""
        if self.instances:
            self.revision += 1
            instance = self.instances[rng.choice(sorted(self.instances))]
            self.changes.append(InstanceChange(instance.id, self.revision, instance))

    def compact(self):
        self.compacted_revision = self.revision


class UnreliableSource:
    """A host's calls to the store; some fail, are slow, or time out."""

    def __init__(self, reactor, store, rng):
        self.fault_level = 0.0
        self._reactor = reactor
        self._store = store
        self._rng = rng

    def _call(self, wait_s, respond, on_done):
        """Make a call whose response reads the state now or later and is delayed."""
        rng = self._rng
        draw = rng.random()
        if draw < self.fault_level / 2:
            error = StoreError("no answer")
            self._reactor.call_later(CALL_TIMEOUT_S, on_done, None, error)
        elif draw < self.fault_level:
            self._reactor.call_later(0.01, on_done, None, StoreError("status 503"))
        else:
            extra_s = rng.random() * self.fault_level
            self._reactor.call_later(wait_s + extra_s, self._respond, respond, on_done)

    def _respond(self, respond, on_done):
        result, exc = respond()
        delay_s = 0.004 + self._rng.random() * self.fault_level / 2
        self._reactor.call_later(delay_s, on_done, result, exc)

    def read_instances(self, on_done):
        def respond():
            store = self._store
            changes = [
                InstanceChange(name, store.revision, instance)
                for name, instance in store.instances.items()
            ]
            return InstanceUpdates(changes, store.revision, True), None

        self._call(0.0, respond, on_done)

    def watch_instances(self, after, wait_s, on_done):
        def respond():
            store = self._store
            if after < store.compacted_revision:
                return None, HistoryGone("gone")
            latest = {
                change.id: change for change in store.changes if change.revision > after
            }
            changes = [
                change._replace(revision=store.revision) for change in latest.values()
            ]
            return InstanceUpdates(changes, store.revision, False), None

        self._call(self._rng.random() * wait_s, respond, on_done)

    def _configuration(self, after):
        store = self._store
        if not store.version or store.version_revision <= after:
            return ConfigurationUpdate(None, store.revision), None
        found = Configuration(store.version, (), (), CallerLimits())
        return ConfigurationUpdate(found, store.revision), None

    def read_configuration(self, on_done):
        self._call(0.0, lambda: self._configuration(0), on_done)

    def watch_configuration(self, after, wait_s, on_done):
        def respond():
            if after < self._store.compacted_revision:
                return None, HistoryGone("gone")
            return self._configuration(after)

        self._call(self._rng.random() * wait_s, respond, on_done)


class FollowingHost:
    """A feed with its peer table, and a record of its regressions."""

    def __init__(self, world, name):
        self.world = world
        self.record = make_host(name)
        self.peer_table = PeerTable(self.record)
        self.registry = InstanceRegistry()
        self.source = UnreliableSource(world.reactor, world.store, world.rng)
        self.versions = []
        self.left_ids = set()
        self.regressions = []
        self.feed = Feed(
            world.reactor,
            self.source,
            self,
            self.peer_table,
            self.registry,
            world.rng,
            FeedCallbacks(self.on_configuration, self.on_instances),
        )

    def on_configuration(self, configuration):
        if self.versions and configuration.version <= self.versions[-1]:
            self.regressions.append(("version", configuration.version))
        self.versions.append(configuration.version)

    def on_instances(self, changes):
        for change in changes:
            if change.instance is None or change.instance.is_draining:
                self.left_ids.add(change.id)
            elif change.id in self.left_ids:
                self.regressions.append(("ready again", change.id))

    def send_heartbeat(self):
        if self not in self.world.hosts:
            return
        self.world.reactor.call_later(HEARTBEAT_INTERVAL_S, self.send_heartbeat)
        version, revision, age_s = self.feed.sync_status()
        heartbeat = Heartbeat(
            self.record, True, version, revision, age_s, HEARTBEAT_INTERVAL_S, {}
        )
        for host in self.world.hosts:
            if host is None or host is self:
                continue
            if self.world.rng.random() >= host.source.fault_level / 2:
                self.world.reactor.call_later(0.001, host.receive, heartbeat)

    def receive(self, heartbeat):
        self.peer_table.on_heartbeat(heartbeat, self.world.reactor.clock.now)
        self.feed.on_heartbeat(heartbeat)

    def read(self, address, revision, version, on_done):
        """Stand in for the relay client: read from the host with a relay address."""
        peer = next(
            host for host in self.world.hosts if host.record.relay_address == address
        )
        if self.world.rng.random() < self.source.fault_level / 2:
            self.world.reactor.call_later(0.5, on_done, None)
            return
        target = f"/state?revision={revision}&version={version}"
        feed = peer.feed
        body = handle_relay_request(
            target, peer.registry, feed.configuration, feed.is_synced
        )
        delay_s = 0.001 + self.world.rng.random() * self.source.fault_level
        state = decode_state(json.loads(body))
        self.world.reactor.call_later(delay_s, on_done, state)


class World:
    """A store, two hosts, and changes by operators and instances."""

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
        self.write_heartbeats()

    def start(self, number):
        """Start a host in place of the previous one of the same name."""
        host = FollowingHost(self, f"h-{number}")
        self.hosts[number] = host
        host.feed.begin()
        host.send_heartbeat()

    def write_heartbeats(self):
        self.store.write_heartbeat(self.rng)
        self.reactor.call_later(INSTANCE_HEARTBEAT_S, self.write_heartbeats)

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
        elif kind == "compact":
            self.store.compact()
        elif kind == "restart":
            self.start(number % 2)
        elif kind == "faults":
            self.hosts[number % 2].source.fault_level = 0.15 * (number % 6)

    def run(self, seconds):
        self.reactor.run_for(seconds)

    def run_steps(self, steps):
        pause_s = FAULTY_SPAN_S / (len(steps) + 1)
        for step in steps:
            self.run(pause_s)
            self.apply(step)
        for host in self.hosts:
            host.source.fault_level = 0.0
        self.run(RECOVERY_S)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("put", "drain", "remove", "configure", "compact", "faults", "restart")
        ),
        st.integers(0, 11),
    ),
    max_size=30,
)


class FeedTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 10_000), steps=STEPS)
    # The reader restarts after an instance was removed, so that it never knew it.
    @example(0, [("faults", 9), ("remove", 0), ("restart", 1)])
    def test_state_never_regresses_and_converges(self, seed, steps):
        world = World(seed)
        world.run_steps(steps)
        for host in world.hosts:
            self.assertEqual(host.regressions, [])
            self.assertEqual(host.feed.version, world.store.version)
            known = {
                instance.id: instance.is_draining for instance in host.registry.all()
            }
            expected = {
                instance.id: instance.is_draining
                for instance in world.store.instances.values()
            }
            self.assertEqual(known, expected)

    def test_expired_entries_are_kept_while_the_reader_restarts(self):
        """Entries expire in a long store outage and are written again soon after it."""
        world = World(7)
        world.run(2.0)
        reader = (
            0
            if world.hosts[0].peer_table.store_reader(world.reactor.clock.now) is None
            else 1
        )
        follower = world.hosts[1 - reader]
        self.assertEqual(len(follower.registry.all()), 3)
        follower.source.fault_level = 1.0
        world.hosts[reader].source.fault_level = 1.0
        world.run(2.0)
        expired = sorted(world.store.instances)
        for name in expired:
            world.store.remove(name)
        world.start(reader)
        world.hosts[reader].source.fault_level = 1.0
        world.run(3.0)
        for host in world.hosts:
            host.source.fault_level = 0.0
        for tenth in range(80):
            if tenth == 15:
                for name in expired:
                    world.store.put(name)
            world.run(0.1)
            self.assertEqual(len(follower.registry.all()), 3, f"after {tenth / 10} s")
        self.assertEqual(len(world.hosts[reader].registry.all()), 3)


if __name__ == "__main__":
    unittest.main()
