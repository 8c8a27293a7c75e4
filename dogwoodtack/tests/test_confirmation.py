"""Tests of the confirmation that the newest configuration is known."""

import unittest

from nose2.tools import params

from dogwoodtack.confirmation import (
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    MIN_INTERVAL_S,
    TIMEOUT_S,
    ConfigurationConfirmer,
)
from lab.virtual import VirtualLoop


class ConfirmationTest(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop()
        self.reads = []
        self.results = []
        self.confirmer = ConfigurationConfirmer(self.loop, self.reads.append)

    def confirm(self, name):
        self.confirmer.confirm(lambda is_confirmed: self.record(name, is_confirmed))

    def record(self, name, is_confirmed):
        self.results.append((name, is_confirmed))

    @params(True, False)
    def test_result_of_a_read_reaches_all_that_waited_for_it(self, is_confirmed):
        for name in "ab":
            self.confirm(name)
        self.loop.run_for(0.01)
        self.assertEqual(len(self.reads), 1)
        self.reads[0](is_confirmed)
        self.loop.run_for(2 * TIMEOUT_S)
        self.assertEqual(self.results, [("a", is_confirmed), ("b", is_confirmed)])

    def test_read_that_began_before_confirms_nothing(self):
        """It may show the store as it was before the request was sent."""
        self.confirm("a")
        self.loop.run_for(0.01)
        self.confirm("b")
        self.reads[0](True)
        self.loop.run_for(0.0)
        self.assertEqual(self.results, [("a", True)])
        self.loop.run_for(MIN_INTERVAL_S)
        self.reads[1](True)
        self.loop.run_for(0.0)
        self.assertEqual(self.results, [("a", True), ("b", True)])

    def test_reads_are_spread_while_many_ask(self):
        for number in range(100):
            self.confirm(number)
            self.loop.run_for(0.01)
            for read in self.reads:
                read(True)
        self.assertLessEqual(len(self.reads), 1.0 / MIN_INTERVAL_S + 1)
        self.loop.run_for(MIN_INTERVAL_S)
        self.reads[-1](True)
        self.loop.run_for(0.0)
        self.assertEqual(self.results, [(number, True) for number in range(100)])

    def test_few_reads_are_made_while_the_store_does_not_answer(self):
        """All hosts together would ask more than the store answers."""
        for number in range(600):
            self.confirm(number)
            self.loop.run_for(0.05)
        self.assertLessEqual(len(self.reads), 8)
        self.loop.run_for(TIMEOUT_S)
        self.assertEqual({result for _, result in self.results}, {False})
        self.assertEqual(len(self.results), 600)
        self.loop.run_for(MAX_BACKOFF_S)
        self.confirm("a")
        self.loop.run_for(MIN_INTERVAL_S)
        self.reads[-1](True)
        self.confirm("b")
        self.loop.run_for(MIN_INTERVAL_S)
        self.reads[-1](True)
        self.loop.run_for(0.0)
        self.assertEqual(self.results[-2:], [("a", True), ("b", True)])

    def test_failing_callback_keeps_no_other_from_its_result(self):
        self.confirmer.confirm(lambda is_confirmed: 1 / 0)
        self.confirm("b")
        self.loop.run_for(0.01)
        self.reads[0](True)
        with self.assertRaises(ZeroDivisionError):
            self.loop.run_for(0.0)
        self.loop.run_for(0.0)
        self.assertEqual(self.results, [("b", True)])

    @params(True, False)
    def test_read_without_a_reply_in_time(self, is_confirmed):
        self.confirm("a")
        self.loop.run_for(TIMEOUT_S + 0.01)
        self.assertEqual(self.results, [("a", False)])
        self.reads[0](is_confirmed)
        self.loop.run_for(0.0)
        self.assertEqual(self.results, [("a", False)])
        self.loop.run_for(FIRST_BACKOFF_S)
        self.confirm("b")
        self.loop.run_for(0.01)
        self.reads[1](True)
        self.loop.run_for(0.0)
        self.assertEqual(self.results[1:], [("b", True)])

    def test_back_off_ends_when_the_store_is_heard_of(self):
        """Look-ups were not repeated for 8 s after the store was back."""
        for _ in range(3):
            self.confirm("a")
            self.loop.run_for(0.01)
            self.reads[-1](False)
            self.loop.run_for(MAX_BACKOFF_S)
        self.confirm("a")
        self.loop.run_for(0.01)
        self.reads[-1](False)
        self.loop.run_for(MIN_INTERVAL_S)
        self.assertTrue(self.confirmer.is_failing)
        self.confirmer.end_backoff()
        self.assertFalse(self.confirmer.is_failing)
        reads = len(self.reads)
        self.confirm("b")
        self.loop.run_for(0.01)
        self.assertEqual(len(self.reads), reads + 1)
        self.reads[-1](True)
        self.loop.run_for(0.0)
        self.assertEqual(self.results[-1], ("b", True))

    def test_longest_back_off_can_be_set(self):
        self.confirmer = ConfigurationConfirmer(self.loop, self.reads.append, 1.0)
        for number in range(4):
            self.confirm("a")
            self.loop.run_for(0.01)
            self.assertEqual(len(self.reads), number + 1)
            self.reads[-1](False)
            self.loop.run_for(1.0)

    def test_requests_at_the_moment_of_a_read_wait_for_the_next(self):
        """Rounding of times denied one in some of them its repeat."""
        for number in range(200):
            self.loop.run_for(1.0 + number / 7)
            self.confirm("a")
            self.loop.run_for(0.0)
            self.confirm("b")
            self.loop.run_for(MIN_INTERVAL_S / 2)
            self.reads[-1](True)
            self.loop.run_for(MIN_INTERVAL_S)
            self.reads[-1](True)
            self.loop.run_for(0.0)
        self.assertEqual({result for _, result in self.results}, {True})
        self.assertEqual(len(self.results), 400)
