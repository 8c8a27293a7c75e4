"""A signal comes while an entry host is starting."""

import signal
import time
from pathlib import Path

from tests.test_entry_host import EntryHostTest, configuration

# A library that the host loads early in its start, after its first statements.
EARLY_LIBRARY = "_socket.cpython"
INTERVAL_S = 0.005


class EarlySignalTest(EntryHostTest):
    def test_reload_signal_does_not_end_a_starting_host(self):
        """The process ended by the signal's default action."""
        maps = Path(f"/proc/{self.process.pid}/maps")
        self.wait_until(lambda: EARLY_LIBRARY in maps.read_text(), "the host starts")
        self.register_all()
        self.store.put("config", "main", spec=configuration(7))
        while not self.is_ready():
            self.assertIsNone(self.process.poll(), self.log.read_text())
            self.process.send_signal(signal.SIGHUP)
            time.sleep(INTERVAL_S)
        self.assertEqual(self.call("GET", "/look/1")[0].status, 200)
