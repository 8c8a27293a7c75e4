"""Back ends of dogwoodtackd that send bytes without end, in a response or in its place.

The entry host has its own: EndlessResponseTest in test_entry_host.py.
"""

import http.client
import socket
import threading
import time
import unittest

from nose2.tools import params

from dogwoodtack_standins.site import ENDLESS_HEADS, ENDLESS_PIECES
from lab.fleet import Fleet, http_call
from tests.test_responses import MAX_RESIDENT_KB, peak_resident_kb

HOST_HEADER = {"Host": "endless.example"}
SOUND_HEADER = {"Host": "jobtrack.example"}
CALLERS = 8
READ_S = 1.0
READ_SIZE_BYTES = 1024
TIMEOUT_MS = 2000
# The route's time limit, and then a response that makes no progress for as long as the
# host waits for some, twice; the rest is for busy machines.
DONE_S = 12.0
DEFAULT_PIECE = b"x" * 65536


class EndlessBackend:
    """Sends a head and then one piece again and again, until its caller closes."""

    def __init__(self, behaviour, piece=None, pause_s=0.0):
        self._head = ENDLESS_HEADS[behaviour]
        self._piece = piece or ENDLESS_PIECES.get(behaviour, DEFAULT_PIECE)
        self._pause_s = pause_s
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.accepted = 0
        self.closed_by_caller = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with sock:
            try:
                request = sock.recv(65536)
                request_id = next(
                    line.partition(b":")[2].strip()
                    for line in request.split(b"\r\n")
                    if line.lower().startswith(b"x-request-id:")
                )
                sock.sendall(self._head.replace(b"REQUEST-ID", request_id))
                while True:
                    sock.sendall(self._piece)
                    time.sleep(self._pause_s)
            except (OSError, StopIteration):
                self.closed_by_caller += 1


class EndlessResponsesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet({"callers": {"stall_timeout_s": 2}})
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start_platform()
        cls.fleet.start_backend("well", work_ms=2, slots=40)
        cls.node = cls.fleet.start_nodes(1)[0]
        value = cls.fleet.service_value("jobtrack.example", floor=1)
        cls.fleet.wait_service(
            "jobtrack", cls.fleet.put_object("service", "jobtrack", value)
        )

    def route_to(self, name, backends):
        value = {
            "routes": [{"host": f"{name}.example", "prefix": "/"}],
            "instances": [
                {"name": f"{name}-{number}", "address": one.address, "slots": 40}
                for number, one in enumerate(backends)
            ],
            "floor": 2,
            "retry_ratio": 1.0,
        }
        value["routes"][0]["timeout_ms"] = TIMEOUT_MS
        self.fleet.wait_service(name, self.fleet.put_object("service", name, value))

    def read_some(self, name, method):
        """Read a part of a response, if there is one, and leave."""
        conn = http.client.HTTPConnection(*self.node.caller, timeout=DONE_S)
        try:
            conn.request(method, "/racks/7", headers={"Host": f"{name}.example"})
            resp = conn.getresponse()
            end = time.monotonic() + READ_S
            while time.monotonic() < end and resp.read(READ_SIZE_BYTES):
                pass
        except (OSError, http.client.HTTPException):
            # The response ended early, as it should.
            pass
        finally:
            conn.close()

    @params(*ENDLESS_HEADS)
    def test_memory_and_other_requests(self, behaviour):
        """One back end's bytes filled a host's memory and ended all its requests."""
        backends = [EndlessBackend(behaviour) for _ in range(2)]
        for one in backends:
            self.addCleanup(one.close)
        self.route_to(behaviour, backends)
        threads = [
            threading.Thread(target=self.read_some, args=(behaviour, method))
            for method in ("GET", "POST") * (CALLERS // 2)
        ]
        for thread in threads:
            thread.start()
        began_at = time.monotonic()
        while any(thread.is_alive() for thread in threads):
            answer = http_call(self.node.caller, "GET", "/racks/1", None, SOUND_HEADER)
            self.assertEqual(answer.status, 200)
            time.sleep(0.05)
        self.assertLess(time.monotonic() - began_at, DONE_S)
        peak_kb = peak_resident_kb(self.fleet.procs[self.node.name].pid)
        self.assertLess(peak_kb, MAX_RESIDENT_KB)
        self.wait_closed(backends)

    def wait_closed(self, backends):
        end = time.monotonic() + DONE_S
        while any(one.closed_by_caller < one.accepted for one in backends):
            self.assertLess(time.monotonic(), end, "connections stay open")
            time.sleep(0.05)

    @params("GET", "POST")
    def test_response_that_drips_on_after_its_caller_has_left(self, method):
        """That of a POST request was read for ever, and its slot stayed in use."""
        backends = [
            EndlessBackend("endless-chunks", b"5\r\nrack \r\n", 0.02) for _ in range(2)
        ]
        for one in backends:
            self.addCleanup(one.close)
        name = f"drip-{method.lower()}"
        self.route_to(name, backends)
        self.read_some(name, method)
        self.assertEqual(sum(one.accepted for one in backends), 1)
        self.wait_closed(backends)
