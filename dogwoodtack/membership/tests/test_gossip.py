"""Views become alike and true, under failures, on a virtual clock."""

import unittest

from nose2.tools import params

from dogwoodtack.membership.connectivity import CUT_OFF_AFTER_S, Connectivity
from dogwoodtack.membership.host_list import HostListSnapshot

from .fakes import FakeNetwork, FakeNode, address_of

COUNT = 12
SUSPECTED_S = 5.0
DEAD_S = 15.0


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.network = FakeNetwork()
        self.nodes = [FakeNode(self.network, number, [0]) for number in range(COUNT)]
        self.network.reactor.run_for(8.0)

    def names(self, node, only_serving=False):
        members = node.view.serving_members() if only_serving else node.view.members()
        return {one.name for one in members}

    def silence(self, number):
        self.network.silent.add(address_of(number))

    def test_all_know_all(self):
        everyone = {f"e{number}" for number in range(COUNT)}
        for node in self.nodes:
            self.assertEqual(self.names(node, only_serving=True), everyone)
        self.assertEqual(len({node.view.digest.root for node in self.nodes}), 1)

    def test_silent_host_is_suspected_then_dead(self):
        self.silence(3)
        self.network.reactor.run_for(SUSPECTED_S)
        others = [node for node in self.nodes if node.address != address_of(3)]
        for node in others:
            self.assertNotIn("e3", self.names(node, only_serving=True))
        self.network.reactor.run_for(DEAD_S)
        for node in others:
            self.assertNotIn("e3", self.names(node))

    def test_host_that_paused_comes_back(self):
        self.silence(3)
        self.network.reactor.run_for(30.0)
        self.network.silent.clear()
        self.network.reactor.run_for(20.0)
        for node in self.nodes:
            self.assertIn("e3", self.names(node, only_serving=True))

    @params(3, 11)
    def test_one_way_cut_between_two_is_no_failure(self, seconds):
        self.network.cut.add((address_of(1), address_of(2)))
        for _ in range(seconds):
            self.network.reactor.run_for(1.0)
            for node in self.nodes:
                self.assertIn("e2", self.names(node, only_serving=True))

    def test_host_whose_way_out_is_broken_accuses_nobody(self):
        for number in range(COUNT):
            self.network.cut.add((address_of(5), address_of(number)))
        self.network.reactor.run_for(30.0)
        for node in self.nodes:
            self.assertEqual(len(self.names(node, only_serving=True)), COUNT)
        self.assertFalse(self.nodes[5].view.is_cut_off())

    def test_host_that_nobody_reaches_is_sent_no_callers(self):
        for number in range(COUNT):
            self.network.cut.add((address_of(number), address_of(5)))
        self.network.reactor.run_for(12.0)
        for _ in range(10):
            self.network.reactor.run_for(1.0)
            for node in self.nodes:
                if node is not self.nodes[5]:
                    self.assertNotIn("e5", self.names(node, only_serving=True))

    def test_halves_that_were_apart_join_again(self):
        left, right = range(COUNT // 2), range(COUNT // 2, COUNT)
        for one in left:
            for two in right:
                self.network.cut.add((address_of(one), address_of(two)))
                self.network.cut.add((address_of(two), address_of(one)))
        self.network.reactor.run_for(40.0)
        self.assertEqual(len(self.names(self.nodes[0])), COUNT // 2)
        self.network.cut.clear()
        self.network.reactor.run_for(30.0)
        for node in self.nodes:
            self.assertEqual(len(self.names(node, only_serving=True)), COUNT)

    def test_new_process_ends_the_former_one_at_its_address(self):
        self.nodes[4].peers.is_ended = True
        FakeNode(self.network, 4, [0], life=1)
        self.network.reactor.run_for(4.0)
        for node in self.nodes:
            if node is not self.nodes[4]:
                self.assertIsNone(node.view.by_incarnation("0004-0"))
                self.assertEqual(node.view.by_name("e4").incarnation, "0004-1")

    def test_leaving_is_known_soon(self):
        self.nodes[7].gossip.announce_leaving()
        self.network.reactor.run_for(2.0)
        for node in self.nodes:
            self.assertNotIn("e7", self.names(node, only_serving=True))
            self.assertTrue(node.view.by_name("e7").is_leaving)

    def test_dead_are_forgotten(self):
        self.silence(3)
        self.network.reactor.run_for(700.0)
        self.assertEqual(len(self.nodes[0].view.records()), COUNT - 1)

    def test_host_list_reaches_all(self):
        names = frozenset({"e1", "e2"})
        self.nodes[2].view.host_list.apply(HostListSnapshot(1, names, frozenset()))
        self.network.reactor.run_for(8.0)
        for node in self.nodes:
            self.assertEqual(node.view.host_list.number, 1)

    def test_a_lost_record_is_mended(self):
        node = self.nodes[6]
        node.view.remove("0009-0")
        self.network.reactor.run_for(25.0)
        self.assertIsNotNone(node.view.by_incarnation("0009-0"))


class ContactTest(unittest.TestCase):
    @params(
        (True, False, False, True),
        (True, True, False, False),
        (True, False, True, False),
        (False, False, False, False),
        (False, True, False, False),
    )
    def test_cut_off(self, has_seeds, hears_store, hears_peer, is_cut_off):
        clock = FakeNetwork().reactor.clock
        connectivity = Connectivity(clock, has_seeds)
        clock.advance(CUT_OFF_AFTER_S)
        if hears_store:
            connectivity.record_store_contact()
        if hears_peer:
            connectivity.record_peer_contact()
        clock.advance(0.1)
        self.assertEqual(connectivity.is_cut_off(), is_cut_off)
