"""Tests of which share of the fleet a host hears."""

import unittest

from nose2.tools import params

from dogwoodtack.fleet.reach import FleetReach, HostCounts, Party

START = 10.0
SERVING = 6
HOSTS = 36


def run_zone(until, cut=frozenset(), cut_at=START, is_ready=True):
    """Return the view of a host with 36 others in its zone, at a time."""
    reach = FleetReach("a")
    for number in range(HOSTS):
        interval_s = 0.4 if number < SERVING else 2.0
        when = START - 5.0 + interval_s * number / HOSTS
        while when < until:
            if number not in cut or when < cut_at:
                reach.on_heartbeat(f"h-{number}", interval_s, is_ready, when)
            when += interval_s
    return reach


class FleetReachTest(unittest.TestCase):
    @params(
        # seconds since a cut, hosts cut, silent hosts at least and at most
        (0.15, range(36), 0, 0),
        # Not even reserve hosts may count as heard when all others are silent.
        (1.1, range(36), 33, 36),
        (20.0, range(36), 36, 36),
        (300.0, range(36), 36, 36),
        (700.0, range(36), 0, 0),
        (1.1, range(1), 1, 1),
        (29.0, range(1), 1, 1),
        # Of others, a few seconds of doubt; they have 2 s to be heard again.
        (3.0, range(2), 2, 2),
        # A single host has rather ended.
        (31.0, range(1), 0, 0),
        (3.2, range(0, 36, 3), 12, 12),
        (300.0, range(0, 36, 3), 12, 12),
        (3.0, range(20, 21), 0, 0),
        (8.0, range(20, 21), 1, 1),
    )
    def test_silent_hosts_of_the_zone(self, elapsed_s, cut, least, most):
        now = START + elapsed_s
        counts = run_zone(now, cut).local_counts(now)
        self.assertTrue(least <= counts.silent <= most, counts)

    def test_host_that_stopped_as_planned_is_not_silent(self):
        reach = run_zone(START + 9.0, range(36), is_ready=False)
        self.assertEqual(reach.local_counts(START + 9.0), HostCounts(1, 0))

    def test_host_that_others_hear_is_not_silent(self):
        reach = run_zone(START + 20.0, range(2))
        missing = [Party("h-0", False), Party("h-1", False)]
        self.assertEqual(reach.missing(START + 20.0), missing)
        reach.on_relayed(missing[0], None, START + 20.0)
        self.assertEqual(reach.local_counts(START + 20.0).silent, 1)
        # It is still missed, or else nobody would pass on its reports.
        self.assertEqual(reach.missing(START + 20.0), missing)

    def test_zone_that_others_hear_is_not_silent(self):
        reach = FleetReach("a")
        reach.on_zone_report("b", HostCounts(3, 0), START)
        self.assertEqual(reach.missing(START + 1.0), [Party("b", True)])
        reach.on_relayed(Party("b", True), HostCounts(3, 1), START + 1.0)
        self.assertEqual(reach.share(START + 1.0), 3 / 4)
        self.assertEqual(reach.share(START + 2.0), 1 / 4)

    @params(
        # seconds since the last report of zone b, hosts it reported, expected share
        (0.1, HostCounts(3, 0), 1.0),
        (0.1, HostCounts(3, 1), 3 / 4),
        (0.7, HostCounts(3, 0), 1 / 4),
        (601.0, HostCounts(3, 0), 1.0),
        # A host of an earlier build reports no counts; its zone counts as heard.
        (0.1, None, 1.0),
        (0.7, None, 1 / 2),
    )
    def test_other_zone(self, elapsed_s, counts, expected):
        reach = FleetReach("a")
        reach.on_zone_report("b", counts, START)
        self.assertEqual(reach.share(START + elapsed_s), expected)

    @params(
        # seconds since the records were read, whether a host was heard, share
        (0.0, False, 1 / 4),
        (40.0, False, 1 / 4),
        (0.0, True, 2 / 4),
        # The other records are those of hosts that ended long ago.
        (40.0, True, 2 / 2),
    )
    def test_hosts_known_from_the_store(self, elapsed_s, is_heard, expected):
        """A host that starts while it is cut off took the whole limit."""
        reach = FleetReach("a")
        for number in range(3):
            reach.add_record(f"h-{number}", "a")
        reach.share(START)
        if is_heard:
            reach.on_heartbeat("h-0", 2.0, True, START + elapsed_s)
        self.assertEqual(reach.share(START + elapsed_s), expected)
