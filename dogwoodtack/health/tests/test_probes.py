"""Assignment of probes to entry hosts, and their cost."""

import unittest

from nose2.tools import params

from ..probes import PROBE_COST_S, probe_assignments

MAX_SLOT_SHARE = 0.02


class ProbeTests(unittest.TestCase):
    @params((1, 20, 2), (36, 20, 2), (36, 6, 2), (36, 25, 6), (36, 6, 6), (36, 16, 1))
    def test_probes_cost_at_most_two_percent(self, hosts, instances, slots):
        names = [f"host-{number}" for number in range(hosts)]
        sizes = {f"instance-{number}": slots for number in range(instances)}
        busy = dict.fromkeys(sizes, 0.0)
        for name in names:
            for duty in probe_assignments(name, names, "jobtrack", sizes):
                busy[duty.instance] += PROBE_COST_S / duty.interval_s
        for share in busy.values():
            self.assertGreater(share, 0.0)
            self.assertLessEqual(share / slots, MAX_SLOT_SHARE / 2)

    def test_lost_host_moves_only_its_own_probes(self):
        names = [f"host-{number}" for number in range(36)]
        sizes = {f"instance-{number}": 2 for number in range(20)}
        for name in names[1:]:
            before = {
                one.instance for one in probe_assignments(name, names, "s", sizes)
            }
            after = {
                one.instance for one in probe_assignments(name, names[1:], "s", sizes)
            }
            self.assertLessEqual(before, after)
