"""Tests of several ways to one confirmation."""

import unittest

from nose2.tools import params

from dogwoodtack.feed.alternatives import STAGGER_S, StaggeredAttempts
from lab.virtual import VirtualLoop

SOON = STAGGER_S / 4
LATE = STAGGER_S * 1.5
NEVER = None


class StaggeredAttemptsTest(unittest.TestCase):
    @params(
        # result and time of each way; the result, when it is there, ways that began
        ([(True, SOON)] * 3, True, SOON, 1),
        ([(False, SOON), (True, SOON)], True, 2 * SOON, 2),
        ([(False, SOON)] * 3, False, 3 * SOON, 3),
        ([(True, LATE), (True, NEVER)], True, LATE, 2),
        ([(True, NEVER), (True, SOON)], True, STAGGER_S + SOON, 2),
        ([(True, NEVER), (False, SOON), (True, SOON)], True, STAGGER_S + 2 * SOON, 3),
        ([(False, LATE), (False, LATE)], False, STAGGER_S + LATE, 2),
        ([(False, NEVER), (False, NEVER)], None, NEVER, 2),
        ([(False, 0.0), (True, 0.0)], True, 0.0, 2),
        ([], False, 0.0, 0),
    )
    def test_first_confirmation_counts(self, results, expected, at_s, began):
        """A host whose own path to the store was cut could repeat no request."""
        loop = VirtualLoop()
        begun, found = [], []

        def way(is_confirmed, after_s):
            def begin(on_done):
                begun.append(after_s)
                if after_s == 0.0:
                    on_done(is_confirmed)
                elif after_s is not NEVER:
                    loop.call_later(after_s, on_done, is_confirmed)

            return begin

        StaggeredAttempts(
            loop,
            [way(*one) for one in results],
            lambda is_confirmed: found.append((is_confirmed, loop.clock.now)),
        ).begin_next()
        began_at = loop.clock.now
        loop.run_for(1.0)
        self.assertEqual(len(begun), began)
        if expected is None:
            self.assertEqual(found, [])
            return
        [(is_confirmed, at)] = found
        self.assertEqual(is_confirmed, expected)
        self.assertAlmostEqual(at - began_at, at_s)
