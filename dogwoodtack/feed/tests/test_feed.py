"""Tests of two hosts that follow a store through faults without regressing."""

import itertools
import json
import random
import unittest
from collections import Counter
from typing import NamedTuple
from unittest import mock

from hypothesis import example, given, settings, strategies as st
from nose2.tools import params

from dogwoodtack.errors import EndedEra, HistoryGone, StoreError
from dogwoodtack.feed import ConfigurationUpdate, Feed, FeedCallbacks, InstanceUpdates
from dogwoodtack.feed.relay import decode_state, handle_relay_request
from dogwoodtack.fleet import Heartbeat, PeerTable
from dogwoodtack.fleet.tests.test_peers import make_host
from dogwoodtack.misc import Address
from dogwoodtack.placement import (
    EntryVersion,
    Instance,
    InstanceChange,
    InstanceRegistry,
)
from dogwoodtack.platform.objects import WATCH_TIMEOUT_MARGIN_S
from dogwoodtack.position import StorePosition
from dogwoodtack.routing import CallerLimits, Configuration
from lab.virtual import VirtualLoop

HEARTBEAT_INTERVAL_S = 0.4
# A few instances that each write a heartbeat about every 1.5 s.
INSTANCE_HEARTBEAT_S = 0.3
FAULTY_SPAN_S = 10.0
# A missing entry counts as gone 2.2 s after the store is back; the rest is for syncing.
RECOVERY_S = 8.0
CALL_TIMEOUT_S = 1.0
# After the store has come back from a copy, live instances and the operator write again
# within this time, and the entries of the others expire.
REWRITE_S = 1.8
EXPIRY_S = 4.0
COPY_INTERVAL_S = 0.2
# No request may reach an instance so long after its entry was removed.
DRAIN_S = 2.0
# How often a callback of the feed raises an exception.
CALLBACK_FAILURES = 3
# Goes back to the oldest copy.
ALL_COPIES = 1000


class StoredState(NamedTuple):
    """What the store holds, and what a copy of it brings back.

    Attributes:
        revision: revision of the last change.
        changes: all changes of instances.
        instances: the listed instances by name.
        version: version of the configuration.
        version_revision: revision at which that was written.
    """

    revision: int = 1
    changes: tuple[InstanceChange, ...] = ()
    instances: dict[str, Instance] = {}
    version: int = 0
    version_revision: int = 0


class Store:
    """The store, and what the operator and the instances know to be true."""

    def __init__(self):
        self.era = 1
        self.state = StoredState()
        self.compacted_revision = 0
        self.copies = []
        self.is_away = False
        # Instances that still run, and the operator's newest version.
        self.live = {}
        self.version = 0
        self.sequences = Counter()

    @property
    def position(self):
        return StorePosition(self.era, self.state.revision)

    def stored_version(self, name):
        """Return the version of an entry as the store holds it, perhaps from a copy."""
        versions = [
            change.entry_version for change in self.state.changes if change.id == name
        ]
        return versions[-1]

    def _write(self, name, instance):
        revision = self.state.revision + 1
        instances = {**self.state.instances, name: instance}
        if instance is None:
            del instances[name]
        change = InstanceChange(
            name,
            StorePosition(self.era, revision),
            instance,
            EntryVersion(1000, self.sequences[name]),
        )
        self.state = self.state._replace(
            revision=revision,
            instances=instances,
            changes=(*self.state.changes, change),
        )

    def put(self, name, is_draining=False):
        address = Address("10.0.0.1", 1)
        self.live[name] = Instance(name, "s", address, "a", 2, is_draining, 0.0, 1000)
        self.write_heartbeat(name)

    def write_heartbeat(self, name):
        """Write a live instance's entry, which is an event like any other change."""
        if name in self.live and not self.is_away:
            self.sequences[name] += 1
            self._write(name, self.live[name])

    def expire(self, name):
        """Remove an entry, which its instance does not renew."""
        if name in self.state.instances:
            self._write(name, None)

    def remove(self, name):
        self.live.pop(name, None)
        self.expire(name)

    def expire_ended(self):
        """Remove the entries of instances that no longer run."""
        for name in sorted(self.state.instances):
            if name not in self.live:
                self.expire(name)

    def configure(self):
        self.version += 3
        self.write_configuration()

    def write_configuration(self):
        """Write the operator's newest version if the store has an older one."""
        if self.state.version < self.version:
            revision = self.state.revision + 1
            self.state = self.state._replace(
                revision=revision, version=self.version, version_revision=revision
            )

    def compact(self):
        self.compacted_revision = self.state.revision

    def keep_copy(self):
        self.copies.append(self.state)

    def restore(self, copies_back):
        """Come back from a copy; a copy from before an earlier return is possible."""
        kept = self.copies[: max(1, len(self.copies) - copies_back)]
        self.state = kept[-1]
        self.copies = kept
        self.compacted_revision = min(self.compacted_revision, self.state.revision)
        self.era += 1
        self.is_away = False


class UnreliableSource:
    """A host's calls to the store; some fail, are slow, or time out."""

    def __init__(self, reactor, store, rng):
        self.fault_level = 0.0
        self.is_cut = False
        self.cuts = 0
        self._is_silent = False
        self.instances_delay_s = 0.0
        self.configuration_delay_s = 0.0
        self.era = 0
        self._reactor = reactor
        self._store = store
        self._rng = rng

    def observe_era(self, era):
        self.era = max(self.era, era)

    def cut(self, how):
        """Let calls fail at once (`refused`), or get no answer, those under way too."""
        self.is_cut = True
        self._is_silent = how == "silent"
        self.cuts += 1

    def restore(self):
        """Let the path work again."""
        self.is_cut = self._is_silent = False

    def _call(self, wait_s, respond, on_done):
        """Make a call whose response reads the state now or later and is delayed."""
        rng = self._rng
        draw = rng.random()
        if self._is_silent or draw < self.fault_level / 2:
            error = StoreError("no answer")
            self._reactor.call_later(CALL_TIMEOUT_S, on_done, None, error)
        elif draw < self.fault_level or self.is_cut or self._store.is_away:
            self._reactor.call_later(0.01, on_done, None, StoreError("status 503"))
        else:
            extra_s = rng.random() * self.fault_level
            self._reactor.call_later(
                wait_s + extra_s, self._respond, self.cuts, respond, on_done
            )

    def _respond(self, cuts, respond, on_done):
        if cuts != self.cuts:
            # Its connection was cut while it waited.
            error = StoreError("no answer")
            self._reactor.call_later(WATCH_TIMEOUT_MARGIN_S, on_done, None, error)
            return
        if self._store.is_away:
            on_done(None, StoreError("status 503"))
            return
        result, exc = respond()
        delay_s = 0.004 + self._rng.random() * self.fault_level / 2
        era = self._store.era
        self._reactor.call_later(delay_s, self._on_response, era, result, exc, on_done)

    def _on_response(self, era, result, exc, on_done):
        if era < self.era:
            on_done(None, EndedEra("an earlier era"))
            return
        self.era = era
        on_done(result, exc)

    def read_instances(self, on_done):
        def respond():
            store = self._store
            changes = [
                InstanceChange(name, store.position, one, store.stored_version(name))
                for name, one in store.state.instances.items()
            ]
            return InstanceUpdates(changes, store.position, True), None

        self._call(self.instances_delay_s, respond, on_done)

    def _has_history(self, after):
        store = self._store
        return (
            after.era == store.era
            and store.compacted_revision <= after.revision <= store.state.revision
        )

    def watch_instances(self, after, wait_s, on_done):
        def respond():
            store = self._store
            if not self._has_history(after):
                return None, HistoryGone("gone")
            latest = {
                change.id: change
                for change in store.state.changes
                if change.position.revision > after.revision
            }
            changes = [
                change._replace(position=store.position) for change in latest.values()
            ]
            return InstanceUpdates(changes, store.position, False), None

        self._call(self._rng.random() * wait_s, respond, on_done)

    def _configuration(self, after):
        store = self._store
        if not store.state.version or store.state.version_revision <= after:
            return ConfigurationUpdate(None, store.position), None
        found = Configuration(store.state.version, (), (), CallerLimits())
        return ConfigurationUpdate(found, store.position), None

    def read_configuration(self, on_done):
        delay_s = self.configuration_delay_s
        self._call(delay_s, lambda: self._configuration(0), on_done)

    def watch_configuration(self, after, wait_s, on_done):
        def respond():
            if not self._has_history(after):
                return None, HistoryGone("gone")
            return self._configuration(after.revision)

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
        self.restored_eras = []
        self.syncs = 0
        # Whether peers send what hosts of the previous build send.
        self.is_peer_earlier = False
        self.feed = Feed(
            world.reactor,
            self.source,
            self,
            self.peer_table,
            self.registry,
            world.rng,
            FeedCallbacks(
                self.on_configuration,
                self.on_instances,
                self.on_synced,
                lambda: self.restored_eras.append(world.store.era),
            ),
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

    def on_synced(self):
        self.syncs += 1

    def heartbeat(self):
        version, position, age_s = self.feed.sync_status()
        return Heartbeat(
            self.record,
            True,
            version,
            position,
            age_s,
            HEARTBEAT_INTERVAL_S,
            {},
            [],
            True,
            {},
        )

    def send_heartbeat(self):
        if self not in self.world.hosts:
            return
        self.world.reactor.call_later(HEARTBEAT_INTERVAL_S, self.send_heartbeat)
        heartbeat = self.heartbeat()
        for host in self.world.hosts:
            if host is None or host is self:
                continue
            if self.world.rng.random() >= host.source.fault_level / 2:
                self.world.reactor.call_later(0.001, host.receive, heartbeat)

    def receive(self, heartbeat):
        self.peer_table.on_heartbeat(heartbeat, self.world.reactor.clock.now)
        self.feed.on_heartbeat(heartbeat)

    def read(self, address, position, version, on_done):
        """Stand in for the relay client: read from the host with a relay address."""
        peer = next(
            host for host in self.world.hosts if host.record.relay_address == address
        )
        if self.world.rng.random() < self.source.fault_level / 2:
            self.world.reactor.call_later(0.5, on_done, None)
            return
        self.world.relay_reads += 1
        era, revision = position
        target = f"/state?era={era}&revision={revision}&version={version}"
        feed = peer.feed
        body = handle_relay_request(
            target,
            peer.registry,
            feed.configuration,
            feed.is_synced,
            feed.recovery_left_s(),
        )
        delay_s = 0.001 + self.world.rng.random() * self.source.fault_level
        fields = json.loads(body)
        if self.is_peer_earlier:
            for key in ("organisations", "anonymous", "kinds"):
                fields.pop(key, None)
        state = decode_state(fields)
        self.world.reactor.call_later(delay_s, on_done, state)

    def confirm(self, address, version, on_done):
        """Stand in for the relay client: let that host read the store."""
        peer = next(
            host for host in self.world.hosts if host.record.relay_address == address
        )
        if self.world.rng.random() < self.source.fault_level / 2:
            self.world.reactor.call_later(0.5, on_done, False, None)
            return

        def respond(is_confirmed):
            newest = peer.feed.configuration
            is_newer = newest is not None and newest.version > version
            on_done(is_confirmed, newest if is_confirmed and is_newer else None)

        peer.feed.confirm_at_store(respond)


class World:
    """A store, two hosts, and changes by operators and instances."""

    def __init__(self, seed, hosts=2):
        self.rng = random.Random(seed)
        self.reactor = VirtualLoop(100.0)
        self.store = Store()
        self.store.configure()
        for name in ("i-0", "i-1", "i-2"):
            self.store.put(name)
        self.hosts = [None] * hosts
        self.relay_reads = 0
        for number in range(hosts):
            self.start(number)
        self.write_heartbeats()
        self.keep_copies()

    def start(self, number, wait_s=0.0):
        """Start a host in place of the previous one of the same name.

        Args:
            wait_s: seconds until it reads the store; it reads from peers before.
        """
        host = FollowingHost(self, f"h-{number}")
        self.hosts[number] = host
        self.reactor.call_later(wait_s, host.feed.begin)
        host.send_heartbeat()

    def write_heartbeats(self):
        if self.store.live:
            self.store.write_heartbeat(self.rng.choice(sorted(self.store.live)))
        self.reactor.call_later(INSTANCE_HEARTBEAT_S, self.write_heartbeats)

    def keep_copies(self):
        self.store.keep_copy()
        self.reactor.call_later(COPY_INTERVAL_S, self.keep_copies)

    def restore(self, copies_back, away_s):
        """Take the store away and bring it back from an older copy."""
        self.store.is_away = True
        self.reactor.call_later(away_s, self._on_store_back, copies_back)

    def _on_store_back(self, copies_back):
        store = self.store
        store.restore(copies_back)
        for name in sorted(store.live):
            wait_s = self.rng.random() * REWRITE_S
            self.reactor.call_later(wait_s, store.write_heartbeat, name)
        wait_s = self.rng.random() * REWRITE_S
        self.reactor.call_later(wait_s, store.write_configuration)
        self.reactor.call_later(EXPIRY_S, store.expire_ended)

    def apply(self, step):
        kind, number = step
        name = f"i-{number}"
        is_new = not self.store.sequences[name]
        if kind == "put" and is_new and not self.store.is_away:
            self.store.put(name)
        elif kind == "drain" and name in self.store.live:
            self.store.put(name, is_draining=True)
        elif kind == "remove" and name in self.store.live:
            self.store.remove(name)
        elif kind == "configure" and not self.store.is_away:
            self.store.configure()
        elif kind == "compact":
            self.store.compact()
        elif kind == "restore" and not self.store.is_away:
            self.restore(2 * number, 0.3 * (number % 4))
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
            (
                "put",
                "drain",
                "remove",
                "configure",
                "compact",
                "faults",
                "restart",
                "restore",
            )
        ),
        st.integers(0, 11),
    ),
    max_size=30,
)


class CallbackError(Exception):
    """Raised by a callback of the feed."""


class FailingCallbackTest(unittest.TestCase):
    def run_in_spite_of_failures(self, world, seconds):
        """Run as the reactor does, which isolates a callback that raises."""
        end = world.reactor.clock.now + seconds
        while world.reactor.clock.now < end:
            try:
                world.reactor.run_to(end)
            except CallbackError:
                self.failures += 1

    @staticmethod
    def fail_at_first(fn):
        """Return a function that raises at first and then calls another one."""
        outcomes = itertools.chain(
            [CallbackError()] * CALLBACK_FAILURES, itertools.repeat(mock.DEFAULT)
        )
        return mock.Mock(side_effect=outcomes, wraps=fn)

    def test_host_reads_from_peers_after_a_read_has_failed(self):
        """The follower took the read that had raised for one that was under way."""
        world = World(3)
        self.failures = 0
        world.run(3.0)
        for host in world.hosts:
            host.feed._relay_client = mock.Mock(read=self.fail_at_first(host.read))
        for number in range(CALLBACK_FAILURES + 1):
            world.store.put(f"i-{20 + number}")
            self.run_in_spite_of_failures(world, 3.0)
        self.assertEqual(self.failures, CALLBACK_FAILURES)
        for host in world.hosts:
            known = {one.id for one in host.registry.all()}
            self.assertEqual(known, set(world.store.state.instances))

    @params(*itertools.product(("on_configuration", "on_instances"), (1, 2)))
    def test_host_follows_the_store_after_a_callback_has_failed(self, name, hosts):
        """The feed called the store no more once applying a reply had failed."""
        world = World(3, hosts=hosts)
        self.failures = 0
        world.run(3.0)
        for host in world.hosts:
            callbacks = host.feed._callbacks
            failing = self.fail_at_first(getattr(callbacks, name))
            host.feed._callbacks = callbacks._replace(**{name: failing})
        for number in range(CALLBACK_FAILURES + 1):
            world.store.configure()
            world.store.put(f"i-{20 + number}")
            self.run_in_spite_of_failures(world, 3.0)
        world.store.remove("i-0")
        self.run_in_spite_of_failures(world, 5.0)
        self.assertEqual(self.failures, hosts * CALLBACK_FAILURES)
        for host in world.hosts:
            self.assertEqual(host.feed.version, world.store.version)
            known = {one.id for one in host.registry.all()}
            self.assertEqual(known, set(world.store.state.instances))


class CutReaderTest(unittest.TestCase):
    """The host that reads the store for its zone loses its path to the store."""

    def make_world(self, seed, is_busy):
        world = World(seed, hosts=3)
        if not is_busy:
            # No instance writes its entry again, and nothing else changes.
            world.write_heartbeats = lambda: None
        world.run(3.0 + 0.1 * seed)
        now = world.reactor.clock.now
        reader = next(
            one for one in world.hosts if one.peer_table.store_reader(now) is None
        )
        return world, reader, [one for one in world.hosts if one is not reader]

    @params(
        *itertools.product(
            # seconds for which the path is cut, and from its return to the removal
            (0.5, 1.3, 2.0, 4.0),
            (-1.0, 0.0, 0.5, 1.0, 1.4, 2.0),
            ("silent", "refused"),
            (True, False),
        )
    )
    def test_others_learn_of_a_removal_in_time(self, cut_s, after_s, how, is_busy):
        """They read up to the reader's position, but not the removals it withheld."""
        for seed in range(4):
            world, reader, others = self.make_world(seed, is_busy)
            world.reactor.call_later(cut_s + max(after_s, 0.1 - cut_s), self.remove)
            self.store, self.clock = world.store, world.reactor.clock
            reader.source.cut(how)
            world.run(cut_s)
            reader.source.restore()
            world.run(max(0.0, after_s) + 0.01)
            removed_at = self.removed_at
            world.run(removed_at + DRAIN_S - self.clock.now)
            for host in others:
                self.assertIsNone(host.registry.get("i-0"), f"seed {seed}")
            world.run(RECOVERY_S)
            for host in world.hosts:
                self.assertIsNone(host.registry.get("i-0"), f"seed {seed}")
                self.assertEqual(len(host.registry.all()), 2)

    def remove(self):
        self.store.remove("i-0")
        self.removed_at = self.clock.now


class OutageTest(unittest.TestCase):
    """The store is away from all hosts, and live instances' entries expire in it."""

    @params(
        *itertools.product(
            (3.5, 5.0, 9.0),
            # seconds from the store's return to that of each host's path
            ((0.0, 0.0, 0.0), (0.0, 0.3, 0.6), (0.6, 0.3, 0.0), (0.0, 1.2, 2.5)),
            ("silent", "refused"),
        )
    )
    def test_no_host_takes_live_instances_away(self, away_s, delays_s, how):
        for seed in range(6):
            world = World(seed, hosts=3)
            world.run(3.0 + 0.1 * seed)
            for host, delay_s in zip(world.hosts, delays_s):
                host.source.cut(how)
                world.reactor.call_later(away_s + delay_s, host.source.restore)
            expired = sorted(world.store.live)
            live, world.store.live = world.store.live, {}
            for name in expired:
                world.reactor.call_later(away_s - 0.2, world.store.expire, name)
            world.run(away_s)
            world.store.live = live
            for name in expired:
                wait_s = REWRITE_S * world.rng.random()
                world.reactor.call_later(wait_s, world.store.write_heartbeat, name)
            for tenth in range(80):
                world.run(0.1)
                for host in world.hosts:
                    known = len(host.registry.all())
                    self.assertEqual(known, 3, f"seed {seed}, {tenth / 10} s later")

    @params(1, 2, 3)
    def test_first_contact_is_not_the_end_of_an_outage(self, hosts):
        world = World(4, hosts=hosts)
        for _ in range(40):
            world.run(0.1)
            for host in world.hosts:
                self.assertEqual(host.feed.recovery_left_s(), 0.0)
                self.assertFalse(host.feed.withholds_removals)


class FeedTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 10_000), steps=STEPS)
    # The reader restarts after an instance was removed, so that it never knew it.
    @example(0, [("faults", 9), ("remove", 0), ("restart", 1)])
    # The copy lacks a drain, a removal, an addition and a version.
    @example(
        1,
        [("drain", 0), ("remove", 1), ("put", 5), ("configure", 0), ("restore", 11)],
    )
    # The reader starts while instances have not written again yet.
    @example(2, [("put", 4), ("restore", 9), ("restart", 0), ("restart", 1)])
    # A new host reads the copy's entry of an instance that the reader knows is gone.
    @example(0, [("put", 0), ("remove", 0), ("restore", 5), ("restart", 0)])
    @example(3, [("remove", 2), ("restore", 4), ("restore", 11), ("drain", 0)])
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
                for instance in world.store.state.instances.values()
            }
            self.assertEqual(known, expected)
            self.assertEqual(host.registry.position.era, world.store.era)

    @params(1, 2, 3)
    def test_instances_stay_known_until_they_write_again(self, seed):
        """The copy is of a time before any instance wrote."""
        world = World(seed)
        world.run(3.0)
        world.store.copies = [StoredState(version=3)]
        world.restore(ALL_COPIES, 0.2)
        world.run(0.25)
        for tenth in range(60):
            world.run(0.1)
            for host in world.hosts:
                self.assertEqual(len(host.registry.all()), 3, f"after {tenth / 10} s")
        self.assertEqual([host.restored_eras for host in world.hosts], [[2], [2]])

    @params(*((number, wait_s) for number in (0, 1) for wait_s in (0.0, 0.3)))
    def test_host_that_starts_at_the_return_takes_no_instance_away(
        self, number, wait_s
    ):
        """It may have the instances from its peer, and then reads the copy."""
        for tick in range(24):
            world = World(tick)
            world.run(3.0)
            world.store.copies = [StoredState(version=3)]
            world.restore(ALL_COPIES, 0.2)
            world.run(0.05 * tick)
            world.start(number, wait_s)
            for _ in range(60):
                world.run(0.1)
                known = world.hosts[1 - number].registry.all()
                self.assertEqual(len(known), 3, f"start at {0.05 * tick} s")

    @params(1, 2, 3)
    def test_instance_that_does_not_write_again_is_gone(self, seed):
        """It was added after the copy was made and ended while the store was away."""
        world = World(seed)
        world.run(1.0)
        world.store.put("i-9")
        world.run(2.0)
        self.assertTrue(all(host.registry.get("i-9") for host in world.hosts))
        world.restore(12, 0.4)
        world.store.live.pop("i-9")
        world.run(0.4 + 4.0)
        for host in world.hosts:
            self.assertIsNone(host.registry.get("i-9"))
            self.assertEqual(host.regressions, [])

    @params(0, 1)
    def test_hosts_of_both_eras_do_not_read_from_each_other_for_ever(self, number):
        """One host cannot reach the store and learns of its return from the other."""
        world = World(5)
        world.run(2.0)
        world.hosts[number].source.is_cut = True
        world.run(2.0)
        world.restore(10, 0.2)
        world.relay_reads = 0
        world.run(5.0)
        # One read for each heartbeat that announces something newer.
        self.assertLess(world.relay_reads, 2 * 5.0 / HEARTBEAT_INTERVAL_S)
        for host in world.hosts:
            self.assertEqual(host.registry.position.era, 2)
            self.assertEqual(host.regressions, [])

    @params(*itertools.permutations(("peer", "configuration", "instances")))
    def test_sync_is_reported_once_whichever_read_is_last(self, *order):
        """The peer has no configuration yet, and the store lists what the peer has."""
        world = World(9, hosts=0)
        # No instance writes again.
        world.store.live.clear()
        host, peer = (FollowingHost(world, f"h-{number}") for number in range(2))
        world.hosts = [peer]
        peer.source.configuration_delay_s = 10.0
        peer.feed.begin()
        world.run(0.1)
        delays_s = {name: 0.1 * place for place, name in enumerate(order, 1)}
        host.source.instances_delay_s = delays_s["instances"]
        host.source.configuration_delay_s = delays_s["configuration"]
        host.feed.begin()
        world.reactor.call_later(delays_s["peer"], host.receive, peer.heartbeat())
        for _ in range(40):
            world.run(0.01)
            self.assertEqual(host.syncs, host.feed.is_synced)
        self.assertTrue(host.feed.is_synced)

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
        expired = sorted(world.store.live)
        for name in expired:
            world.store.expire(name)
        world.start(reader)
        world.hosts[reader].source.fault_level = 1.0
        world.run(3.0)
        for host in world.hosts:
            host.source.fault_level = 0.0
        for tenth in range(80):
            if tenth == 15:
                for name in expired:
                    world.store.write_heartbeat(name)
            world.run(0.1)
            self.assertEqual(len(follower.registry.all()), 3, f"after {tenth / 10} s")
        self.assertEqual(len(world.hosts[reader].registry.all()), 3)


class CountingSource(UnreliableSource):
    """Records when calls were made to the store."""

    def __init__(self, *args):
        super().__init__(*args)
        self.called_at = []

    def _call(self, *args):
        self.called_at.append(self._reactor.clock.now)
        super()._call(*args)


class MissingConfigurationTest(unittest.TestCase):
    def make_world(self, hosts, version=0):
        """Return a world whose store has no usable configuration."""
        with mock.patch(f"{__name__}.UnreliableSource", CountingSource):
            world = World(11, hosts=0)
            world.store.state = world.store.state._replace(version=version)
            world.hosts = [None] * hosts
            for number in range(hosts):
                world.start(number)
        return world

    @params("none", "away", "cut")
    def test_store_is_asked_seldom_after_the_first_tries(self, fault):
        """17 hosts without a usable configuration made 2,168 calls on one day."""
        world = self.make_world(hosts=2)
        world.store.is_away = fault == "away"
        for host in world.hosts:
            host.source.is_cut = fault == "cut"
        world.run(60.0)
        for host in world.hosts:
            called_at = [at for at in host.source.called_at if at > 110.0]
            gaps_s = [then - now for now, then in itertools.pairwise(called_at)]
            self.assertGreaterEqual(min(gaps_s), 2.0)
            self.assertLess(max(gaps_s), 4.0)
            self.assertFalse(host.feed._is_recovering())

    def test_configuration_that_comes_late_is_in_force_soon(self):
        """The instances, which were not followed for a while, are current then."""
        world = self.make_world(hosts=2)
        world.run(30.0)
        world.store.remove("i-0")
        world.store.put("i-7")
        world.store.configure()
        world.run(3.5)
        for host in world.hosts:
            self.assertTrue(host.feed.is_synced)
            self.assertEqual(host.versions, [world.store.version])
            known = sorted(one.id for one in host.registry.all())
            self.assertEqual(known, ["i-1", "i-2", "i-7"])
            self.assertEqual(host.regressions, [])


class ConfirmationTest(unittest.TestCase):
    def confirm_often(self, world, calls, span_s):
        """Let hosts ask now and then; return versions acknowledged and then known."""
        results = []

        def ask(host):
            acknowledged, asked_at = world.store.state.version, world.reactor.clock.now

            def on_done(is_confirmed):
                waited_s = world.reactor.clock.now - asked_at
                version = host.feed.version
                results.append((host, is_confirmed, acknowledged, version, waited_s))

            host.feed.confirm_configuration(on_done)

        for _ in range(calls):
            delay_s = world.rng.random() * span_s
            world.reactor.call_later(delay_s, ask, world.rng.choice(world.hosts))
        return results

    @params("none", "faults", "cut", "away")
    def test_confirmed_host_knows_what_was_acknowledged_before(self, fault):
        """A host that had not heard of the newest version repeated by an older one."""
        for seed in range(40):
            world = World(seed, hosts=3)
            world.run(3.0)
            for host in world.hosts:
                host.source.fault_level = 0.4 if fault == "faults" else 0.0
            if fault == "cut":
                for host in world.rng.sample(world.hosts, world.rng.choice((1, 2))):
                    host.source.cut(world.rng.choice(("refused", "silent")))
            world.store.is_away = fault == "away"
            for _ in range(20):
                if fault != "away":
                    world.reactor.call_later(
                        world.rng.random() * 8.0, world.store.configure
                    )
            results = self.confirm_often(world, 60, 8.0)
            world.run(10.0)
            with self.subTest(seed=seed):
                self.assertEqual(len(results), 60)
                for host, is_confirmed, acknowledged, version, waited_s in results:
                    self.assertLessEqual(waited_s, 0.52)
                    if is_confirmed:
                        self.assertGreaterEqual(version, acknowledged)
                confirmed = [one for one in results if one[1]]
                self.assertEqual(bool(confirmed), fault != "away")
                if fault == "none":
                    self.assertEqual(len(confirmed), 60)
                for host in world.hosts:
                    self.assertEqual(host.regressions, [])

    @params("refused", "silent")
    def test_hosts_that_are_cut_off_ask_others(self, how):
        """A look-up was given up though a neighbour could read the store."""
        world = World(3, hosts=3)
        world.run(3.0)
        for host in world.hosts[1:]:
            host.source.cut(how)
        world.run(3.0)
        results = self.confirm_often(world, 90, 8.0)
        world.run(10.0)
        confirmed = [one for one in results if one[1]]
        self.assertGreaterEqual(len(confirmed), 85)

    def test_confirmations_go_on_soon_after_an_outage(self):
        """They were given up for 8 s after the store was back."""
        world = World(5, hosts=3)
        world.run(3.0)
        world.store.is_away = True
        self.confirm_often(world, 200, 10.0)
        world.run(10.0)
        world.store.is_away = False
        world.run(2.0)
        results = self.confirm_often(world, 30, 1.0)
        world.run(2.0)
        self.assertEqual([one[1] for one in results], [True] * 30)


class EarlierBuildTest(unittest.TestCase):
    """A follower whose peer passes on no additions of the configuration."""

    def setUp(self):
        with mock.patch(f"{__name__}.UnreliableSource", CountingSource):
            self.world = World(4)
        self.world.run(3.0)
        table = self.world.hosts[0].peer_table
        is_reader = table.store_reader(self.world.reactor.clock.now) is None
        self.follower = self.world.hosts[1 if is_reader else 0]
        self.follower.is_peer_earlier = True
        self.reads = len(self.follower.source.called_at)

    def test_newer_version_is_read_from_the_store_once(self):
        """Put in force as relayed, it would open routes that need a key."""
        self.world.store.configure()
        self.world.run(2.0)
        self.assertEqual(self.follower.feed.version, self.world.store.version)
        # After the read the host follows its peer again.
        self.assertEqual(len(self.follower.source.called_at) - self.reads, 1)

    def test_it_is_not_in_force_until_the_store_answers(self):
        before = self.follower.feed.version
        self.follower.source.is_cut = True
        self.world.relay_reads = 0
        self.world.store.configure()
        self.world.run(20.0)
        self.assertEqual(self.follower.feed.version, before)
        # As often as any follower that tries to reach the store.
        self.assertLess(len(self.follower.source.called_at) - self.reads, 20)
        self.follower.source.restore()
        self.world.run(3.5)
        self.assertEqual(self.follower.feed.version, self.world.store.version)

    def test_store_without_that_version_is_asked_once(self):
        """It has come back from a copy that lacks what the peer still has in force."""
        reader = next(host for host in self.world.hosts if host is not self.follower)
        newer = reader.feed.configuration._replace(version=99)
        reader.feed.configuration = newer
        self.world.run(10.0)
        self.assertEqual(self.follower.feed.version, self.world.store.version)
        self.assertEqual(len(self.follower.source.called_at) - self.reads, 1)


if __name__ == "__main__":
    unittest.main()
