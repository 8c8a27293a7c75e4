"""Goodput, retry amplification and latency at three times the capacity."""

import re
import unittest

from lab.fleet import Fleet
from lab.load import drive

BACKEND_COUNT = 4
SLOTS = 2
WORK_MS = 50
NODE_COUNT = 3
LOAD_FACTOR = 3
DURATION_S = 4
TIMEOUT_MS = 1000
MAX_AMPLIFICATION = 1.1
MIN_GOODPUT = 0.85
MAX_P99_SHARE_OF_TIMEOUT = 0.5


class OverloadTest(unittest.TestCase):
    def test_targets_at_three_times_the_capacity(self):
        capacity = BACKEND_COUNT * SLOTS * 1000 / WORK_MS
        with Fleet() as fleet:
            nodes = self.start_fleet(fleet)
            report = drive(
                [str(node.caller) for node in nodes],
                1,
                rate=LOAD_FACTOR * capacity,
                seconds=DURATION_S,
                warm_s=2,
            )
            attempts, requests = self.count_attempts(fleet, nodes)
        print(report.as_text())
        print(f"attempts {attempts}, requests {requests}")
        good = sum(n for kind, n in report.kinds.items() if kind.startswith("200"))
        self.assertEqual(sum(report.kinds.values()), report.sent)
        self.assertGreaterEqual(good / DURATION_S, MIN_GOODPUT * capacity)
        self.assertLessEqual(attempts / requests, MAX_AMPLIFICATION)
        self.assertLessEqual(
            report.percentile_ms(99), MAX_P99_SHARE_OF_TIMEOUT * TIMEOUT_MS
        )
        for kind in report.kinds:
            self.assertRegex(kind, "^(200 ran|503 not-run )")

    def start_fleet(self, fleet):
        fleet.start_platform()
        for number in range(BACKEND_COUNT):
            fleet.start_backend(f"jt-{number}", work_ms=WORK_MS, slots=SLOTS)
        value = fleet.service_value("jobtrack.example")
        value["routes"][0]["timeout_ms"] = TIMEOUT_MS
        version = fleet.put_object("service", "jobtrack", value)
        nodes = fleet.start_nodes(NODE_COUNT)
        for node in nodes:
            fleet.wait_port(node.name, node.operator)
        fleet.wait_service("jobtrack", version)
        return nodes

    def count_attempts(self, fleet, nodes):
        """Return how many attempts and requests the nodes logged."""
        attempts_per_request = [
            int(text)
            for node in nodes
            for text in re.findall(
                r"event=request .*attempts=(\d+)", fleet.log_text(node.name)
            )
        ]
        return sum(attempts_per_request), len(attempts_per_request)
