"""Tests of what counts as leaving, and for how long."""

import unittest

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.draining import FIRST_PROBE_DELAY_S, DrainingInstances, DrainNotice

ONE = DrainNotice("jobtrack", "jt-1")


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.sent = []
        self.draining = DrainingInstances(self.clock, self.sent.append)

    def sources(self):
        return {
            "own word": lambda: self.draining.record_drain_response(*ONE),
            "notice": lambda: self.draining.apply_notice(ONE),
            "host list": lambda: self.draining.apply_host_list(["jt-1"]),
            "listed": lambda: self.draining.record_listed(*ONE),
        }

    @params("own word", "notice", "host list", "listed")
    def test_any_source_counts_at_once(self, source):
        self.assertFalse(self.draining.is_draining(*ONE))
        self.sources()[source]()
        self.assertTrue(self.draining.is_draining(*ONE))
        self.assertFalse(self.draining.is_draining("jobtrack", "jt-2"))

    @params(("own word", 1), ("notice", 0), ("host list", 0), ("listed", 1))
    def test_only_first_hand_news_is_passed_on(self, source, count):
        self.sources()[source]()
        self.sources()[source]()
        self.assertEqual(self.sent, [ONE] * count)

    @params(
        ("own word", False, True), ("own word", True, False), ("notice", True, False)
    )
    def test_only_a_clean_probe_ends_the_hold(
        self, source, accepts_requests, is_draining
    ):
        self.sources()[source]()
        self.assertEqual(self.draining.due_probes(), [])
        self.clock.advance(FIRST_PROBE_DELAY_S)
        self.assertEqual(self.draining.due_probes(), [ONE])
        self.assertEqual(self.draining.due_probes(), [])
        self.draining.record_probe(ONE, accepts_requests)
        self.assertEqual(self.draining.is_draining(*ONE), is_draining)

    def test_host_list_alone_puts_back_what_it_took_out(self):
        self.draining.apply_host_list(["jt-1"])
        self.draining.apply_host_list([])
        self.assertFalse(self.draining.is_draining(*ONE))

    def test_removed_instances_are_forgotten(self):
        self.draining.record_drain_response(*ONE)
        self.draining.retain(set())
        self.assertFalse(self.draining.is_draining(*ONE))
