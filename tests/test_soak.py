"""Short soak runs with fixed seeds; `python -m soak.soak --seeds=50` runs more."""

import unittest

from nose2.tools import params

from soak.soak import run_soak

# A seed that has failed is added here, with its cause in a comment.
SEEDS = (1, 2)
LENGTH_S = 8.0


class SoakTest(unittest.TestCase):
    @params(*SEEDS)
    def test_promises_hold_under_faults(self, seed):
        result = run_soak(seed, LENGTH_S)
        self.assertEqual(result.violations, [], result.faults)
