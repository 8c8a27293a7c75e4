"""Requests from a caller through an entry host to a back end, and their responses."""

import json
import signal
import unittest

from nose2.tools import params

from lab.fleet import Fleet, http_call

HOST_HEADER = {"Host": "jobtrack.example"}


class PathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start_platform()
        cls.fleet.start_backend("jt-1", work_ms=5)
        cls.fleet.start_backend("jt-2", work_ms=5)
        cls.fleet.start_nodes(2)
        value = cls.fleet.service_value("jobtrack.example")
        version = cls.fleet.put_object("service", "jobtrack", value)
        cls.fleet.wait_service("jobtrack", version)

    def call(self, method, target, body=None, **headers):
        extra_headers = {key.replace("_", "-"): value for key, value in headers.items()}
        node = self.fleet.nodes[0]
        return http_call(
            node.caller, method, target, body, {**HOST_HEADER, **extra_headers}
        )

    @params(("GET", None), ("POST", b"release 7"), ("PUT", b"x" * 200_000))
    def test_request_reaches_the_back_end_unchanged(self, method, body):
        answer = self.call(method, "/racks/7?full=1", body)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["x-dogwoodtack-outcome"], "ran")
        echo = answer.json()
        self.assertEqual(echo["method"], method)
        self.assertEqual(echo["target"], "/racks/7?full=1")
        self.assertEqual(echo["body_bytes"], len(body or b""))

    def test_head_has_no_body(self):
        answer = self.call("HEAD", "/racks/7")
        self.assertEqual((answer.status, answer.body), (200, b""))

    def test_no_route(self):
        answer = http_call(
            self.fleet.nodes[0].caller, "GET", "/", None, {"Host": "nobody.example"}
        )
        self.assertEqual(answer.status, 404)
        self.assertEqual(answer.headers["x-dogwoodtack-outcome"], "not-run")

    def test_large_download(self):
        size = 50_000_000
        answer = self.call("GET", f"/download/{size}")
        self.assertEqual(len(answer.body), size)

    def test_discovery_and_key(self):
        target = "/.well-known/dogwoodtack/services/jobtrack"
        found = self.call("GET", target).json()
        caller_address = str(self.fleet.nodes[0].caller)
        self.assertEqual(found["addresses"][0]["address"], caller_address)
        key = found["key_prefix"] + "release-1"
        first = self.call("POST", "/release", b"1", Idempotency_Key=key)
        again = self.call("POST", "/release", b"1", Idempotency_Key=key)
        self.assertEqual(first.body, again.body)
        executed = [
            line
            for name in self.fleet.backends
            for line in self.fleet.journal(name)
            if line["key"] == key
        ]
        self.assertEqual(len(executed), 1)

    def test_operator_key_is_required(self):
        node = self.fleet.nodes[0]
        answer = http_call(node.operator, "GET", "/status")
        self.assertEqual(answer.status, 401)
        self.assertEqual(json.loads(answer.body)["error"], "unauthorized")


class GracefulStopTest(unittest.TestCase):
    def test_stop_completes_requests_in_flight(self):
        with Fleet() as fleet:
            fleet.start_platform()
            fleet.start_backend("jt-1", work_ms=5)
            node = fleet.start_nodes(1)[0]
            value = fleet.service_value("jobtrack.example")
            fleet.wait_service("jt", fleet.put_object("service", "jt", value))
            self.assertEqual(
                http_call(node.caller, "GET", "/", None, HOST_HEADER).status, 200
            )
            fleet.signal(node.name, signal.SIGTERM)
            answer = http_call(node.caller, "GET", "/", None, HOST_HEADER)
            self.assertEqual(answer.status, 200)
            self.assertEqual(fleet.wait_exit(node.name), 0)
            self.assertIn(
                "event=stopped reason=drained cut=0", fleet.log_text(node.name)
            )
