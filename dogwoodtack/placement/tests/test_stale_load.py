"""Replays of many hosts that choose at once from old reports."""

import unittest

from nose2.tools import params

from dogwoodtack.placement.tests.stale_load import (
    Replay,
    Setup,
    least,
    of_random,
    packed,
)


class StaleLoadTest(unittest.TestCase):
    """The ways to choose that docs/design/even-load.md compares."""

    @params((10, 0.25), (10, 1.0), (100, 0.25), (100, 1.0))
    def test_two_random_are_refused_least_with_old_reports(self, choosers, report_s):
        """With reports this old all hosts send to the same seemingly idle instances."""
        setup = Setup(choosers, report_s, 290.0)
        two, all_known, fullest = (
            Replay(setup, way, 1).run() for way in (of_random(2), least, packed)
        )
        self.assertLess(two.refused_share, 0.1)
        self.assertLess(two.refused_share, 0.5 * all_known.refused_share)
        self.assertLess(all_known.refused_share, fullest.refused_share)

    @params(1, 10)
    def test_least_loaded_spreads_well_with_new_reports(self, choosers):
        figures = Replay(Setup(choosers, 0.01, 290.0), least, 1).run()
        self.assertLess(figures.refused_share, 0.02)
        self.assertLess(figures.busiest_ratio, 3.0)


if __name__ == "__main__":
    unittest.main()
