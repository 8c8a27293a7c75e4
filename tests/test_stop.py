"""A graceful stop interrupts no request, unless a second signal ends it.

Covered are a long download, callers that send requests back to back on one
keep-alive connection, and the host's removal from discovery.
"""

import http.client
import signal
import threading
import unittest

from lab.fleet import Fleet, http_call

HOST_HEADER = {"Host": "jobtrack.example"}
DOWNLOAD_BYTES = 300_000_000
CALLER_COUNT = 16
SLOTS = 32
SLOW_READ_BYTES = 4_000_000


class GracefulStopTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.fleet.start_backend("jt-1", work_ms=5, slots=SLOTS)
        self.node = self.fleet.start_nodes(1)[0]
        value = self.fleet.service_value("jobtrack.example")
        value["instances"][0]["slots"] = SLOTS
        version = self.fleet.put_object("service", "jobtrack", value)
        self.fleet.wait_service("jobtrack", version)

    def download(self, received):
        conn = http.client.HTTPConnection(*self.node.caller, timeout=60)
        conn.request("GET", f"/download/{DOWNLOAD_BYTES}", headers=HOST_HEADER)
        resp = conn.getresponse()
        received.append(0)
        while data := resp.read(SLOW_READ_BYTES):
            received[0] += len(data)
        conn.close()

    def call_until_connection_close(self, statuses):
        """Send requests on one connection until the host asks to close it."""
        conn = http.client.HTTPConnection(*self.node.caller, timeout=60)
        while True:
            try:
                conn.request("GET", "/racks", headers=HOST_HEADER)
                resp = conn.getresponse()
                resp.read()
            except (OSError, http.client.HTTPException) as exc:
                statuses.append(repr(exc))
                return
            statuses.append(resp.status)
            if resp.getheader("connection") == "close":
                conn.close()
                return

    def test_no_request_is_interrupted(self):
        received, statuses = [], []
        threads = [threading.Thread(target=self.download, args=(received,))]
        for _ in range(CALLER_COUNT):
            target = self.call_until_connection_close
            threads.append(threading.Thread(target=target, args=(statuses,)))
        for thread in threads:
            thread.start()
        self.fleet.wait_until(
            lambda: received and len(statuses) > CALLER_COUNT,
            "all requests are in flight",
        )
        self.fleet.signal(self.node.name, signal.SIGTERM)
        for thread in threads:
            thread.join(60)
        self.assertEqual(received, [DOWNLOAD_BYTES])
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.fleet.wait_exit(self.node.name), 0)
        self.assertIn("cut=0", self.fleet.log_text(self.node.name))

    def test_second_signal_logs_the_interrupted_requests(self):
        received = []
        thread = threading.Thread(target=self.download_interrupted, args=(received,))
        thread.start()
        self.fleet.wait_until(lambda: received, "the download has started")
        self.fleet.signal(self.node.name, signal.SIGTERM)
        event = "event=leaving"
        self.fleet.wait_until(
            lambda: event in self.fleet.log_text(self.node.name), "the node is leaving"
        )
        self.fleet.signal(self.node.name, signal.SIGTERM)
        self.assertEqual(self.fleet.wait_exit(self.node.name), 1)
        thread.join(60)
        self.assertEqual(received[1:], ["cut"])
        log = self.fleet.log_text(self.node.name)
        self.assertIn("reason=second-signal cut=1", log)

    def download_interrupted(self, received):
        conn = http.client.HTTPConnection(*self.node.caller, timeout=60)
        conn.request("GET", f"/download/{DOWNLOAD_BYTES}", headers=HOST_HEADER)
        resp = conn.getresponse()
        received.append(resp.read(1000))
        self.fleet.wait_exit(self.node.name)
        try:
            while resp.read(SLOW_READ_BYTES):
                pass
            received.append("complete")
        except (http.client.IncompleteRead, ConnectionError):
            received.append("cut")
        conn.close()

    def test_leaving_host_is_undiscoverable_but_still_serves(self):
        other = self.fleet.start_nodes(1)[0]
        self.fleet.wait_service("jobtrack", 1)
        target = "/.well-known/dogwoodtack/services/jobtrack"

        def discovered():
            answer = http_call(other.caller, "GET", target)
            if answer.status != 200:
                return None
            return [item["address"] for item in answer.json()["addresses"]]

        self.fleet.wait_until(
            lambda: str(self.node.caller) in (discovered() or ()),
            "discovery returns the host",
        )
        self.fleet.signal(self.node.name, signal.SIGTERM)
        answer = http_call(self.node.caller, "GET", "/racks", None, HOST_HEADER)
        self.assertEqual(answer.status, 200)
        self.fleet.wait_until(
            lambda: str(self.node.caller)
            not in (discovered() or (str(self.node.caller),)),
            "discovery no longer returns the host",
        )
        self.assertEqual(self.fleet.wait_exit(self.node.name), 0)
