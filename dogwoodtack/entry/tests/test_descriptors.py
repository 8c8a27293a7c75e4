"""Tests of how descriptors are divided among the ports."""

import unittest

from nose2.tools import params

from dogwoodtack.entry.descriptors import FILE_DESCRIPTORS, connection_limits

# Requests under way at the load that a host of one core can carry, each with a second
# attempt, and the kept connections to the instances of a small site.
OUTGOING = 400


class ConnectionLimitsTest(unittest.TestCase):
    @params(1024, 4096, 4100, 8192, 65536)
    def test_connections_to_instances_have_a_share(self, max_descriptors):
        limits = connection_limits(max_descriptors)
        accepted = sum(limits) + limits.rejections
        available = max_descriptors - FILE_DESCRIPTORS
        left = available - accepted
        self.assertGreaterEqual(left, min(OUTGOING, 0.15 * available))
        self.assertGreater(min(limits), 0)

    @params(0, 100, 200, 210)
    def test_each_port_accepts_at_least_one_connection(self, max_descriptors):
        limits = connection_limits(max_descriptors)
        self.assertGreaterEqual(min(limits[:-1]), 1)


if __name__ == "__main__":
    unittest.main()
