"""Which instances count as crashed after an attempt failed there."""

import errno
import socket
import unittest
from unittest import mock

from nose2.tools import params

from dogwoodtack.entry.crashes import CrashMonitor, FailedRequest
from dogwoodtack.misc import Address
from dogwoodtack.placement import Instance
from lab.virtual import VirtualLoop

INSTANCE = Instance("i-1", "jobs", Address("10.0.0.1", 80), "a", 2, False, 0.0, 7)
REFUSED = OSError(errno.ECONNREFUSED, "refused")
HUNG = OSError(errno.ETIMEDOUT, "timed out")
EXHAUSTED = OSError(errno.EMFILE, "too many open files")


class Connections:
    """Stands in for ConnectAttempt, with the outcomes that a test chooses, in turn."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)

    def __call__(self, reactor, address, timeout_s, on_done):
        exc = self.outcomes.pop(0)
        sock = mock.Mock(spec=socket.socket) if exc is None else None
        reactor.call_later(0.001, on_done, sock, exc)


class CrashMonitorTest(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop()
        self.placer = mock.Mock()
        self.placer.registry.get.return_value = INSTANCE
        self.placer.notices.is_leaving.return_value = False
        self.paths = mock.Mock(is_cut_off=False, is_suspect=False)
        self.paths.when_settled.side_effect = lambda fn: fn()
        self.quarantine = mock.Mock()
        self.quarantine.on_crash.return_value = False
        self.on_crash = mock.Mock()
        self.monitor = CrashMonitor(
            self.loop, self.placer, self.paths, self.quarantine, self.on_crash
        )

    def check(self, *outcomes, sent_before_s=0.1, is_silent=False):
        sent_at = self.loop.clock.now - sent_before_s
        done = mock.Mock()
        path = "dogwoodtack.entry.crashes.ConnectAttempt"
        connections = Connections(outcomes or (REFUSED,))
        failed = FailedRequest("id", "digest", INSTANCE, sent_at, is_silent)
        with mock.patch(path, connections):
            self.monitor.check(failed, done)
            self.loop.run_for(0.01)
        self.assertEqual(connections.outcomes, [])
        done.assert_called_once_with()
        return self.monitor.crashes

    def test_refused_connection_shows_a_crash(self):
        self.assertEqual(self.check(), 1)
        self.quarantine.on_crash.assert_called_once_with(
            "digest", "i-1/7", self.loop.clock.now - 0.009
        )
        self.on_crash.assert_called_once_with()

    @params(
        ("accepted", None),
        ("no response", OSError(errno.ETIMEDOUT, "timed out")),
    )
    def test_other_outcomes_of_connecting(self, _, exc):
        self.assertEqual(self.check(exc), 0)

    @params(
        # outcomes of connecting, crashes
        ((HUNG, HUNG), 1),
        ((HUNG, REFUSED), 1),
        ((REFUSED,), 1),
        ((HUNG, None), 0),
        ((None,), 0),
        ((HUNG, EXHAUSTED), 0),
        ((EXHAUSTED,), 0),
    )
    def test_instance_that_has_gone_silent(self, outcomes, crashes):
        """A request under which instances went silent was sent to ever more of them."""
        self.assertEqual(self.check(*outcomes, is_silent=True), crashes)

    def test_silence_on_suspect_paths_shows_nothing(self):
        self.paths.is_suspect = True
        self.assertEqual(self.check(HUNG, HUNG, is_silent=True), 0)
        self.assertEqual(self.check(REFUSED), 1)

    def test_host_without_paths_cannot_tell(self):
        self.paths.is_cut_off = True
        self.assertEqual(self.check(), 0)

    @params(
        ("gone", None, False),
        ("draining", INSTANCE._replace(is_draining=True), False),
        ("leaving", INSTANCE, True),
    )
    def test_planned_end_is_no_crash(self, _, known, is_leaving):
        self.placer.registry.get.return_value = known
        self.placer.notices.is_leaving.return_value = is_leaving
        self.assertEqual(self.check(), 0)

    def test_request_sent_after_the_end_is_not_counted(self):
        self.check()
        self.assertEqual(self.check(sent_before_s=0.005), 1)
        self.assertEqual(self.check(sent_before_s=0.2), 2)


if __name__ == "__main__":
    unittest.main()
