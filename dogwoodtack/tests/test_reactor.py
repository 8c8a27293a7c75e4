"""Cancelled timers do not accumulate, and reused descriptor numbers are safe."""

import errno
import unittest
from unittest.mock import Mock, patch

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.misc import Address
from dogwoodtack.reactor import MIN_COMPACTION_TIMERS, ConnectAttempt, Reactor

TIMERS_PER_S = 500
DEADLINE_S = 3600.0


class ReactorTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.poller = Mock()
        self.reactor = Reactor(self.clock, self.poller)

    def test_cancelled_timers_do_not_accumulate(self):
        for _ in range(60 * TIMERS_PER_S):
            timer = self.reactor.call_later(DEADLINE_S, self.fail)
            self.clock.advance(1 / TIMERS_PER_S)
            timer.cancel()
        self.assertLessEqual(len(self.reactor._timers), MIN_COMPACTION_TIMERS)

    def test_due_timers_run_in_order(self):
        ran = []
        for number in reversed(range(3 * MIN_COMPACTION_TIMERS)):
            self.reactor.call_later(number, ran.append, number)
        self.clock.advance(3 * MIN_COMPACTION_TIMERS)
        self.reactor._run_due_timers()
        self.assertEqual(ran, list(range(3 * MIN_COMPACTION_TIMERS)))

    @params(("descriptor reused in the same iteration", True, 0), ("own", False, 1))
    def test_hangup_reaches_only_its_own_connection(self, _name, is_watched, calls):
        owner = Mock()
        self.reactor._owners[7] = owner
        self.poller.isReading.return_value = is_watched
        self.poller.isWriting.return_value = False
        self.reactor._on_disconnect(7)
        self.assertEqual(owner.on_hangup.call_count, calls)

    @params(
        ("no descriptor", "10.0.0.1", 80, errno.EMFILE),
        ("no IP address", "10.0.0.\ufffd", 80, errno.EINVAL),
        ("null character", "10.0.0.1\0", 80, errno.EINVAL),
        ("port out of range", "10.0.0.1", 70000, errno.EINVAL),
        ("negative port", "10.0.0.1", -1, errno.EINVAL),
        ("no port", "10.0.0.1", None, errno.EINVAL),
    )
    def test_connection_that_cannot_begin_is_reported(self, name, host, port, code):
        """The exception left callers waiting for an outcome that never came."""
        on_done = Mock()
        has_descriptor = name != "no descriptor"
        error = OSError(errno.EMFILE, "Too many open files")
        socket_class = patch(
            "dogwoodtack.reactor.socket.socket", side_effect=error, autospec=True
        )
        if has_descriptor:
            ConnectAttempt(self.reactor, Address(host, port), 0.2, on_done)
        else:
            with socket_class:
                ConnectAttempt(self.reactor, Address(host, port), 0.2, on_done)
        on_done.assert_not_called()
        for _ in range(2):
            self.clock.advance(1.0)
            self.reactor._run_due_timers()
        self.assertEqual(self.reactor.failed_callbacks, 0)
        on_done.assert_called_once()
        sock, exc = on_done.call_args.args
        self.assertIsNone(sock)
        self.assertEqual(exc.errno, code)

    def test_cancelled_connection_reports_nothing(self):
        on_done = Mock()
        ConnectAttempt(self.reactor, Address("odd", -1), 0.2, on_done).cancel()
        self.clock.advance(1.0)
        self.reactor._run_due_timers()
        on_done.assert_not_called()
