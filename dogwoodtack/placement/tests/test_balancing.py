"""Tests of when load is spread evenly, and over which instances."""

import unittest

from nose2.tools import params

from dogwoodtack.placement import BalancingSetting, RequestMix
from dogwoodtack.placement.balancing import (
    MIN_MIX_REQUESTS,
    Balancing,
    BalancingModes,
    InstanceUse,
    RecentSends,
    even_cost,
)

NOW = 100.0
SOUND = InstanceUse(1, 4, False, 0.03, False, 0.2, True)


def send(modes, share, seconds, begin=NOW, per_s=100):
    """Record requests of which a share is idempotent, and return the modes seen."""
    seen = []
    for number in range(int(per_s * seconds)):
        is_idempotent = int((number + 1) * share) > int(number * share)
        modes.record_request("s", is_idempotent, begin + number / per_s)
        seen.append(modes.mode("s"))
    return seen


class ModeTest(unittest.TestCase):
    def setUp(self):
        self.modes = BalancingModes()
        self.modes.on_routes({"s"}, {"s"})

    @params((0.0, "even"), (0.12, "even"), (0.18, "packed"), (0.24, "packed"))
    def test_share_of_idempotent_requests_decides(self, share, expected):
        """Mixed services were served well while packed and have to stay so."""
        self.assertEqual(send(self.modes, share, 60)[-1], expected)

    @params((0.0, 0.19), (0.14, 0.16), (0.05, 0.18))
    def test_a_few_idempotent_requests_at_times_do_not_make_it_flap(self, low, high):
        seen = []
        for part in range(12):
            share = high if part % 2 else low
            seen += send(self.modes, share, 10, NOW + 10 * part)
        changes = sum(1 for a, b in zip(seen, seen[1:]) if a is not b)
        self.assertEqual((changes, seen[-1]), (1, Balancing.EVEN))

    def test_many_idempotent_requests_make_it_packed_again(self):
        send(self.modes, 0.0, 30)
        self.assertEqual(send(self.modes, 0.3, 90, NOW + 30)[-1], Balancing.PACKED)

    def test_peers_requests_count(self):
        """A host with few requests of its own follows the others of its zone."""
        for second in range(20):
            mixes = [RequestMix("s", MIN_MIX_REQUESTS, 3.0)]
            self.modes.on_peer_mixes("h-2", mixes, NOW + second)
            self.modes.record_request("s", True, NOW + second)
        self.assertEqual(self.modes.mode("s"), Balancing.EVEN)

    def test_service_without_idempotent_route_is_even_from_the_start(self):
        """After a restart of all hosts there is no request to decide by."""
        self.modes.on_routes({"s", "t"}, {"s"})
        self.assertEqual(self.modes.mode("t"), Balancing.EVEN)
        self.modes.on_routes({"s", "t"}, {"s", "t"})
        self.assertEqual(self.modes.mode("t"), Balancing.EVEN)

    @params((BalancingSetting.EVEN, 0.9), (BalancingSetting.PACKED, 0.0))
    def test_setting_goes_before_requests(self, setting, share):
        self.modes.setting = setting
        self.assertEqual(send(self.modes, share, 30)[-1], setting)

    def test_changes_are_told_once(self):
        send(self.modes, 0.0, 30)
        self.assertEqual(self.modes.pop_changes(), [("s", Balancing.EVEN, 0.0)])
        self.assertEqual(self.modes.pop_changes(), [])
        self.modes.setting = BalancingSetting.PACKED
        self.assertEqual(self.modes.pop_changes(), [("s", Balancing.PACKED, 0.0)])


class EvenCostTest(unittest.TestCase):
    @params(
        # Slots of a large instance count in proportion.
        (SOUND._replace(load=2, slots=4),),
        (SOUND._replace(is_warming=True),),
        # One failure outweighs an idle instance.
        (SOUND._replace(load=0, unhealthy_probability=0.25, last_failed=True),),
        (SOUND._replace(since_seen_s=0.0),),
    )
    def test_sound_idle_instances_come_first(self, other):
        self.assertLess(even_cost(SOUND), even_cost(other))

    def test_risk_is_forgotten_once_the_instance_counts_as_sound(self):
        """Nothing else tests it, so it would never get a request again."""
        failed = SOUND._replace(load=0, unhealthy_probability=0.6, last_failed=True)
        self.assertLess(even_cost(failed._replace(since_seen_s=6.0)), even_cost(SOUND))

    def test_sends_that_ended_early_are_counted_for_a_while(self):
        sends = RecentSends()
        for number in range(4):
            sends.record("i-1", NOW + 0.1 * number, 0.25)
        self.assertEqual(sends.count("i-1", NOW + 0.15), 2)
        self.assertEqual(sends.count("i-1", NOW + 1.0), 0)
        self.assertEqual(sends.count("i-2", NOW), 0)


if __name__ == "__main__":
    unittest.main()
