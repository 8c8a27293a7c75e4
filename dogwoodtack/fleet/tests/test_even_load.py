"""Replays of a service whose requests may all run once only."""

import unittest

from nose2.tools import params

from dogwoodtack.fleet.tests.zones import START, Load, World
from dogwoodtack.placement import BalancingSetting

# 58 instances of 4 slots, 9 hosts; 8 in 100 instances fail at any time, for 5 s each,
# and some shed their work; each zone's demand swings by half.
PUBLISHER = Load(
    instances=(20, 19, 19),
    slots=4,
    service_time_s=0.27,
    objective_s=0.9,
    abandon_after_s=4.0,
    faulty_ratio=1.0,
    failure_ratio=0.6,
    unhealthy_span_s=(5.0, 5.0),
    unhealthy_period_s=60.0,
    shedding_ratio=0.05,
    refuses_when_full=True,
    swing=0.5,
    zone_delay_s=0.0049,
    non_idempotent_ratio=1.0,
    balancing=BalancingSetting.EVEN,
    duration_s=20.0,
)
SOUND_AFTER_S = 6.0
MAX_IDLE_S = 2.0


# Half of the instances fail at any time, for 4 s each.
MANY_FAILURES = PUBLISHER._replace(
    failure_ratio=0.9,
    unhealthy_span_s=(4.0, 4.0),
    unhealthy_period_s=8.0,
    shedding_ratio=0.0,
    swing=0.0,
    duration_s=16.0,
)
FLOOR_SHARE = 0.7
SOUND_AFTER_FAILURE_S = 2.0
STEP_S = 0.5


def least_share_in_use(world):
    """Return the least share of the sound instances that get requests within 2 s.

    An instance is sound from 2 s after each request that it has failed.
    """
    begin, end = START + SOUND_AFTER_S, START + world.load.duration_s - MAX_IDLE_S
    shares = []
    for step in range(int((end - begin) / STEP_S)):
        since = begin + step * STEP_S
        until = since + MAX_IDLE_S
        sound = [
            one
            for one in world.servers.values()
            if not any(
                since - SOUND_AFTER_FAILURE_S < at < until for at in one.failures
            )
        ]
        used = [any(since <= at < until for at in one.arrivals) for one in sound]
        shares.append(sum(used) / len(used))
    return min(shares)


class PublisherTest(unittest.TestCase):
    @params((202.0, 1), (202.0, 2), (290.0, 1), (290.0, 2))
    def test_sound_instances_are_used_while_many_requests_fail(self, per_s, seed):
        """An instance got nothing for 4 s after a failure, and others were overrun."""
        load = MANY_FAILURES._replace(requests_per_s=(per_s / 3,) * 3)
        world = World(load, seed)
        count = world.run()
        self.assertGreaterEqual(least_share_in_use(world), FLOOR_SHARE)
        self.assertGreater(count["on_time"], 0.85 * count["requests"])

    @params((202.0, 1), (202.0, 2), (290.0, 1), (290.0, 2))
    def test_all_sound_instances_get_requests(self, per_s, seed):
        """Packed load leaves most instances without a request and fills the others."""
        world = World(PUBLISHER._replace(requests_per_s=(per_s / 3,) * 3), seed)
        count = world.run()
        idle = [
            (one.name, span)
            for one in world.servers.values()
            for span in one.idle_spans(MAX_IDLE_S, SOUND_AFTER_S)
        ]
        self.assertEqual(idle, [])
        self.assertLess(count["refused"], 0.01 * count["attempts"])
        self.assertLess(count["failed"], 0.02 * count["requests"])
        self.assertGreater(count["on_time"], 0.975 * count["requests"])

    @params(
        # Zone a is short; all zones are nearly full.
        ((8, 25, 25), 290.0, 0.5, 0.015),
        ((4, 27, 27), 290.0, 0.5, 0.015),
        ((8, 25, 25), 450.0, 0.5, 0.045),
        ((20, 19, 19), 600.0, 0.2, 0.09),
    )
    def test_hosts_of_a_short_zone_leave_its_last_slots(
        self, instances, per_s, swing, share
    ):
        """They all see the same slot become free, and other zones have room."""
        load = PUBLISHER._replace(
            instances=instances, requests_per_s=(per_s / 3,) * 3, swing=swing
        )
        count = World(load, 1).run()
        self.assertLess(count["refused"], share * count["attempts"])
        self.assertGreater(count["on_time"], 0.975 * count["requests"])

    @params(1, 2)
    def test_slow_instances_get_less_but_some(self, seed):
        """One in five takes 2.5 times as long; 5.4 in 100 were late before."""
        load = PUBLISHER._replace(
            requests_per_s=(290.0 / 3,) * 3, slow_ratio=0.2, objective_s=0.7
        )
        world = World(load, seed)
        count = world.run()
        self.assertLess(count["late"], 0.046 * count["requests"])
        for one in world.servers.values():
            self.assertEqual(one.idle_spans(MAX_IDLE_S, SOUND_AFTER_S), [], one.name)

    def test_even_load_begins_without_a_setting(self):
        """Until it does, load is packed: 300 requests at one host or its peers."""
        load = PUBLISHER._replace(
            balancing=BalancingSetting.AUTO,
            requests_per_s=(97.0,) * 3,
            duration_s=30.0,
            unhealthy_period_s=1000.0,
        )
        world = World(load, 1)
        world.run()
        late = [
            span
            for one in world.servers.values()
            for span in one.idle_spans(MAX_IDLE_S, SOUND_AFTER_S)
            if span[1] > START + 20.0 and span[1] - max(span[0], START + 18.0) > 2.0
        ]
        self.assertEqual(late, [])


if __name__ == "__main__":
    unittest.main()
