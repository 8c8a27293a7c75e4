"""Tests of what counts as leaving, and for how long."""

import unittest

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.draining import HOLD_S, Hint, Leaving

ONE = Hint("jobtrack", "jt-1")


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.told = []
        self.leaving = Leaving(self.clock, self.told.append)

    def sources(self):
        return {
            "own word": lambda: self.leaving.note_draining(*ONE),
            "hint": lambda: self.leaving.take_hint(ONE),
            "host list": lambda: self.leaving.take_host_list(["jt-1"]),
            "listed": lambda: self.leaving.note_listed(*ONE),
        }

    @params("own word", "hint", "host list", "listed")
    def test_any_source_counts_at_once(self, source):
        self.assertFalse(self.leaving.is_leaving(*ONE))
        self.sources()[source]()
        self.assertTrue(self.leaving.is_leaving(*ONE))
        self.assertFalse(self.leaving.is_leaving("jobtrack", "jt-2"))

    @params(("own word", 1), ("hint", 0), ("host list", 0), ("listed", 1))
    def test_only_first_hand_news_is_passed_on(self, source, count):
        self.sources()[source]()
        self.sources()[source]()
        self.assertEqual(self.told, [ONE] * count)

    @params(("own word", False, True), ("own word", True, False), ("hint", True, False))
    def test_only_a_clean_probe_ends_the_hold(self, source, takes_work, still):
        self.sources()[source]()
        self.assertEqual(self.leaving.due_probes(), [])
        self.clock.advance(HOLD_S)
        self.assertEqual(self.leaving.due_probes(), [ONE])
        self.assertEqual(self.leaving.due_probes(), [])
        self.leaving.take_probe(ONE, takes_work)
        self.assertEqual(self.leaving.is_leaving(*ONE), still)

    def test_host_list_alone_puts_back_what_it_took_out(self):
        self.leaving.take_host_list(["jt-1"])
        self.leaving.take_host_list([])
        self.assertFalse(self.leaving.is_leaving(*ONE))

    def test_removed_instances_are_forgotten(self):
        self.leaving.note_draining(*ONE)
        self.leaving.retain(set())
        self.assertFalse(self.leaving.is_leaving(*ONE))
