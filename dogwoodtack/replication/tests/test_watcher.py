"""A watcher goes on when handling what it has read fails."""

import unittest
from unittest import mock

from nose2.tools import params

from dogwoodtack.errors import StoreError
from dogwoodtack.replication.watcher import Watcher
from lab.virtual import VirtualLoop


class HandlerError(Exception):
    """Raised by a handler."""


class WatcherTest(unittest.TestCase):
    @params("on_snapshot", "on_failure")
    def test_failing_handler_does_not_end_the_watch(self, failing):
        """The store was not read any more once a handler had raised."""
        loop = VirtualLoop()
        store = mock.Mock()
        is_down = failing == "on_failure"
        exc = StoreError("down") if is_down else None
        store.list.side_effect = lambda on_read: loop.call_later(
            0.01, on_read, None if is_down else mock.sentinel.snapshot, exc
        )
        handler = mock.Mock(side_effect=[HandlerError(), HandlerError(), None])
        other = mock.Mock()
        handlers = (handler, other) if failing == "on_snapshot" else (other, handler)
        watcher = Watcher(loop, store, lambda: -1, lambda: True, *handlers)
        watcher.wake()
        failures = 0
        while handler.call_count < 3 and loop.clock.now < 1020.0:
            try:
                loop.run_for(0.1)
            except HandlerError:
                failures += 1
            except StopIteration:
                break
        self.assertEqual(failures, 2)
        self.assertGreaterEqual(handler.call_count, 3)


if __name__ == "__main__":
    unittest.main()
