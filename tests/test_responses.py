"""Complete responses despite failing back ends; bounded memory for large bodies."""

import http.client
import json
import socket
import time
import unittest
from pathlib import Path

from nose2.tools import params

from lab.fleet import Fleet, http_call

HOST_HEADER = {"Host": "jobtrack.example"}
DOWNLOAD_BYTES = 1 << 30
MAX_RESIDENT_KB = 128 * 1024
READ_SIZE_BYTES = 1 << 20
SLOW_CALLER_COUNT = 20
MAX_ADDED_LATENCY_S = 0.0062


def peak_resident_kb(pid):
    """Return the peak resident memory of a process, in KB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise LookupError("VmHWM")


class ResponseTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet({"callers": {"stall_timeout_s": 5}})
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start_platform()
        cls.fleet.start_backend("sick", work_ms=2, slots=40)
        cls.fleet.start_backend("well", work_ms=2, slots=40)
        cls.node = cls.fleet.start_nodes(1)[0]
        value = cls.fleet.service_value("jobtrack.example", floor=2, retry_ratio=1.0)
        for instance in value["instances"]:
            instance["slots"] = 40
        value["routes"][0]["timeout_ms"] = 2000
        cls.fleet.wait_service(
            "jobtrack", cls.fleet.put_object("service", "jobtrack", value)
        )

    def setUp(self):
        self.addCleanup(self.fleet.set_backend_fault, "sick")

    def call(self, method, target, body=None):
        return http_call(self.node.caller, method, target, body, HOST_HEADER)

    @params("cut_ratio", "over_ratio", "hang_ratio", "crossed")
    def test_idempotent_request_gets_complete_response_despite_fault(self, fault):
        self.fleet.set_backend_fault("sick", **{fault: 1})
        for number in range(10):
            answer = self.call("GET", f"/racks/{number}")
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.json()["target"], f"/racks/{number}")
            self.assertEqual(answer.json()["backend"], "well")

    @params("cut_ratio", "over_ratio", "hang_ratio", "crossed")
    def test_non_idempotent_request_gets_true_outcome_despite_fault(self, fault):
        self.fleet.set_backend_fault("sick", **{fault: 1})
        for number in range(6):
            target = f"/release/{fault}/{number}"
            answer = self.call("POST", target, b"1")
            outcome = answer.headers["x-dogwoodtack-outcome"]
            self.assertIn((answer.status, outcome), self.allowed_results())
            executions = [
                line
                for name in self.fleet.backends
                for line in self.fleet.journal(name)
                if line["target"] == target
            ]
            self.assertEqual(len(executions), 1)

    @staticmethod
    def allowed_results():
        return ((200, "ran"), (502, "unknown"), (504, "unknown"))

    def read_all(self, target):
        """Read a response in pieces and return the size of its body."""
        conn = http.client.HTTPConnection(*self.node.caller, timeout=60)
        conn.request("GET", target, headers=HOST_HEADER)
        resp = conn.getresponse()
        size = 0
        while piece := resp.read(READ_SIZE_BYTES):
            size += len(piece)
        conn.close()
        return size

    def test_large_download_in_bounded_memory(self):
        started_at = time.monotonic()
        self.assertEqual(self.read_all(f"/download/{DOWNLOAD_BYTES}"), DOWNLOAD_BYTES)
        pid = self.fleet.procs[self.node.name].pid
        peak = peak_resident_kb(pid)
        print(f"1 GB in {time.monotonic() - started_at:.1f} s, peak {peak} KB")
        self.assertLess(peak, MAX_RESIDENT_KB)

    def test_large_upload_in_bounded_memory(self):
        size = 300_000_000
        conn = http.client.HTTPConnection(*self.node.caller, timeout=60)
        conn.putrequest("POST", "/packs", skip_host=True)
        conn.putheader("Host", HOST_HEADER["Host"])
        conn.putheader("Content-Length", str(size))
        conn.endheaders()
        for _ in range(size // 1_000_000):
            conn.send(bytes(1_000_000))
        echo = json.loads(conn.getresponse().read())
        conn.close()
        self.assertEqual(echo["method"], "POST")
        pid = self.fleet.procs[self.node.name].pid
        self.assertLess(peak_resident_kb(pid), MAX_RESIDENT_KB)

    def test_slow_callers_do_not_delay_others(self):
        baseline = self.latencies()
        slow_socks = [self.slow_caller() for _ in range(SLOW_CALLER_COUNT)]
        loaded = self.latencies()
        for sock in slow_socks:
            sock.close()
        added = loaded[len(loaded) // 2] - baseline[len(baseline) // 2]
        print(
            f"median latency added by {SLOW_CALLER_COUNT} slow callers: "
            f"{added * 1000:.2f} ms"
        )
        self.assertLess(added, MAX_ADDED_LATENCY_S)

    def slow_caller(self):
        """Request a download and read none of it."""
        sock = socket.create_connection(self.node.caller)
        sock.sendall(
            b"GET /download/50000000 HTTP/1.1\r\nHost: jobtrack.example\r\n\r\n"
        )
        return sock

    def latencies(self):
        latencies_s = []
        for _ in range(50):
            started_at = time.monotonic()
            answer = self.call("GET", "/racks/1")
            self.assertEqual(answer.status, 200, self.fleet.log_text(self.node.name))
            latencies_s.append(time.monotonic() - started_at)
        return sorted(latencies_s)
