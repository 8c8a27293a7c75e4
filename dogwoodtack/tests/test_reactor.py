"""Cancelled timers do not accumulate, and reused descriptor numbers are safe."""

import unittest
from unittest.mock import Mock

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.reactor import MIN_COMPACTION_TIMERS, Reactor

TIMERS_PER_S = 500
DEADLINE_S = 3600.0


class ReactorTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.poller = Mock()
        self.reactor = Reactor(self.clock, self.poller)

    def test_cancelled_timers_do_not_accumulate(self):
        for _ in range(60 * TIMERS_PER_S):
            timer = self.reactor.call_later(DEADLINE_S, self.fail)
            self.clock.advance(1 / TIMERS_PER_S)
            timer.cancel()
        self.assertLessEqual(len(self.reactor._timers), MIN_COMPACTION_TIMERS)

    def test_due_timers_run_in_order(self):
        ran = []
        for number in reversed(range(3 * MIN_COMPACTION_TIMERS)):
            self.reactor.call_later(number, ran.append, number)
        self.clock.advance(3 * MIN_COMPACTION_TIMERS)
        self.reactor._run_due_timers()
        self.assertEqual(ran, list(range(3 * MIN_COMPACTION_TIMERS)))

    @params(("descriptor reused in the same iteration", True, 0), ("own", False, 1))
    def test_hangup_reaches_only_its_own_connection(self, _name, is_watched, calls):
        owner = Mock()
        self.reactor._owners[7] = owner
        self.poller.isReading.return_value = is_watched
        self.poller.isWriting.return_value = False
        self.reactor._on_disconnect(7)
        self.assertEqual(owner.on_hangup.call_count, calls)
