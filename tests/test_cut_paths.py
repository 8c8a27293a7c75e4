"""Entry hosts that lose their paths to all instances, while callers reach them."""

import json
import time
import unittest
from collections import Counter
from unittest import mock

from nose2.tools import params

from soak.callers import Caller
from soak.site import WORK_S, Site

# The users' bound: from STABLE_S after the cut began, no more than SLACK and one in
# FAILED_SHARE of all first tries fail at the hosts that are cut off.
STABLE_S = 3.0
MEASURED_S = 5.0
SLACK = 10
FAILED_SHARE = 50
CALLERS = 10
MAX_ATTEMPTS = 2
BURSTS = 8
BURST_S = 0.3
AMPLE_RETRIES = ["drainS=2", "graceS=6", "retryBudgetRatio=2", "budgetSlack=500"]


class CutPathsTest(unittest.TestCase):
    def start_site(self, hosts, zones):
        self.site = Site(hosts, 5, zones=zones, program="tests/cut_host.py")
        self.addCleanup(self.site.close)
        self.site.wait_ready()

    def logs(self):
        lines = "\n".join(host.log_text() for host in self.site.hosts).splitlines()
        return "\n".join(line for line in lines if "event=request" not in line)

    def cut(self, hosts, mode):
        ports = [one.proxy.address.port for one in self.site.instances]
        for host in hosts:
            path = host.settings_path.with_suffix(".cut")
            path.with_suffix(".new").write_text(
                json.dumps({"mode": mode, "ports": ports})
            )
            path.with_suffix(".new").rename(path)

    def heal(self, hosts):
        for host in hosts:
            host.settings_path.with_suffix(".cut").unlink()

    @params(
        # mode of the cut, hosts, zones, how many of the hosts are cut off
        ("hang", 3, ("zone-a",), 1),
        ("hang", 3, ("zone-a",), 2),
        ("reset", 3, ("zone-a",), 2),
        ("refuse-new", 3, ("zone-a",), 2),
        ("hang", 4, ("zone-a", "zone-a", "zone-b", "zone-b"), 2),
    )
    def test_callers_of_hosts_that_are_cut_off_are_served(
        self, mode, hosts, zones, cut_count
    ):
        self.start_site(hosts, zones)
        callers = [Caller(self.site, 1, number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(2.0)
        cut_hosts = self.site.hosts[:cut_count]
        self.cut(cut_hosts, mode)
        time.sleep(STABLE_S)
        begin = time.monotonic()
        time.sleep(MEASURED_S)
        end = time.monotonic()
        self.heal(cut_hosts)
        time.sleep(STABLE_S)
        for caller in callers:
            caller.is_stopping = True
        for caller in callers:
            caller.join(10.0)
        names = {host.name for host in cut_hosts}
        calls = [call for caller in callers for call in caller.calls]
        measured = [call for call in calls if begin <= call.sent_at < end]
        failed = [c for c in measured if c.host in names and c.status != 200]
        allowed = SLACK + len(measured) / FAILED_SHARE
        self.assertLessEqual(len(failed), allowed, self.logs())
        served = [c for c in measured if c.host in names and c.status == 200]
        self.assertGreater(len(served), len(failed))
        self.check_at_most_once(calls)
        for host in cut_hosts:
            changes = [
                line
                for line in host.log_text().splitlines()
                if "event=instance-paths" in line
            ]
            if changes:
                self.assertIn("lost=False", changes[-1], self.logs())

    @params(
        # behaviour of all instances in bursts, seconds that a request takes then
        ("error", 0.02),
        ("cut", 0.02),
        ("ok", 1.2),
    )
    def test_no_request_runs_more_often_than_its_route_allows(self, behaviour, delay_s):
        """All attempts count, whichever hosts make them after a hand-over."""
        with mock.patch("soak.site.BOUNDS", AMPLE_RETRIES):
            self.start_site(4, ("zone-a",))
        cut_hosts = self.site.hosts[:2]
        self.cut(cut_hosts, "reset")
        callers = [Caller(self.site, 1, number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(STABLE_S)
        for _ in range(BURSTS):
            self.set_behaviour(behaviour, delay_s)
            time.sleep(BURST_S)
            self.set_behaviour("ok", WORK_S)
            time.sleep(2 * BURST_S)
        for caller in callers:
            caller.is_stopping = True
        for caller in callers:
            caller.join(10.0)
        for host in cut_hosts:
            self.assertIn("event=instance-paths lost=True", host.log_text())
        runs = Counter(
            run.request_id for one in self.site.instances for run in one.backend.ran
        )
        for request_id, count in runs.items():
            self.assertLessEqual(count, MAX_ATTEMPTS, self.describe(request_id))

    def describe(self, request_id):
        """Return a request's runs, and what the hosts logged of it and of paths."""
        runs = [
            (one.backend.name, run)
            for one in self.site.instances
            for run in one.backend.ran
            if run.request_id == request_id
        ]
        lines = [
            line
            for host in self.site.hosts
            for line in host.log_text().splitlines()
            if request_id in line or "event=instance-paths" in line
        ]
        return "\n".join([request_id, *map(str, runs), *lines])

    def set_behaviour(self, behaviour, delay_s):
        for one in self.site.instances:
            one.backend.behaviour, one.backend.delay_s = behaviour, delay_s

    def check_at_most_once(self, calls):
        runs = [r.request_id for one in self.site.instances for r in one.backend.ran]
        for call in calls:
            if call.is_non_idempotent:
                self.assertLessEqual(runs.count(call.id), 1)


if __name__ == "__main__":
    unittest.main()
