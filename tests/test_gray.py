"""A back end that fails requests but not probes is ejected and returns once healthy."""

import time
import unittest

from lab.fleet import Fleet, http_call

HOST_HEADER = {"Host": "jobtrack.example"}
MAX_DETECTION_S = 3.0
MAX_RECOVERY_S = 60.0
WARM_UP_S = 12.0
CALL_INTERVAL_S = 0.01


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

    def send_requests(self, seconds, until=lambda: False):
        """Send requests to every entry host until a check holds or the time is over.

        Returns:
            Seconds until the check held, None if it did not.
        """
        started_at = time.monotonic()
        while time.monotonic() < started_at + seconds:
            for node in self.fleet.nodes:
                http_call(node.caller, "GET", "/racks", None, HOST_HEADER)
                time.sleep(CALL_INTERVAL_S)
            if until():
                return time.monotonic() - started_at
        return None

    def count_events(self, event):
        """Return how many times all nodes logged an event of back end jt-1."""
        fields = (f"event={event} ", "instance=jt-1 ")
        lines = self.logs().splitlines()
        return sum(all(field in line + " " for field in fields) for line in lines)

    def logs(self):
        return "\n".join(self.fleet.log_text(node.name) for node in self.fleet.nodes)

    def arrived_requests(self):
        return self.fleet.backend_counts("jt-1")["arrived"]

    def test_ejected_and_back(self):
        self.send_requests(WARM_UP_S)
        self.assertEqual(self.count_events("ejection-begun"), 0)
        self.fleet.set_backend_fault("jt-1", error_ratio=1.0)
        detection_s = self.send_requests(
            30.0, lambda: self.count_events("ejection-begun")
        )
        self.assertIsNotNone(detection_s)
        self.assertLess(detection_s, MAX_DETECTION_S)
        self.send_requests(2.0)
        before = self.arrived_requests()
        self.send_requests(3.0)
        self.assertEqual(self.arrived_requests(), before, self.logs())
        self.fleet.set_backend_fault("jt-1")
        recovery_s = self.send_requests(
            MAX_RECOVERY_S, lambda: self.arrived_requests() > before + 20
        )
        self.assertIsNotNone(recovery_s)
        self.assertEqual(self.count_events("ejection-begun"), 1)
