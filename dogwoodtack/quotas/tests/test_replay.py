"""Replays of organisations that exceed their limits, at all hosts together."""

import unittest

from nose2.tools import params

from .replay import Load, World, bound, most_in_window

MOVING = ((1.0, 0.0, 0.0), (0.0, 1.0, 0.0), (0.0, 0.0, 1.0))
CUT = 0.35


class BoundTest(unittest.TestCase):
    """Too many requests run when hosts learn of each other's too late."""

    @params(
        (Load(2, 2, 11),),
        (Load(2, 0.2, 4),),
        (Load(20, 20, 11, zone_weights=MOVING),),
        (Load(100, 10, 11),),
        (Load(400, 400, 11),),
        (Load(400, 40, 4),),
        (Load(100, 100, 11, restart_at_s=5.0),),
        (Load(100, 100, 11, killed=1),),
        (Load(2, 2, 11, hosts=37, cut_ratio=CUT, cut_at_s=2.0, duration_s=9.0),),
        (Load(20, 20, 11, hosts=37, cut_ratio=CUT, cut_at_s=3.0, duration_s=9.0),),
        (Load(100, 100, 11, hosts=37, cut_ratio=CUT, cut_at_s=2.5, duration_s=9.0),),
    )
    def test_bound_of_any_window(self, load):
        for seed in range(2):
            world = World(load, seed).run()
            most = most_in_window(world.admitted)
            self.assertLessEqual(most, bound(load.rate_per_s, load.burst))

    @params(20, 100)
    def test_limit_that_falls_below_the_load(self, rate):
        load = Load(rate, rate, 4, new_rate_per_s=rate / 5)
        world = World(load, 1).run()
        # Hosts learn of the new limit within 0.3 s.
        most = most_in_window(world.admitted, world.cut_at + 0.3)
        self.assertLessEqual(most, bound(rate / 5, rate / 5))


class RefusalTest(unittest.TestCase):
    """A request below the limit is refused while other hosts' part is unused."""

    @params(
        (Load(2, 2, duration_s=60.0),),
        (Load(20, 20, zone_weights=MOVING, duration_s=40.0),),
        (Load(100, 10, duration_s=20.0),),
        (Load(400, 40, duration_s=10.0),),
        (Load(400, 400, zone_weights=MOVING, duration_s=10.0),),
    )
    def test_usual_demand_is_admitted(self, load):
        world = World(load, 3).run()
        refused = sum(when > world.begin_at for when in world.refused)
        self.assertLessEqual(refused, len(world.offered) / 1000)

    def test_killed_hosts_leave_enough_for_the_others(self):
        world = World(Load(100, 100, killed=1, duration_s=20.0), 2).run()
        refused = sum(when > world.begin_at for when in world.refused)
        self.assertLessEqual(refused, len(world.offered) / 100)

    def test_excess_does_not_starve_the_limit(self):
        """Overshoot and debt in turn would leave much of the limit unused."""
        load = Load(400, 40, 11)
        world = World(load, 1).run()
        surge = [when for when in world.admitted if when > world.begin_at + 3.0]
        self.assertGreater(most_in_window(surge), 0.9 * (400 * 5 + 40))
