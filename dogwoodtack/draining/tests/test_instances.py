"""Tests of what makes an instance count as draining, and for how long."""

import unittest

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.draining import FIRST_PROBE_DELAY_S, DrainingInstances, DrainNotice

NOTICE = DrainNotice("jobtrack", "jt-1")


class DrainingInstancesTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.sent = []
        self.draining = DrainingInstances(self.clock, self.sent.append)

    def reporters(self):
        return {
            "response": lambda: self.draining.record_drain_response(*NOTICE),
            "notice": lambda: self.draining.apply_notice(NOTICE),
            "host list": lambda: self.draining.apply_host_list(["jt-1"]),
            "listed": lambda: self.draining.record_listed(*NOTICE),
        }

    @params("response", "notice", "host list", "listed")
    def test_any_report_counts_at_once(self, source):
        self.assertFalse(self.draining.is_draining(*NOTICE))
        self.reporters()[source]()
        self.assertTrue(self.draining.is_draining(*NOTICE))
        self.assertFalse(self.draining.is_draining("jobtrack", "jt-2"))

    @params(("response", 1), ("notice", 0), ("host list", 0), ("listed", 1))
    def test_only_first_hand_reports_are_sent_on_and_only_once(self, source, count):
        self.reporters()[source]()
        self.reporters()[source]()
        self.assertEqual(self.sent, [NOTICE] * count)

    @params(
        ("response", False, True), ("response", True, False), ("notice", True, False)
    )
    def test_only_a_successful_probe_ends_the_drain(
        self, source, accepts_requests, is_draining
    ):
        self.reporters()[source]()
        self.assertEqual(self.draining.due_probes(), [])
        self.clock.advance(FIRST_PROBE_DELAY_S)
        self.assertEqual(self.draining.due_probes(), [NOTICE])
        self.assertEqual(self.draining.due_probes(), [])
        self.draining.record_probe(NOTICE, accepts_requests)
        self.assertEqual(self.draining.is_draining(*NOTICE), is_draining)

    @params("response", "notice", "listed")
    def test_further_reports_do_not_put_the_probe_off(self, source):
        """A report repeated within the delay would keep a healthy instance out."""
        for _ in range(4):
            self.reporters()[source]()
            self.clock.advance(FIRST_PROBE_DELAY_S / 4)
        self.assertEqual(self.draining.due_probes(), [NOTICE])

    def test_instance_dropped_from_the_host_list_is_not_draining(self):
        self.draining.apply_host_list(["jt-1"])
        self.draining.apply_host_list([])
        self.assertFalse(self.draining.is_draining(*NOTICE))

    def test_reports_on_removed_instances_are_dropped(self):
        self.draining.record_drain_response(*NOTICE)
        self.draining.retain(set())
        self.assertFalse(self.draining.is_draining(*NOTICE))
