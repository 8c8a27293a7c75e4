"""Tests of the learned speeds of instances."""

import unittest

from nose2.tools import params

from dogwoodtack.placement.balancing import InstanceUse, even_cost
from dogwoodtack.placement.speeds import MAX_SLOWNESS, MIN_RESPONSES, Speeds


def learn(slow_factor, responses, kinds=("r-1",)):
    """Return the speeds after so many responses of each of ten instances."""
    speeds = Speeds()
    for number in range(responses):
        kind = kinds[number % len(kinds)]
        base_s = 0.1 * (1 + 9 * kinds.index(kind))
        for name in range(10):
            factor = slow_factor if name == 0 else 1.0
            speeds.record("s", kind, f"i-{name}", base_s * factor)
    return speeds


class SpeedsTest(unittest.TestCase):
    @params((1.0, 0.9, 1.1), (2.0, 1.6, 2.1), (50.0, MAX_SLOWNESS, MAX_SLOWNESS))
    def test_slow_instances_stand_out(self, factor, low, high):
        found = learn(factor, 40).slowness("i-0")
        self.assertGreaterEqual(found, low)
        self.assertLessEqual(found, high)

    def test_kinds_that_take_longer_make_no_instance_slow(self):
        speeds = learn(1.0, 40, ("r-1", "r-2"))
        self.assertAlmostEqual(speeds.slowness("i-3"), 1.0, delta=0.1)

    def test_instance_that_has_warmed_up_counts_as_usual_again(self):
        speeds = learn(3.0, 40)
        for number in range(30):
            for name in range(10):
                speeds.record("s", "r-1", f"i-{name}", 0.1)
        self.assertLess(speeds.slowness("i-0"), 1.2)

    def test_few_responses_and_times_of_zero_show_nothing(self):
        self.assertEqual(learn(3.0, MIN_RESPONSES - 1).slowness("i-0"), 1.0)
        speeds = Speeds()
        for _ in range(20):
            speeds.record("s", "r-1", "i-0", 0.0)
        self.assertEqual(speeds.slowness("i-0"), 1.0)

    def test_slow_instance_counts_less_but_gets_requests_while_idle(self):
        usual = InstanceUse(1, 4, False, 0.03, False, 0.2, True)
        slow = usual._replace(slowness=2.0)
        self.assertGreater(even_cost(slow), even_cost(usual))
        self.assertLess(even_cost(slow._replace(load=0)), even_cost(usual))


if __name__ == "__main__":
    unittest.main()
