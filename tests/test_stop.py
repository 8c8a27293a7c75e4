"""A planned stop cuts no request, neither a long download nor one after another."""

import http.client
import signal
import threading
import unittest

from lab.fleet import Fleet, http_call

HOST = {"Host": "jobtrack.example"}
DOWNLOAD_BYTES = 300_000_000
CALLERS = 16
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
        conn.request("GET", f"/download/{DOWNLOAD_BYTES}", headers=HOST)
        resp = conn.getresponse()
        received.append(0)
        while data := resp.read(SLOW_READ_BYTES):
            received[0] += len(data)
        conn.close()

    def call_until_told_to_close(self, statuses):
        """Send one request after another on one connection, as long as it stands."""
        conn = http.client.HTTPConnection(*self.node.caller, timeout=60)
        while True:
            try:
                conn.request("GET", "/racks", headers=HOST)
                resp = conn.getresponse()
                resp.read()
            except (OSError, http.client.HTTPException) as exc:
                statuses.append(repr(exc))
                return
            statuses.append(resp.status)
            if resp.getheader("connection") == "close":
                conn.close()
                return

    def test_nothing_is_cut(self):
        received, statuses = [], []
        threads = [threading.Thread(target=self.download, args=(received,))]
        for _ in range(CALLERS):
            target = self.call_until_told_to_close
            threads.append(threading.Thread(target=target, args=(statuses,)))
        for thread in threads:
            thread.start()
        self.fleet.wait_until(
            lambda: received and len(statuses) > CALLERS, "all are under way"
        )
        self.fleet.signal(self.node.name, signal.SIGTERM)
        for thread in threads:
            thread.join(60)
        self.assertEqual(received, [DOWNLOAD_BYTES])
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.fleet.wait_exit(self.node.name), 0)
        self.assertIn("cut=0", self.fleet.log_text(self.node.name))

    def test_second_signal_says_what_it_cut(self):
        received = []
        thread = threading.Thread(target=self.download_cut, args=(received,))
        thread.start()
        self.fleet.wait_until(lambda: received, "the download is under way")
        self.fleet.signal(self.node.name, signal.SIGTERM)
        text = "event=leaving"
        self.fleet.wait_until(
            lambda: text in self.fleet.log_text(self.node.name), "the node is leaving"
        )
        self.fleet.signal(self.node.name, signal.SIGTERM)
        self.assertEqual(self.fleet.wait_exit(self.node.name), 1)
        thread.join(60)
        self.assertEqual(received[1:], ["cut"])
        log = self.fleet.log_text(self.node.name)
        self.assertIn("reason=second-signal cut=1", log)

    def download_cut(self, received):
        conn = http.client.HTTPConnection(*self.node.caller, timeout=60)
        conn.request("GET", f"/download/{DOWNLOAD_BYTES}", headers=HOST)
        resp = conn.getresponse()
        received.append(resp.read(1000))
        self.fleet.wait_exit(self.node.name)
        try:
            while resp.read(SLOW_READ_BYTES):
                pass
            received.append("whole")
        except (http.client.IncompleteRead, ConnectionError):
            received.append("cut")
        conn.close()

    def test_discovery_names_it_no_more_while_it_still_serves(self):
        other = self.fleet.start_nodes(1)[0]
        self.fleet.wait_service("jobtrack", 1)
        target = "/.well-known/dogwoodtack/services/jobtrack"

        def named():
            answer = http_call(other.caller, "GET", target)
            if answer.status != 200:
                return None
            return [item["address"] for item in answer.json()["addresses"]]

        self.fleet.wait_until(
            lambda: str(self.node.caller) in (named() or ()), "it is named"
        )
        self.fleet.signal(self.node.name, signal.SIGTERM)
        answer = http_call(self.node.caller, "GET", "/racks", None, HOST)
        self.assertEqual(answer.status, 200)
        self.fleet.wait_until(
            lambda: str(self.node.caller) not in (named() or (str(self.node.caller),)),
            "it is named no more",
        )
        self.assertEqual(self.fleet.wait_exit(self.node.name), 0)
