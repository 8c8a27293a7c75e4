"""Routes whose requests may run once at most, by a configuration new to the host."""

import http.client
import signal
import threading
import time
import unittest
from collections import Counter

from nose2.tools import params

from dogwoodtack.entry.explain import explain_request
from soak.proxy import Fault, FaultProxy
from soak.site import HOST, Site
from tests.test_entry_host import EntryHostTest, configuration

REQUESTS = 6
PAUSE_S = 0.5
# Longer than the time after which a request without a response is hedged.
SLOW_S = 1.2
# Until hosts have heard of each other, also of those in other zones.
INTRODUCTION_S = 2.5
# A request gets its response soon after the store has not answered in time.
PROMPT_S = 1.5


def turned(version, how):
    """Return a configuration in which `/look/b/` is no longer idempotent."""
    spec = configuration(version)
    routes = spec["routes"]
    if how == "kind":
        routes["r-safe"]["kind"] = "unsafe"
    else:
        routes["r-below"] = {**routes["r-once"], "pathPrefix": "/look/b/"}
    return spec


class OutdatedKindTest(EntryHostTest):
    def setUp(self):
        self.proxy = None
        super().setUp()
        self.addCleanup(self.proxy.close)

    def store_address(self):
        if self.proxy is None:
            self.proxy = FaultProxy(self.store.address)
        return self.proxy.address

    def set_behaviours(self, *behaviours):
        for one, behaviour in zip(self.backends, behaviours, strict=True):
            one.behaviour = behaviour

    def send(self, method, number, statuses):
        request_id = f"{number:016x}"
        body = b"x" if method == "POST" else None
        began_at = time.monotonic()
        answer, _ = self.call(method, f"/look/b/{number}", request_id, body)
        statuses[request_id] = answer.status, time.monotonic() - began_at

    def runs(self):
        return Counter(one.request_id for one in self.executed_requests())

    @params(
        ("POST", Fault.SILENCED, "kind"),
        ("POST", Fault.SILENCED, "prefix"),
        ("POST", Fault.ANSWERS_SILENCED, "kind"),
        ("POST", Fault.RESET, "kind"),
        ("POST", Fault.RESET, "prefix"),
        ("GET", Fault.SILENCED, "kind"),
        ("GET", Fault.SILENCED, "prefix"),
        ("GET", Fault.ANSWERS_SILENCED, "kind"),
        ("GET", Fault.RESET, "prefix"),
        ("OPTIONS", Fault.SILENCED, "kind"),
    )
    def test_request_is_not_repeated_by_a_kind_that_has_changed(
        self, method, fault, how
    ):
        """A host that was cut from the store ran requests twice that may run once.

        With GET and other methods that HTTP calls safe it did so for longer.
        """
        self.serve()
        self.set_behaviours("cut", "error")
        self.proxy.fault = fault
        self.store.put("config", "main", spec=turned(8, how))
        statuses = {}
        for number in range(REQUESTS):
            self.send(method, number, statuses)
        self.assertEqual(max(self.runs().values()), 1, self.log.read_text()[-3000:])
        for status, seconds in statuses.values():
            self.assertIn(status, (500, 502))
            self.assertLess(seconds, PROMPT_S)

    @params(("POST", "kind"), ("POST", "prefix"), ("GET", "kind"), ("GET", "prefix"))
    def test_request_to_a_paused_host_is_not_repeated(self, method, how):
        """A host that went on after a pause read its callers before the change."""
        self.serve()
        self.set_behaviours("cut", "error")
        statuses = {}
        threads = [
            threading.Thread(target=self.send, args=(method, number, statuses))
            for number in range(REQUESTS)
        ]
        self.process.send_signal(signal.SIGSTOP)
        self.store.put("config", "main", spec=turned(8, how))
        for thread in threads:
            thread.start()
        time.sleep(PAUSE_S)
        self.process.send_signal(signal.SIGCONT)
        for thread in threads:
            thread.join()
        self.assertEqual(len(statuses), REQUESTS)
        self.assertEqual(max(self.runs().values()), 1, self.log.read_text()[-3000:])

    @params(
        # method, fault of the path to the store, whether the kind changes, most runs
        ("GET", Fault.SILENCED, True, 1),
        ("POST", Fault.SILENCED, True, 1),
        ("GET", Fault.SILENCED, False, 1),
        ("GET", Fault.NONE, True, 1),
        ("GET", Fault.NONE, False, 2),
    )
    def test_hedge(self, method, fault, is_changed, runs):
        """A slow GET request was sent to a second instance by an outdated kind."""
        self.serve()
        self.proxy.fault = fault
        if is_changed:
            self.store.put("config", "main", spec=turned(8, "kind"))
        for one in self.backends:
            one.delay_s = SLOW_S
        statuses = {}
        self.send(method, 1, statuses)
        [(status, _)] = statuses.values()
        self.assertEqual(status, 200, self.log.read_text()[-3000:])
        self.assertEqual(max(self.runs().values()), runs)

    @params("POST", "GET", "OPTIONS")
    def test_idempotent_request_is_still_repeated(self, method):
        self.serve()
        self.set_behaviours("cut", "ok")
        for number in range(REQUESTS):
            body = b"x" if method == "POST" else None
            answer, _ = self.call(method, f"/look/{number}", f"{number:016x}", body)
            self.assertEqual(answer.status, 200, self.log.read_text()[-3000:])
        self.assertEqual(max(self.runs().values()), 2)

    @params("POST", "GET", "OPTIONS")
    def test_request_is_answered_at_once_while_the_store_is_away(self, method):
        """Nobody can say then whether it may run again: its caller decides."""
        self.serve()
        self.set_behaviours("cut", "ok")
        self.proxy.fault = Fault.SILENCED
        statuses = {}
        for number in range(REQUESTS):
            self.send(method, number, statuses)
        self.assertEqual(max(self.runs().values()), 1)
        self.assertEqual({status for status, _ in statuses.values()} - {200}, {502})
        for _, seconds in statuses.values():
            self.assertLess(seconds, PROMPT_S)
        self.assertIn("the store has not confirmed", self.log.read_text())

    def test_log_explains_a_request_whose_host_is_killed(self):
        """The log of a killed host had no line of a request that it sent twice."""
        self.serve()
        request_id = "00000000000000ab"
        self.set_behaviours("error", "error")
        for one in self.backends:
            one.delay_s = 0.5
        call = threading.Thread(target=self.call_killed, args=(request_id,))
        call.start()
        self.wait_until(lambda: self.runs()[request_id] == 2, "it runs twice")
        self.process.kill()
        call.join()
        explanation = explain_request(self.log.read_text().splitlines(), request_id)
        self.assertIn("the host was killed", explanation.cause)
        first, second = (one.name for one in self.order_of_runs(request_id))
        self.assertIn(f"to {second} as attempt 2, as {first} ended", explanation.text())

    def call_killed(self, request_id):
        with self.assertRaises(OSError):
            self.call("GET", "/look/1", request_id)

    def order_of_runs(self, request_id):
        return sorted(
            self.backends,
            key=lambda one: next(
                arrival.at
                for arrival in one.arrivals
                if arrival.request_id == request_id
            ),
        )


class SeveralHostsTest(unittest.TestCase):
    """A host that is cut from the store learns the newest kind from others."""

    def start_site(self, zones):
        self.site = Site(len(zones), 2, zones=zones, instance_zones=zones)
        self.addCleanup(self.site.close)
        self.site.wait_ready()
        time.sleep(INTRODUCTION_S)

    def send(self, target, request_id):
        host = self.site.hosts[0]
        conn = http.client.HTTPConnection("127.0.0.1", host.port, 5.0)
        self.addCleanup(conn.close)
        headers = {
            "Host": HOST,
            "X-Dogwoodtack-Request-Id": request_id,
            "X-Dogwoodtack-Deadline-Ms": "4000",
        }
        conn.request("GET", target, headers=headers)
        answer = conn.getresponse()
        answer.read()
        return answer.status

    def runs(self):
        return Counter(
            run.request_id for one in self.site.instances for run in one.backend.ran
        )

    @params(
        # zones of the hosts, fault of the first one's path, whether the kind changes
        (("zone-a", "zone-b"), Fault.SILENCED, False),
        (("zone-a", "zone-b"), Fault.SILENCED, True),
        (("zone-a", "zone-a"), Fault.RESET, False),
        (("zone-a", "zone-a"), Fault.RESET, True),
    )
    def test_look_up_at_a_host_that_is_cut_from_the_store(
        self, zones, fault, is_changed
    ):
        """It ran twice by an outdated kind, or was given up beside a sound host."""
        self.start_site(zones)
        self.site.store_proxies[0].fault = fault
        if is_changed:
            self.site.store.put("config", "main", spec=turned(9, "prefix"))
        first, second = (one.backend for one in self.site.instances)
        first.behaviour, second.behaviour = "cut", "error" if is_changed else "ok"
        statuses = [
            self.send(f"/look/b/{number}", f"{number:016x}")
            for number in range(REQUESTS)
        ]
        log = self.site.hosts[0].log_text()[-3000:]
        if is_changed:
            self.assertEqual(max(self.runs().values()), 1, log)
            self.assertLessEqual(set(statuses), {500, 502}, log)
        else:
            self.assertEqual(max(self.runs().values()), 2, log)
            self.assertEqual(set(statuses), {200}, log)
