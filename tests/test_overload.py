"""Entry hosts hold the limits' targets between separate processes."""

import re
import unittest

from lab.fleet import Fleet
from lab.load import drive

BACKENDS = 4
SLOTS = 2
WORK_MS = 50
NODES = 3
OVERLOAD = 3
SECONDS = 4
TIMEOUT_MS = 1000
MAX_AMPLIFICATION = 1.1
MIN_GOODPUT = 0.85
MAX_SHARE_OF_DEADLINE = 0.5


class OverloadTest(unittest.TestCase):
    def test_targets_at_three_times_the_capacity(self):
        capacity = BACKENDS * SLOTS * 1000 / WORK_MS
        with Fleet() as fleet:
            nodes = self.set_up_fleet(fleet)
            report = drive(
                [str(node.caller) for node in nodes],
                1,
                rate=OVERLOAD * capacity,
                seconds=SECONDS,
                warm_s=2,
            )
            attempts, requests = self.count(fleet, nodes)
        print(report.as_text())
        print(f"attempts {attempts}, requests {requests}")
        good = sum(n for kind, n in report.kinds.items() if kind.startswith("200"))
        self.assertEqual(sum(report.kinds.values()), report.sent)
        self.assertGreaterEqual(good / SECONDS, MIN_GOODPUT * capacity)
        self.assertLessEqual(attempts / requests, MAX_AMPLIFICATION)
        self.assertLessEqual(
            report.percentile_ms(99), MAX_SHARE_OF_DEADLINE * TIMEOUT_MS
        )
        for kind in report.kinds:
            self.assertRegex(kind, "^(200 ran|503 not-run )")

    def set_up_fleet(self, fleet):
        fleet.start_platform()
        for number in range(BACKENDS):
            fleet.start_backend(f"jt-{number}", work_ms=WORK_MS, slots=SLOTS)
        value = fleet.service_value("jobtrack.example")
        value["routes"][0]["timeout_ms"] = TIMEOUT_MS
        version = fleet.put_object("service", "jobtrack", value)
        nodes = fleet.start_nodes(NODES)
        for node in nodes:
            fleet.wait_port(node.name, node.operator)
        fleet.wait_service("jobtrack", version)
        return nodes

    def count(self, fleet, nodes):
        found = [
            int(text)
            for node in nodes
            for text in re.findall(
                r"event=request .*attempts=(\d+)", fleet.log_text(node.name)
            )
        ]
        return sum(found), len(found)
