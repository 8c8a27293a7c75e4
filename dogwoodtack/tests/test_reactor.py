"""Timers that were taken back do not pile up, and a reused number is safe."""

import unittest
from unittest.mock import Mock

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.reactor import MIN_COMPACTION_TIMERS, Reactor

RATE = 500
DEADLINE_S = 3600.0


class ReactorTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.poller = Mock()
        self.reactor = Reactor(self.clock, self.poller)

    def test_cancelled_timers_do_not_pile_up(self):
        for _ in range(60 * RATE):
            timer = self.reactor.call_later(DEADLINE_S, self.fail)
            self.clock.advance(1 / RATE)
            timer.cancel()
        self.assertLessEqual(len(self.reactor._timers), MIN_COMPACTION_TIMERS)

    def test_live_timers_run_in_order(self):
        seen = []
        for number in reversed(range(3 * MIN_COMPACTION_TIMERS)):
            self.reactor.call_later(number, seen.append, number)
        self.clock.advance(3 * MIN_COMPACTION_TIMERS)
        self.reactor._run_due_timers()
        self.assertEqual(seen, list(range(3 * MIN_COMPACTION_TIMERS)))

    @params(("closed in the same turn", True, 0), ("its own", False, 1))
    def test_hang_up_ends_the_connection_it_is_for(self, _name, is_known, calls):
        owner = Mock()
        self.reactor._owners[7] = owner
        self.poller.isReading.return_value = is_known
        self.poller.isWriting.return_value = False
        self.reactor._on_disconnect(7)
        self.assertEqual(owner.on_hangup.call_count, calls)
