"""A back end that fails real work is ejected everywhere and comes back healed."""

import time
import unittest

from lab.fleet import Fleet, http_call

HOST = {"Host": "jobtrack.example"}
FOUND_WITHIN_S = 3.0
BACK_WITHIN_S = 60.0
WARM_UP_S = 12.0
GAP_S = 0.01


class GrayBackEndTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        for name in ("jt-1", "jt-2", "jt-3", "jt-4"):
            self.fleet.start_backend(name, work_ms=2)
        self.fleet.start_nodes(3)
        value = self.fleet.service_value("jobtrack.example", floor=2, caution=0)
        version = self.fleet.put_object("service", "jobtrack", value)
        self.fleet.wait_service("jobtrack", version)

    def work(self, seconds, until=lambda: False):
        """Make calls at every entry host and return seconds until a check holds."""
        began = time.monotonic()
        while time.monotonic() < began + seconds:
            for node in self.fleet.nodes:
                http_call(node.caller, "GET", "/racks", None, HOST)
                time.sleep(GAP_S)
            if until():
                return time.monotonic() - began
        return None

    def logged(self, event):
        """Return how many times the nodes logged an event of the first back end."""
        logs = [self.fleet.log_text(node.name) for node in self.fleet.nodes]
        lines = "\n".join(logs).splitlines()
        marks = (f"event={event} ", "instance=jt-1 ")
        return sum(all(mark in line + " " for mark in marks) for line in lines)

    def arrived(self):
        return self.fleet.backend_counts("jt-1")["arrived"]

    def test_ejected_and_back(self):
        self.work(WARM_UP_S)
        self.assertEqual(self.logged("ejection-begun"), 0)
        self.fleet.set_backend_fault("jt-1", error_ratio=1.0)
        found_s = self.work(30.0, lambda: self.logged("ejection-begun"))
        self.assertIsNotNone(found_s)
        self.assertLess(found_s, FOUND_WITHIN_S)
        self.work(2.0)
        before = self.arrived()
        self.work(3.0)
        self.assertEqual(self.arrived(), before)
        self.fleet.set_backend_fault("jt-1")
        back_s = self.work(BACK_WITHIN_S, lambda: self.arrived() > before + 20)
        self.assertIsNotNone(back_s)
        self.assertEqual(self.logged("ejection-begun"), 1)
