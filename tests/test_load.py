"""The load tool sends at the due times and counts a stall in full."""

import json
import signal
import subprocess
import sys
import time
import unittest

from lab.fleet import Fleet
from lab.load_report import LoadReport

RATE = 100
SECONDS = 4
PAUSE_S = 1.0


class LoadTest(unittest.TestCase):
    def test_a_stall_is_not_hidden(self):
        with Fleet() as fleet:
            address = fleet.start_backend("jt-1", work_ms=1, slots=500)
            cmd = [sys.executable, "-m", "lab.load", "--json", f"--target={address}"]
            cmd += [f"--rate={RATE}", f"--seconds={SECONDS}", "--warm_s=1"]
            load = subprocess.Popen(cmd, stdout=subprocess.PIPE)
            time.sleep(2.5)
            fleet.signal("jt-1", signal.SIGSTOP)
            time.sleep(PAUSE_S)
            fleet.signal("jt-1", signal.SIGCONT)
            out, _ = load.communicate(timeout=60)
        report = LoadReport.from_json(out.decode())
        self.assertEqual(dict(report.kinds), {"200": report.sent})
        self.assertAlmostEqual(report.sent, RATE * SECONDS, delta=RATE)
        share_stalled = PAUSE_S / SECONDS
        half_of_them = 100 * (1 - share_stalled / 2)
        self.assertGreater(report.percentile_ms(half_of_them), 1000 * PAUSE_S / 3)

    def test_reports_merge(self):
        one, other = LoadReport(), LoadReport()
        one.record("200", "a", 0.010, True)
        other.record("503 not-run", "a", 0.030, False)
        one.merge(LoadReport.from_json(self.as_text(other)))
        self.assertEqual(dict(one.kinds), {"200": 1, "503 not-run": 1})
        self.assertEqual(dict(one.customers), {"a": 1})
        self.assertAlmostEqual(one.percentile_ms(100), 30, delta=0.1)

    @staticmethod
    def as_text(report):
        return json.dumps(report.as_json())
