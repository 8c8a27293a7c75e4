"""Tests that changes reach all nodes within 3 s under faults, on a virtual clock."""

import functools
import math
import random
import unittest

from nose2.tools import params

from dogwoodtack.control import ControlRequest, Route
from dogwoodtack.errors import ErrorKind, RequestError
from dogwoodtack.membership.tests.fakes import FakeNetwork, address_of
from dogwoodtack.replication.replicator import WATCHERS_PER_ZONE

from .fakes import FakeStore, ReplicationNode

NODES = 24
ZONES = 3
IN_FORCE_WITHIN_S = 3.0
STEP_S = 0.05
SEEDS = [0, 1, 2]


class ReplicatorTest(unittest.TestCase):
    def setUp(self):
        self.network = FakeNetwork()
        self.store = FakeStore(self.network)
        self.version = self.store.write("s", {"n": 0})
        self.nodes = [
            ReplicationNode(self.network, self.store, number, SEEDS)
            for number in range(NODES)
        ]
        self.versions = {}
        self.run_for(10.0)
        self.assert_in_force(self.nodes)

    def run_for(self, seconds):
        """Advance the clock and check that no node reverts to an older version."""
        end = self.network.reactor.clock.now + seconds
        while self.network.reactor.clock.now < end - 1e-9:
            self.network.reactor.run_for(STEP_S)
            for node in self.nodes:
                version = node.version("s")
                self.assertGreaterEqual(version, self.versions.get(node, 0))
                self.versions[node] = version

    def write(self):
        self.version = self.store.write("s", {"n": self.version})

    def assert_in_force(self, nodes):
        behind = [
            node.view.local_member.name
            for node in nodes
            if node.version("s") < self.version
        ]
        self.assertEqual(behind, [])

    def watchers(self):
        return [node for node in self.nodes if node.replicator.is_watcher()]

    def test_only_watchers_call_the_store(self):
        self.assertEqual(len(self.watchers()), ZONES * WATCHERS_PER_ZONE)
        before = self.store.calls
        self.run_for(10.0)
        per_s = (self.store.calls - before) / 10.0
        self.assertLessEqual(per_s, ZONES * WATCHERS_PER_ZONE * 1.1)

    def test_long_store_outage_causes_few_calls(self):
        self.store.is_down = True
        self.run_for(20.0)
        before = self.store.calls
        self.run_for(60.0)
        per_s = (self.store.calls - before) / 60.0
        self.assertLessEqual(per_s, ZONES * WATCHERS_PER_ZONE * 4)
        self.store.is_down = False
        self.run_for(5.0)
        self.write()
        self.run_for(IN_FORCE_WITHIN_S)
        self.assert_in_force(self.nodes)

    @params("watchers", "most", "all but one zone")
    def test_cut_from_the_store(self, cut_nodes):
        cut = {
            "watchers": self.watchers(),
            "most": self.nodes[: NODES * 2 // 3],
            "all but one zone": [
                node for node in self.nodes if node.view.local_member.zone != "zone-a"
            ],
        }[cut_nodes]
        self.store.cut = {node.address for node in cut}
        for _ in range(5):
            self.write()
            self.run_for(IN_FORCE_WITHIN_S)
            self.assert_in_force(self.nodes)

    def test_local_write_needs_no_watcher(self):
        self.store.cut = {node.address for node in self.nodes}
        self.write()
        self.nodes[20].state.apply(self.store.objects["s"])
        self.run_for(IN_FORCE_WITHIN_S)
        self.assert_in_force(self.nodes)

    def test_many_hosts_fail_at_the_moment_of_a_change(self):
        dead = self.watchers()[:4] + self.nodes[15:19]
        for node in dead:
            self.network.silent.add(node.address)
        self.write()
        self.run_for(IN_FORCE_WITHIN_S)
        self.assert_in_force([node for node in self.nodes if node not in dead])

    @params(*range(12))
    def test_random_one_way_cuts(self, seed):
        """Cut 20 or 50% of all directions, and a third of the nodes from the store."""
        rng = random.Random(seed)
        cut_ratio = 0.5 if seed % 2 else 0.2
        for one in range(NODES):
            for other in range(NODES):
                if one != other and rng.random() < cut_ratio:
                    self.network.cut.add((address_of(one), address_of(other)))
        for node in self.nodes:
            if rng.random() < 0.33:
                self.store.cut.add(node.address)
        for _ in range(4):
            self.write()
            self.run_for(IN_FORCE_WITHIN_S)
            self.assert_in_force(self.nodes)

    @params(False, True)
    def test_new_host_during_a_store_fault(self, is_down):
        self.write()
        self.run_for(IN_FORCE_WITHIN_S)
        self.store.is_down = is_down
        self.store.is_stale = not is_down
        self.nodes[9].peers.is_ended = True
        node = ReplicationNode(self.network, self.store, 9, SEEDS, restarts=1)
        self.nodes[9] = node
        self.run_for(IN_FORCE_WITHIN_S)
        self.assertTrue(node.replicator.is_synced)
        self.assert_in_force([node])

    @params(0.1, 0.7, 1.4, 5.0)
    def test_calls_that_a_hung_store_swallowed(self, hung_s):
        """All hosts read the store, so that none has a call from after the hang."""
        network = FakeNetwork()
        store = FakeStore(network)
        store.write("s", {})
        nodes = [ReplicationNode(network, store, number, SEEDS) for number in range(6)]
        network.reactor.run_for(10.0)
        store.is_hanging = True
        network.reactor.run_for(hung_s)
        store.is_hanging = False
        version = store.write("s", {})
        network.reactor.run_for(IN_FORCE_WITHIN_S)
        self.assertEqual([node.version("s") for node in nodes], [version] * 6)

    @params(0.1, 0.7, 1.4, 2.3, 3.4, 5.0)
    def test_lists_that_a_hung_store_swallowed(self, hung_s):
        """All hosts start while it hangs, so that none can read from another."""
        network = FakeNetwork()
        store = FakeStore(network)
        version = store.write("s", {})
        store.is_hanging = True
        nodes = [ReplicationNode(network, store, number, SEEDS) for number in range(3)]
        network.reactor.run_for(hung_s)
        store.is_hanging = False
        network.reactor.run_for(IN_FORCE_WITHIN_S)
        self.assertTrue(all(node.replicator.is_synced for node in nodes))
        self.assertEqual([node.version("s") for node in nodes], [version] * 3)

    @params(*(5.0 + step / 2 for step in range(10)))
    def test_host_that_was_cut_off_reaches_the_store_but_no_peer(self, cut_off_s):
        """Its calls from the time of the cut-off still wait for their limit."""
        node = self.nodes[-1]
        self.store.cut = {node.address}
        self.network.silent.add(node.address)
        self.run_for(cut_off_s)
        self.store.cut = set()
        self.network.silent.clear()
        self.run_for(1.0)
        self.network.silent.add(node.address)
        self.write()
        self.run_for(IN_FORCE_WITHIN_S)
        self.assert_in_force(self.nodes)

    def test_host_without_a_source_is_not_ready(self):
        network = FakeNetwork()
        store = FakeStore(network)
        store.write("s", {})
        store.is_down = True
        nodes = [ReplicationNode(network, store, number, SEEDS) for number in range(3)]
        network.reactor.run_for(30.0)
        self.assertEqual([node.replicator.is_synced for node in nodes], [False] * 3)
        self.assertFalse(any(one.is_ready for one in nodes[0].view.members()[1:]))
        store.is_down = False
        network.reactor.run_for(10.0)
        self.assertEqual([node.version("s") for node in nodes], [1] * 3)

    @params(
        {},
        {"buckets": [0], "objects": [{}], "next": None, "is_synced": True},
        {"buckets": [[]], "objects": [], "next": None, "is_synced": True},
        {"buckets": [], "objects": []},
        {"buckets": [], "objects": [], "next": 0, "is_synced": True},
        {"buckets": [], "objects": [], "next": None, "is_synced": "yes"},
    )
    def test_new_host_after_unusable_replies_of_peers(self, body):
        views = self.network.views
        usual = dict(views)
        for address, routes in usual.items():
            others = [one for one in routes if one.pattern != "/spread/buckets"]
            odd = Route("POST", "/spread/buckets", lambda req: body)
            views[address] = [*others, odd]
        self.store.cut = {address_of(9)}
        self.nodes[9].peers.is_ended = True
        node = ReplicationNode(self.network, self.store, 9, SEEDS, restarts=1)
        self.nodes[9] = node
        self.run_for(2.0)
        self.assertFalse(node.replicator.is_synced)
        views.update({**usual, node.address: views[node.address]})
        self.run_for(IN_FORCE_WITHIN_S)
        self.assertTrue(node.replicator.is_synced)
        self.assert_in_force([node])

    @params(
        ("\ud800", 0),
        ("odd", 5000),
    )
    def test_object_of_another_writer_does_not_hide_others(self, name, depth):
        """The objects after it in the list could not be applied, each time again."""
        value = functools.reduce(lambda value, _: [value], range(depth), 1)
        self.store.write(name, value)
        self.write()
        self.run_for(IN_FORCE_WITHIN_S)
        self.assert_in_force(self.nodes)

    @params(
        {"objects": [{}], "range": None},
        {"objects": [{"kind": 7, "name": "x", "version": 1}], "range": None},
        {"objects": [{"kind": "k", "name": "x", "version": 1e999}], "range": None},
        {"objects": [{"kind": "k", "name": "x", "version": 10**400}], "range": None},
    )
    def test_odd_object_of_a_peer_does_not_hide_others(self, body):
        self.version += 7
        good = {"kind": "service", "name": "s", "version": self.version, "value": {}}
        body = {**body, "objects": [*body["objects"], good]}
        node = self.nodes[3]
        node.replicator._handle_push(ControlRequest("POST", "", {}, {}, body))
        self.assertEqual(node.version("s"), self.version)

    @params(
        ("/spread/push", {}),
        ("/spread/push", {"objects": 7, "range": None}),
        ("/spread/push", {"objects": [], "range": [1, 2, 3, 4]}),
        ("/spread/exchange", None),
        ("/spread/exchange", {"watermark": 10**400}),
        ("/spread/exchange", {"age_s": -5.0}),
        ("/spread/exchange", {"age_s": math.nan}),
        ("/spread/buckets", {"buckets": 7, "first": 0}),
        ("/spread/buckets", {"buckets": [], "first": 0}),
    )
    def test_odd_call_of_a_peer_is_rejected(self, path, body):
        """A watermark that no revision exceeds would hide every later change."""
        replicator = self.nodes[3].replicator
        if path == "/spread/exchange" and body:
            body = {**replicator._exchange_body(), **body}
        view = {route.pattern: route.view for route in replicator.routes()}[path]
        with self.assertRaises(RequestError) as caught:
            view(ControlRequest("POST", path, {}, {}, body))
        self.assertIs(caught.exception.kind, ErrorKind.BAD_REQUEST)
        self.assertEqual(replicator.watermark, self.version)

    @params(True, False)
    def test_confirmation_shows_what_was_written_before_it(self, is_reached):
        """A host repeated requests by a configuration that had just changed."""
        node = next(one for one in self.nodes if one not in self.watchers())
        self.network.silent.add(node.address)
        self.write()
        if not is_reached:
            self.store.cut.add(node.address)
        results = []
        node.replicator.confirm_configuration(results.append)
        self.network.reactor.run_for(0.01 if is_reached else 1.0)
        self.assertEqual(results, [is_reached])
        self.assertEqual(node.version("s") == self.version, is_reached)

    def test_lost_objects_are_repaired(self):
        node = self.nodes[8]
        self.network.silent.add(node.address)
        for number in range(300):
            self.store.write(f"other-{number}", {"n": number})
        self.network.reactor.run_for(1.0)
        self.network.silent.clear()
        self.network.reactor.run_for(8.0)
        self.assertEqual(node.state.digest.root, self.nodes[0].state.digest.root)
