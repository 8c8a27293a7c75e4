"""Request bodies that together exceed the memory of an entry host."""

import hashlib
import http.client
import itertools
import threading
from pathlib import Path

from nose2.tools import params

from tests.scripted_instance import ScriptedInstance, answer
from tests.test_entry_host import HOST, EntryHostTest, configuration

MEMORY_MB = 200
UPLOADS = 5
UPLOAD_BYTES = 40_000_000
CALLERS = 4


def piece(number):
    return bytes([number]) * 1_000_000


class LongBodyTest(EntryHostTest):
    instances = 0
    memory_mb = MEMORY_MB

    def setUp(self):
        super().setUp()
        spec = configuration(7)
        spec["limits"]["maxBodyBytes"] = 64 * 1024 * 1024
        spec["routes"]["r-once"]["timeoutS"] = 8
        self.ran = {}
        for number in range(3):
            one = ScriptedInstance(f"i-{number}", self.respond)
            self.addCleanup(one.close)
            self.store.put("servers", one.name, **one.directory_entry("jobs"))
        self.store.put("config", "main", spec=spec)
        self.wait_until(self.is_ready, "the host is ready")
        self.peak_mb = 0.0
        self.statuses = {}

    def respond(self, instance, sock, request):
        self.ran[int(request.id, 16)] = hashlib.sha256(request.body).digest()
        sock.sendall(answer(request))
        return True

    def watch_memory(self, stop):
        while not stop.wait(0.005):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            kb = int(status.partition("VmRSS:")[2].split()[0])
            self.peak_mb = max(self.peak_mb, kb / 1000)

    def upload(self, number, is_chunked):
        """Send a long body, by its length or in chunks, and record the status."""
        conn = http.client.HTTPConnection("127.0.0.1", self.ports[0], timeout=15)
        headers = {
            "Host": HOST,
            "X-Dogwoodtack-Request-Id": f"{number:016x}",
            "X-Dogwoodtack-Deadline-Ms": "9000",
        }
        pieces = itertools.repeat(piece(number), UPLOAD_BYTES // 1_000_000)
        if not is_chunked:
            headers["Content-Length"] = str(UPLOAD_BYTES)
        try:
            conn.request("POST", "/book/1", pieces, headers, encode_chunked=is_chunked)
            self.statuses[number] = conn.getresponse().status
        except OSError:
            # The connection was closed after a rejection that was not read.
            self.statuses[number] = 0
        finally:
            conn.close()

    @params(False, True)
    def test_host_keeps_within_its_memory(self, is_chunked):
        """The host was killed, and what instances were working on was cut."""
        stop = threading.Event()
        threading.Thread(target=self.watch_memory, args=(stop,), daemon=True).start()
        booked = []

        def book(first):
            for number in range(first, first + 40):
                answer, _ = self.call("POST", "/book/2", f"{number:016x}", b"x")
                booked.append(answer.status)

        threads = [
            threading.Thread(target=self.upload, args=(number, is_chunked))
            for number in range(1, UPLOADS + 1)
        ]
        threads += [
            threading.Thread(target=book, args=(1000 * n,)) for n in range(1, CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        stop.set()
        self.assertLess(self.peak_mb, MEMORY_MB)
        self.assertEqual(set(booked), {200})
        self.assertIn(200, self.statuses.values())
        for number, status in self.statuses.items():
            self.assertIn(status, (200, 503, 0))
            # A rejected request has not run, and one that ran had its whole body.
            self.assertEqual(number in self.ran, status == 200)
            if status == 200:
                expected = piece(number) * (UPLOAD_BYTES // 1_000_000)
                digest = hashlib.sha256(expected).digest()
                self.assertEqual(self.ran[number], digest)

    def test_body_of_the_greatest_length_is_served(self):
        self.upload(1, False)
        self.upload(2, True)
        self.assertEqual(self.statuses, {1: 200, 2: 200}, self.log.read_text())
