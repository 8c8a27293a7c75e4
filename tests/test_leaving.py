"""A draining back end gets no new requests at any entry host.

The drain is known either from the back end's own responses, while the platform's
host list does not show it yet, or from the host list alone.
"""

import json
import time
import unittest

from lab.fleet import Fleet, http_call

HOST_HEADER = {"Host": "jobtrack.example"}
PROPAGATION_LIMIT_S = 5.0
CALLS_PER_ROUND = 10


class LeavingBackEndTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        for name in ("jt-1", "jt-2", "jt-3"):
            self.fleet.start_backend(name, work_ms=2)
        self.fleet.start_nodes(3)
        value = self.fleet.service_value("jobtrack.example", floor=2)
        version = self.fleet.put_object("service", "jobtrack", value)
        self.fleet.wait_service("jobtrack", version)

    def call_every_node(self):
        for node in self.fleet.nodes:
            for _ in range(CALLS_PER_ROUND):
                answer = http_call(node.caller, "GET", "/racks", None, HOST_HEADER)
                self.assertEqual(answer.status, 200)

    def arrived_requests(self):
        return self.fleet.backend_counts("jt-1")["arrived"]

    def test_own_word_stops_new_work_everywhere(self):
        self.call_every_node()
        served = self.arrived_requests()
        self.assertGreater(served, 0)
        self.fleet.drain_backend("jt-1")
        # No host can know of the drain before a request has reached the back end.
        while self.arrived_requests() == served:
            self.call_every_node()
        told_at = time.monotonic()
        self.fleet.wait_until(
            lambda: time.monotonic() > told_at + PROPAGATION_LIMIT_S, "a few seconds"
        )
        before = self.arrived_requests()
        self.call_every_node()
        self.assertEqual(self.arrived_requests(), before)

    def test_host_list_stops_new_requests_everywhere(self):
        data = json.dumps({"jt-1": "leaving", "jt-2": "live"}).encode()
        http_call(self.fleet.platform, "PUT", "/test/hosts", data)
        listed_at = time.monotonic()
        self.call_every_node()
        self.fleet.wait_until(
            lambda: time.monotonic() > listed_at + PROPAGATION_LIMIT_S, "a few seconds"
        )
        before = self.arrived_requests()
        self.call_every_node()
        self.assertEqual(self.arrived_requests(), before)
