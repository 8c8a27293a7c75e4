"""The load generator sends on schedule and measures latency from the due time.

A generator that waits for late responses would leave out the requests due during a
stall (coordinated omission).
"""

import json
import signal
import subprocess
import sys
import time
import unittest

from lab.fleet import Fleet
from lab.load_report import LoadReport

RATE_PER_S = 100
DURATION_S = 4
STALL_S = 1.0


class LoadTest(unittest.TestCase):
    def test_latency_counts_from_the_due_time_in_a_stall(self):
        with Fleet() as fleet:
            address = fleet.start_backend("jt-1", work_ms=1, slots=500)
            cmd = [sys.executable, "-m", "lab.load", "--json", f"--target={address}"]
            cmd += [f"--rate={RATE_PER_S}", f"--seconds={DURATION_S}", "--warm_s=1"]
            generator = subprocess.Popen(cmd, stdout=subprocess.PIPE)
            time.sleep(2.5)
            fleet.signal("jt-1", signal.SIGSTOP)
            time.sleep(STALL_S)
            fleet.signal("jt-1", signal.SIGCONT)
            out, _ = generator.communicate(timeout=60)
        report = LoadReport.from_json(out.decode())
        self.assertEqual(dict(report.kinds), {"200": report.sent})
        self.assertAlmostEqual(report.sent, RATE_PER_S * DURATION_S, delta=RATE_PER_S)
        stalled_share = STALL_S / DURATION_S
        percentile = 100 * (1 - stalled_share / 2)
        self.assertGreater(report.percentile_ms(percentile), 1000 * STALL_S / 3)

    def test_merge_of_reports(self):
        one, other = LoadReport(), LoadReport()
        one.record("200", "a", 0.010, True)
        other.record("503 not-run", "a", 0.030, False)
        one.merge(LoadReport.from_json(self.to_text(other)))
        self.assertEqual(dict(one.kinds), {"200": 1, "503 not-run": 1})
        self.assertEqual(dict(one.customers), {"a": 1})
        self.assertAlmostEqual(one.percentile_ms(100), 30, delta=0.1)

    @staticmethod
    def to_text(report):
        return json.dumps(report.as_json())
