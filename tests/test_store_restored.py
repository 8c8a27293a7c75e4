"""Entry hosts while the store goes away and comes back from an older copy."""

import re
import threading
import time
import unittest
import urllib.error
import urllib.request
from collections import Counter

from nose2.tools import params

from soak.proxy import Fault
from soak.site import HOST, Site

# The users' bounds: for what the store's changes take to reach every host, and for new
# requests at an instance that leaves.
CATCH_UP_S = 4.0
AWAY_S = 0.6
HOSTS_KIND = "dogwoodtack-hosts-zone-a"


class Traffic(threading.Thread):
    """Sends requests to all hosts by turns and keeps their statuses."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self._site = site
        self._is_stopping = False
        self.statuses = Counter()

    def run(self):
        number = 0
        while not self._is_stopping:
            number += 1
            host = self._site.hosts[number % len(self._site.hosts)]
            if host.is_serving:
                self.statuses[send(host, number)] += 1
            time.sleep(0.01)

    def stop(self):
        self._is_stopping = True
        self.join(10.0)


def send(host, number, path="/look/1"):
    """Send a request to a host and return the status, 0 if there is no answer."""
    headers = {
        "Host": HOST,
        "X-Dogwoodtack-Request-Id": f"{number:016x}",
        "X-Dogwoodtack-Deadline-Ms": "4000",
    }
    url = f"http://127.0.0.1:{host.port}{path}"
    try:
        req = urllib.request.Request(url, headers=headers)
        with urllib.request.urlopen(req, timeout=5.0) as answer:
            return answer.status
    except urllib.error.HTTPError as exc:
        return exc.code
    except OSError:
        return 0


def gauge(host, name):
    """Return the value of one of a host's gauges."""
    url = f"http://127.0.0.1:{host.relay_port}/metrics"
    with urllib.request.urlopen(url, timeout=5.0) as answer:
        text = answer.read().decode()
    found = re.search(
        rf'^dogwoodtack_state{{name="{name}"}} (\S+)$', text, re.MULTILINE
    )
    return float(found[1])


class StoreRestoredTest(unittest.TestCase):
    def setUp(self):
        self.site = Site(hosts=3, instances=4)
        self.addCleanup(self.site.close)
        self.site.wait_ready()
        self.wait_until(lambda: len(self.site.store.names(HOSTS_KIND)) == 3, 5.0)

    def wait_until(self, check, timeout_s):
        deadline = time.monotonic() + timeout_s
        while not check():
            self.assertLess(time.monotonic(), deadline, self.logs())
            time.sleep(0.05)

    def logs(self):
        return "\n".join(host.log_text() for host in self.site.hosts)

    def serve_through(self, drill):
        """Run a drill beside requests; return their statuses."""
        traffic = Traffic(self.site)
        traffic.start()
        time.sleep(0.5)
        drill()
        time.sleep(CATCH_UP_S)
        traffic.stop()
        return traffic.statuses

    def check_hosts_agree_with_the_store(self):
        site = self.site
        for host in site.hosts:
            self.assertEqual(gauge(host, "configuration_version"), site.version)
            self.assertEqual(gauge(host, "store_era"), site.store.era)
            status = send(host, 1, f"/v{site.version}/1")
            self.assertEqual(status, 200, self.logs())
        self.assertEqual(
            site.store.names(HOSTS_KIND), [host.name for host in site.hosts]
        )

    def requests_at(self, one):
        """Send some requests to each host; return how many reached an instance."""
        before = one.backend.arrived
        for host in self.site.hosts:
            for number in range(20):
                self.assertEqual(send(host, number), 200)
        return one.backend.arrived - before

    @params(1.0, 30.0)
    def test_calm_path(self, copy_age_s):
        """An older copy holds neither instances nor the configuration nor hosts."""
        statuses = self.serve_through(lambda: self.site.drill(AWAY_S, copy_age_s))
        self.assertEqual(set(statuses), {200}, self.logs())
        self.check_hosts_agree_with_the_store()
        for one in self.site.instances:
            self.assertNotIn(f"instance={one.backend.name} state=gone", self.logs())

    def test_change_of_configuration(self):
        """The copy has the older version; the operator writes the newer one again."""

        def drill():
            self.site.set_version(5)
            time.sleep(1.0)
            self.site.drill(AWAY_S, copy_age_s=2.0)

        statuses = self.serve_through(drill)
        self.assertEqual(set(statuses), {200}, self.logs())
        self.check_hosts_agree_with_the_store()
        self.site.set_version(6)
        time.sleep(CATCH_UP_S / 2)
        self.check_hosts_agree_with_the_store()

    @params("drain", "remove")
    def test_leaving_instance(self, how):
        """The copy shows an instance as ready that the hosts know to leave."""
        leaving = self.site.instances[0]

        def drill():
            getattr(self.site, how)(leaving)
            time.sleep(1.0)
            self.site.drill(AWAY_S, copy_age_s=2.0)

        statuses = self.serve_through(drill)
        self.assertEqual(set(statuses), {200}, self.logs())
        self.check_hosts_agree_with_the_store()
        name = leaving.backend.name
        for host in self.site.hosts:
            states = re.findall(rf"instance={name} state=(\w+)", host.log_text())
            self.assertEqual(states[0], "ready")
            self.assertNotIn("ready", states[1:], states)
        self.assertEqual(self.requests_at(leaving), 0)

    @params("drain", "remove", "add")
    def test_change_after_the_return(self, how):
        """It gets a revision that the hosts have seen before for another change."""
        self.serve_through(lambda: self.site.drill(AWAY_S, copy_age_s=30.0))
        one = self.site.instances[1]
        if how == "add":
            one = self.site.add_instance()
        else:
            getattr(self.site, how)(one)
        time.sleep(CATCH_UP_S / 2)
        requests = self.requests_at(one)
        if how == "add":
            self.assertGreater(requests, 0, self.logs())
        else:
            self.assertEqual(requests, 0, self.logs())

    def test_instance_added_before_the_drill(self):
        def drill():
            self.added = self.site.add_instance()
            time.sleep(1.0)
            self.site.drill(AWAY_S, copy_age_s=2.0)

        self.serve_through(drill)
        self.check_hosts_agree_with_the_store()
        self.assertGreater(self.requests_at(self.added), 0)

    def test_start_of_hosts(self):
        """Two of three hosts start while the store is away."""

        def drill():
            for host in self.site.hosts[:2]:
                host.process.kill()
                host.process.wait()
            for host in self.site.hosts[:2]:
                host.start()
            self.site.drill(AWAY_S, copy_age_s=30.0)

        self.serve_through(drill)
        self.check_hosts_agree_with_the_store()
        self.assertNotIn("state=gone", self.site.hosts[2].log_text())

    def test_twice_in_a_row(self):
        def drill():
            self.site.store.drill(AWAY_S, copy_age_s=1.0)
            time.sleep(0.3)
            self.site.drill(AWAY_S, copy_age_s=30.0)

        statuses = self.serve_through(drill)
        self.assertEqual(set(statuses), {200}, self.logs())
        self.check_hosts_agree_with_the_store()

    @params(0, 1, 2)
    def test_host_that_cannot_reach_the_store(self, number):
        """It follows its peers into the new era and does not draw them back."""
        proxy = self.site.store_proxies[number]

        def drill():
            proxy.fault = Fault.RESET
            self.site.drill(AWAY_S, copy_age_s=30.0)
            self.site.set_version(7)

        statuses = self.serve_through(drill)
        self.assertEqual(set(statuses), {200}, self.logs())
        self.check_hosts_agree_with_the_store()
        proxy.fault = Fault.NONE
        time.sleep(CATCH_UP_S)
        self.check_hosts_agree_with_the_store()

    @params("x", "-1", "99999999", "1, 1")
    def test_unusable_era(self, era):
        """It is logged and changes nothing."""
        era_before = self.site.store.era
        self.site.store.era = era
        time.sleep(1.5)
        self.site.store.era = era_before
        time.sleep(1.0)
        self.check_hosts_agree_with_the_store()
        for host in self.site.hosts:
            lines = host.log_text().count("event=store-era-unusable")
            self.assertLessEqual(lines, 3)
        self.assertIn("event=store-era-unusable", self.logs())
