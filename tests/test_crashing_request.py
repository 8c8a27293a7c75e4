"""Entry hosts before a request that crashes each instance that runs it."""

import time
import unittest

from nose2.tools import params

from soak.callers import Caller, Repeater
from soak.site import Site
from soak.soak import CRASHES, LATE_SENDS, UNDISTURBED_S

TRAFFIC_S = 12.0
CALLERS = 6
LETHAL = "/look/lethal"
POPULAR = "/look/popular"
ZONES = ("zone-a", "zone-b", "zone-c")
START_S = 15.0
RECORDS_KIND = "dogwoodtack-crashes"
# A rejection needs no instance.
PROMPT_S = 0.5


class CrashingRequestTest(unittest.TestCase):
    def make_site(self, zones, instance_zones):
        site = Site(hosts=3, instances=6, zones=zones, instance_zones=instance_zones)
        self.addCleanup(site.close)
        site.wait_ready()
        return site

    def run_traffic(self, site, *repeaters):
        callers = [Caller(site, 1, number) for number in range(CALLERS)]
        for thread in (*callers, *repeaters):
            thread.start()
        time.sleep(TRAFFIC_S)
        for repeater in repeaters:
            repeater.stop()
        for caller in callers:
            caller.is_stopping = True
        for caller in callers:
            caller.join(10.0)
        return [call for caller in callers for call in caller.calls]

    @params(
        ("GET", LETHAL, ZONES[:1], ZONES[:1]),
        ("POST", "/book/lethal", ZONES[:1], ZONES[:1]),
        ("GET", LETHAL, ZONES, ZONES),
        ("GET", LETHAL, ZONES, ZONES[:1]),
    )
    def test_request_that_crashes_instances_is_soon_sent_to_none(
        self, method, target, zones, instance_zones
    ):
        site = self.make_site(zones, instance_zones)
        site.lethal_targets.add(target)
        lethal = Repeater(site, method, target, "dead")
        popular = Repeater(site, "GET", POPULAR, "cafe")
        calls = self.run_traffic(site, lethal, popular)
        crashes = sorted(at for one in site.instances for at, _ in one.crashes)
        self.assertGreaterEqual(len(crashes), CRASHES)
        since = crashes[CRASHES - 1] + UNDISTURBED_S
        late = [
            arrival.at
            for one in site.instances
            for arrival in one.backend.arrivals
            if arrival.request_id in lethal.results and arrival.at > since
        ]
        self.assertLessEqual(len(late), LATE_SENDS)
        rejected = [one for one in lethal.results.values() if one[0] > since]
        self.assertGreater(len(rejected), 5)
        for at, status, spent_s in rejected:
            if status != 503 or spent_s >= PROMPT_S:
                self.fail(
                    f"{status} {spent_s:.2f} s {self.describe(site, at, crashes)}"
                )
        # The others are served, also those that were under way at each crash.
        for group in (
            [call.status for call in calls if call.sent_at > since],
            [status for at, status, _ in popular.results.values() if at > since],
        ):
            served = sum(1 for status in group if status == 200)
            self.assertGreater(served, 0.95 * len(group))

    @staticmethod
    def describe(site, at, crashes):
        """Return when a request was sent after the crashes, and what hosts logged."""
        events = ("crash", "quarantin", "event=instance-paths")
        lines = [
            line
            for host in site.hosts
            for line in host.log_text().splitlines()
            if "dead" in line or any(event in line for event in events)
        ]
        after = [f"{at - crashed_at:.2f}" for crashed_at in crashes]
        return "\n".join([f"sent {after} s after the crashes", *sorted(lines)])

    def test_all_hosts_that_restart_together_still_know(self):
        site = self.make_site(ZONES[:1], ZONES[:1])
        site.lethal_targets.add(LETHAL)
        lethal = Repeater(site, "GET", LETHAL, "dead")
        lethal.start()
        end = time.monotonic() + START_S
        while not site.store.names(RECORDS_KIND) and time.monotonic() < end:
            time.sleep(0.1)
        for host in site.hosts:
            host.process.kill()
            host.process.wait()
        time.sleep(0.2)
        for host in site.hosts:
            host.start()
        site.wait_ready()
        since = time.monotonic() + PROMPT_S
        time.sleep(4.0)
        lethal.stop()
        late = [one for one in lethal.results.values() if one[0] > since]
        self.assertGreater(len(late), 5)
        self.assertEqual({status for _, status, _ in late}, {503})


if __name__ == "__main__":
    unittest.main()
