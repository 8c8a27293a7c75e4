"""Tests that views converge under failures, on a virtual clock."""

import unittest

from nose2.tools import params

from dogwoodtack.membership.connectivity import CUT_OFF_AFTER_S, Connectivity
from dogwoodtack.membership.host_list import HostListSnapshot

from .fakes import FakeNetwork, FakeNode, address_of

NODES = 12
SUSPECT_WITHIN_S = 5.0
DEAD_WITHIN_S = 15.0


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.network = FakeNetwork()
        self.nodes = [FakeNode(self.network, number, [0]) for number in range(NODES)]
        self.network.reactor.run_for(8.0)

    def names(self, node, only_serving=False):
        members = node.view.serving_members() if only_serving else node.view.members()
        return {one.name for one in members}

    def silence(self, number):
        self.network.silent.add(address_of(number))

    def test_all_nodes_know_all_members(self):
        expected = {f"e{number}" for number in range(NODES)}
        for node in self.nodes:
            self.assertEqual(self.names(node, only_serving=True), expected)
        self.assertEqual(len({node.view.digest.root for node in self.nodes}), 1)

    def test_silent_host_becomes_suspect_then_dead(self):
        self.silence(3)
        self.network.reactor.run_for(SUSPECT_WITHIN_S)
        others = [node for node in self.nodes if node.address != address_of(3)]
        for node in others:
            self.assertNotIn("e3", self.names(node, only_serving=True))
        self.network.reactor.run_for(DEAD_WITHIN_S)
        for node in others:
            self.assertNotIn("e3", self.names(node))

    def test_paused_host_recovers(self):
        self.silence(3)
        self.network.reactor.run_for(30.0)
        self.network.silent.clear()
        self.network.reactor.run_for(20.0)
        for node in self.nodes:
            self.assertIn("e3", self.names(node, only_serving=True))

    @params(3, 11)
    def test_one_way_cut_between_two_hosts_is_no_failure(self, seconds):
        self.network.cut.add((address_of(1), address_of(2)))
        for _ in range(seconds):
            self.network.reactor.run_for(1.0)
            for node in self.nodes:
                self.assertIn("e2", self.names(node, only_serving=True))

    def test_host_without_outgoing_connections_suspects_nobody(self):
        for number in range(NODES):
            self.network.cut.add((address_of(5), address_of(number)))
        self.network.reactor.run_for(30.0)
        for node in self.nodes:
            self.assertEqual(len(self.names(node, only_serving=True)), NODES)
        self.assertFalse(self.nodes[5].view.is_cut_off())

    @params("record_store_contact", "record_peer_contact")
    def test_cut_off_ends_with_the_first_contact(self, record_contact):
        node = self.nodes[5]
        self.network.silent.add(node.address)
        self.network.reactor.run_for(CUT_OFF_AFTER_S + 1.0)
        self.assertTrue(node.view.is_cut_off())
        getattr(node.connectivity, record_contact)()
        self.assertFalse(node.view.is_cut_off())

    def test_unreachable_host_is_sent_no_callers(self):
        for number in range(NODES):
            self.network.cut.add((address_of(number), address_of(5)))
        self.network.reactor.run_for(12.0)
        for _ in range(10):
            self.network.reactor.run_for(1.0)
            for node in self.nodes:
                if node is not self.nodes[5]:
                    self.assertNotIn("e5", self.names(node, only_serving=True))

    def test_partition_heals(self):
        left, right = range(NODES // 2), range(NODES // 2, NODES)
        for one in left:
            for two in right:
                self.network.cut.add((address_of(one), address_of(two)))
                self.network.cut.add((address_of(two), address_of(one)))
        self.network.reactor.run_for(40.0)
        self.assertEqual(len(self.names(self.nodes[0])), NODES // 2)
        self.network.cut.clear()
        self.network.reactor.run_for(30.0)
        for node in self.nodes:
            self.assertEqual(len(self.names(node, only_serving=True)), NODES)

    def test_new_process_replaces_the_former_one_at_its_address(self):
        self.nodes[4].peers.is_ended = True
        FakeNode(self.network, 4, [0], restarts=1)
        self.network.reactor.run_for(4.0)
        for node in self.nodes:
            if node is not self.nodes[4]:
                self.assertIsNone(node.view.by_incarnation("0004-0"))
                self.assertEqual(node.view.by_name("e4").incarnation, "0004-1")

    def test_leaving_spreads_fast(self):
        self.nodes[7].gossip.announce_leaving()
        self.network.reactor.run_for(2.0)
        for node in self.nodes:
            self.assertNotIn("e7", self.names(node, only_serving=True))
            self.assertTrue(node.view.by_name("e7").is_leaving)

    def test_records_of_the_dead_are_removed(self):
        self.silence(3)
        self.network.reactor.run_for(700.0)
        self.assertEqual(len(self.nodes[0].view.records()), NODES - 1)

    def test_host_list_reaches_all_nodes(self):
        names = frozenset({"e1", "e2"})
        self.nodes[2].view.host_list.apply(HostListSnapshot(1, names, frozenset()))
        self.network.reactor.run_for(8.0)
        for node in self.nodes:
            self.assertEqual(node.view.host_list.number, 1)

    def test_lost_record_is_repaired(self):
        node = self.nodes[6]
        node.view.remove("0009-0")
        self.network.reactor.run_for(25.0)
        self.assertIsNotNone(node.view.by_incarnation("0009-0"))


class ConnectivityTest(unittest.TestCase):
    @params(
        (True, False, False, True),
        (True, True, False, False),
        (True, False, True, False),
        (False, False, False, False),
        (False, True, False, False),
    )
    def test_cut_off(self, has_seeds, reaches_store, reaches_peer, is_cut_off):
        clock = FakeNetwork().reactor.clock
        connectivity = Connectivity(clock, has_seeds)
        clock.advance(CUT_OFF_AFTER_S)
        if reaches_store:
            connectivity.record_store_contact()
        if reaches_peer:
            connectivity.record_peer_contact()
        clock.advance(0.1)
        self.assertEqual(connectivity.is_cut_off(), is_cut_off)
