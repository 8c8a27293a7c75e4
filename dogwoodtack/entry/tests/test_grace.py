"""Tests of what a planned stop leaves time for."""

import unittest

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.entry.grace import MEMORY_S, GracePeriod


class GracePeriodTest(unittest.TestCase):
    @params(
        # seconds that requests took, seconds left of the stop and to the deadline
        ((), 2.0, 2.0, True),
        ((), 2.0, 2.5, False),
        ((0.3,), 2.0, 2.5, True),
        ((0.3,), 0.4, 2.5, False),
        ((0.3, 1.8, 0.3), 2.0, 2.5, False),
        ((0.3, 1.8, 0.3), 2.6, 4.0, True),
        # It ends at its deadline at the latest.
        ((3.0,), 2.0, 1.9, True),
    )
    def test_request_is_sent_if_it_ends_in_time(
        self, taken_s, left_s, deadline_s, expected
    ):
        clock = VirtualClock()
        grace = GracePeriod(clock)
        for seconds in taken_s:
            grace.record("book", seconds)
        grace.record("look", 0.1)
        grace.begin(left_s)
        deadline = clock.monotonic() + deadline_s
        self.assertEqual(grace.can_finish("book", deadline), expected)

    def test_host_that_does_not_stop_sends_every_request(self):
        grace = GracePeriod(VirtualClock())
        self.assertTrue(grace.can_finish("book", 1e9))

    @params((1.0, False), (1.5, False), (3.0, True))
    def test_slow_request_is_forgotten(self, memories, expected):
        clock = VirtualClock()
        grace = GracePeriod(clock)
        grace.record("book", 3.0)
        for _ in range(int(10 * memories)):
            clock.advance(MEMORY_S / 10)
            grace.record("book", 0.3)
        grace.begin(2.0)
        self.assertEqual(grace.can_finish("book", clock.monotonic() + 9.0), expected)


if __name__ == "__main__":
    unittest.main()
