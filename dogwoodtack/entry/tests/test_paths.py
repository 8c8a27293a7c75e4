"""Tests of the monitor of a host's paths to the instances."""

import errno
import random
import unittest
from unittest import mock

from nose2.tools import params

from dogwoodtack.entry import paths
from dogwoodtack.entry.paths import PROBE_INTERVAL_S, PathMonitor
from dogwoodtack.misc import Address
from dogwoodtack.placement import (
    HealthTracker,
    Instance,
    InstanceChange,
    InstanceRegistry,
    Observation,
)
from dogwoodtack.position import StorePosition


class FakeReactor:
    """Collects timers, and connects to the addresses in `reached` when asked to."""

    def __init__(self):
        self.clock = self
        self.now = 100.0
        self.timers = []
        self.connects = []
        self.reached = set()
        self.error = OSError(errno.ETIMEDOUT, "timed out")

    def monotonic(self):
        return self.now

    def call_later(self, delay_s, fn, *args):
        self.timers.append((self.now + delay_s, fn, args))

    def connect(self, reactor, address, timeout_s, on_done):
        self.connects.append((address, on_done))

    def run(self, seconds):
        """Finish connection attempts and run the timers of some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.01
            connects, self.connects = self.connects, []
            for address, on_done in connects:
                if address in self.reached:
                    on_done(mock.Mock(), None)
                else:
                    on_done(None, self.error)
            due = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            for _, fn, args in due:
                fn(*args)


class PathMonitorTest(unittest.TestCase):
    def setUp(self):
        self.reactor = FakeReactor()
        patch = mock.patch.object(paths, "ConnectAttempt", self.reactor.connect)
        patch.start()
        self.addCleanup(patch.stop)

    def make_monitor(self, count):
        self.instances = [
            Instance(f"i-{n}", "s", Address("h", n), "a", 2, False, 0.0, 0)
            for n in range(count)
        ]
        self.reactor.reached = {one.address for one in self.instances}
        registry = InstanceRegistry()
        at = StorePosition(1, 1)
        registry.apply([InstanceChange(one.id, at, one) for one in self.instances], at)
        self.changes = []
        self.monitor = PathMonitor(
            self.reactor,
            registry,
            random.Random(1),
            lambda: self.changes.append(self.monitor.is_cut_off),
        )
        return self.monitor

    @params(
        # instances, how many of them are not reached, whether the host is cut off
        (22, 1, False),
        (22, 3, False),
        (22, 22, True),
        (5, 4, False),
        (5, 5, True),
        (1, 1, True),
    )
    def test_probes_after_a_failure_tell(self, count, unreached, expected):
        monitor = self.make_monitor(count)
        for one in self.instances[:unreached]:
            self.reactor.reached.discard(one.address)
        monitor.on_connect(self.instances[0], False)
        settled = []
        monitor.when_settled(lambda: settled.append(True))
        self.reactor.run(0.2)
        self.assertEqual(monitor.is_cut_off, expected)
        self.assertEqual(settled, [True])
        self.assertEqual(self.changes, [True] if expected else [])

    def test_host_without_descriptors_is_not_cut_off(self):
        """It reported healthy instances as unreached, and handed requests over."""
        monitor = self.make_monitor(22)
        self.reactor.reached = set()
        self.reactor.error = OSError(errno.EMFILE, "too many open files")
        monitor.check()
        settled = []
        monitor.when_settled(lambda: settled.append(True))
        self.reactor.run(3.0)
        self.assertFalse(monitor.is_cut_off or monitor.is_suspect)
        self.assertEqual((settled, monitor.pending_probes), ([True], 0))

    def test_probes_show_that_the_paths_work_again(self):
        monitor = self.make_monitor(22)
        reached, self.reactor.reached = self.reactor.reached, set()
        monitor.check()
        self.reactor.run(3.0)
        self.assertTrue(monitor.is_cut_off)
        self.reactor.reached = reached
        self.reactor.run(PROBE_INTERVAL_S + 0.1)
        self.assertEqual(self.changes, [True, False])

    def test_without_instances_nothing_waits(self):
        monitor = self.make_monitor(0)
        monitor.check()
        settled = []
        monitor.when_settled(lambda: settled.append(True))
        self.assertEqual(settled, [True])


class HealthOfCutPathsTest(unittest.TestCase):
    @params((False, 0.4, 1.0), (True, 0.0, 0.2))
    def test_failures_of_suspect_paths_do_not_count_against_instances(
        self, is_path_suspect, lowest, highest
    ):
        health = HealthTracker()
        for _ in range(3):
            health.observe("i-1", Observation.UNREACHABLE, 100.0, is_path_suspect)
        estimate = health.estimate_for("i-1", 100.0).unhealthy_probability(100.0)
        self.assertTrue(lowest <= estimate <= highest, estimate)
        self.assertGreater(health.unhealthy_probability("i-1", 100.0), 0.9)
        health.forget_paths()
        self.assertLess(
            health.unhealthy_probability("i-1", 100.0), estimate + 0.1, estimate
        )


if __name__ == "__main__":
    unittest.main()
