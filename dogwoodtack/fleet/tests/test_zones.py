"""Replays of loads on several zones: what the hosts' joint placement must keep."""

import itertools
import unittest

from nose2.tools import params

from dogwoodtack.fleet.tests.zones import START, Load, World, replay_zones
from soak.soak import LIMIT_FACTOR, LIMIT_SLACK, LIMIT_WINDOW_S, most_in_window

LIGHT = Load(requests_per_s=(14.0, 13.0, 15.0))
# A third of the instances' time is lost to faults; the load takes slightly less than
# the rest.
FULL = Load(instances=(5, 4, 4), requests_per_s=(20.0, 19.0, 22.0), faulty_ratio=0.6)
# The load is about as much as the healthy instances can serve.
SATURATED = Load(
    instances=(5, 4, 4), requests_per_s=(24.0, 22.0, 26.0), faulty_ratio=0.8
)
# The load doubles for some seconds.
PEAK = Load(requests_per_s=(18.0, 17.0, 20.0), faulty_ratio=0.6, peak_factor=2.2)

# A small service: a zone's only instance is unhealthy at times while other zones have
# free slots.
SMALL = Load(
    instances=(2, 3, 1),
    requests_per_s=(8.0, 8.0, 9.0),
    service_time_s=0.2,
    objective_s=0.6,
    abandon_after_s=4.0,
    faulty_ratio=0.6,
)
# All zones have more work than the instances that aren't limited can take.
LIMITED = Load(
    instances=(5, 4, 4),
    requests_per_s=(24.0, 24.0, 24.0),
    faulty_ratio=0.1,
    duration_s=15.0,
)
# Zones b and c have no instance of the service.
ONE_ZONE = Load(
    instances=(4, 0, 0),
    requests_per_s=(6.0, 6.0, 6.0),
    faulty_ratio=0.0,
    limited_ratio=1.0,
    duration_s=15.0,
)
# The users' bound holds from this time after the limit was first named.
LIMIT_STABLE_S = 3.0


class RateLimitTest(unittest.TestCase):
    """Instances in need name a limit for all hosts together."""

    @params(
        *itertools.product(
            (LIMITED, LIMITED._replace(lost_ratio=0.3), ONE_ZONE),
            (0.3, 1.2, 6.0),
            (1, 2, 3),
        )
    )
    def test_all_hosts_together_keep_to_it(self, load, limit, seed):
        world = World(load._replace(rate_limit_per_s=limit), seed)
        world.run()
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit + LIMIT_SLACK
        for one in world.servers.values():
            if one.rate_limit_per_s is not None:
                begin = START + LIMIT_STABLE_S
                times = [at for at in one.arrivals if at >= begin]
                most = most_in_window(times, LIMIT_WINDOW_S)
                self.assertLessEqual(most, allowed, one.name)

    @params(1, 2, 3)
    def test_work_that_waits_uses_most_of_it(self, seed):
        world = World(LIMITED._replace(rate_limit_per_s=1.2), seed)
        world.run()
        limited = [one for one in world.servers.values() if one.rate_limit_per_s]
        arrivals = sum(len(one.arrivals) for one in limited)
        share = arrivals / (1.2 * LIMITED.duration_s * len(limited))
        self.assertGreater(share, 0.7)

    @params(1, 2, 3)
    def test_zones_without_own_instances_have_a_part_of_it(self, seed):
        load = ONE_ZONE._replace(rate_limit_per_s=3.0)
        world = World(load, seed)
        count = world.run()
        self.assertGreater(count["other_zone"], 0.5 * count["attempts"])


class ZonesTest(unittest.TestCase):
    @params(1, 2, 3)
    def test_light_load_is_served_locally_and_on_time(self, seed):
        count = replay_zones(LIGHT, seed)
        self.assertGreater(count["on_time"], 0.99 * count["requests"])
        self.assertLess(count["other_zone"], 0.02 * count["attempts"])

    @params((FULL, 1), (FULL, 2), (SATURATED, 1), (SATURATED, 2), (SATURATED, 3))
    def test_hosts_of_full_zones_do_not_contend_for_the_same_slots(self, load, seed):
        """Every zone is full and learns of the load on other zones' slots too late."""
        count = replay_zones(load, seed)
        self.assertLess(count["over_slots"], 0.2 * count["attempts"])
        self.assertLess(count["other_zone"], 0.25 * count["attempts"])

    @params(
        (FULL, 0.97, 1),
        (FULL, 0.97, 2),
        (PEAK, 0.95, 1),
        (PEAK, 0.95, 2),
        (SMALL, 0.97, 3),
        (SMALL, 0.97, 6),
        (SMALL, 0.97, 8),
    )
    def test_late_requests_are_served_with_remaining_capacity(self, load, share, seed):
        """Instances become unhealthy and healthy again, so capacity comes and goes.

        Failed requests are not counted: failures at an instance that has just become
        unhealthy depend on health estimates, not on where requests are queued.
        """
        count = replay_zones(load, seed)
        served = count["on_time"] + count["late"]
        self.assertGreater(served, share * (served + count["rejected"]))

    @params(1, 2, 3)
    def test_saturated_zones_serve_most_on_time_and_reject_few_late(self, seed):
        count = replay_zones(SATURATED, seed)
        served = count["on_time"] + count["late"]
        self.assertGreater(count["on_time"], 0.9 * served)
        self.assertGreater(served, 0.85 * min(count["requests"], count["capacity"]))
        self.assertLess(count["rejected_late"], 0.05 * count["requests"])


if __name__ == "__main__":
    unittest.main()
