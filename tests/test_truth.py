"""What a caller is told of a non-idempotent request is true at every step."""

import signal
import socket
import time
import unittest
from contextlib import closing

from nose2.tools import params

from lab.fleet import Fleet, http_call

HOST = "jobtrack.example"
DISCOVERY = "/.well-known/dogwoodtack/services/jobtrack"
WAIT_S = 10.0
MAX_BODY_BYTES = 200_000


def listen():
    """Return a socket on which a test plays the back end itself."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(8)
    sock.settimeout(WAIT_S)
    return sock


class TruthCase(unittest.TestCase):
    settings = {
        "keys": {"epoch_s": 0.2},
        "callers": {"max_body_bytes": MAX_BODY_BYTES},
    }
    nodes = 1

    def setUp(self):
        self.fleet = Fleet(self.settings)
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()

    def serve(self, **fields):
        self.fleet.start_nodes(self.nodes)
        value = self.fleet.service_value(HOST, **fields)
        version = self.fleet.put_object("service", "jobtrack", value)
        self.fleet.wait_service("jobtrack", version)
        self.node = self.fleet.nodes[0]

    def serve_by_hand(self):
        """Let the test play the only back end that takes connections."""
        self.backend = self.enterContext(closing(listen()))
        self.fleet.backends["by-hand"] = "%s:%d" % self.backend.getsockname()

    def key(self, token="release-1"):
        return self.call("GET", DISCOVERY).json()["key_prefix"] + token

    def call(self, method, target="/", body=None, host=HOST, node=None, **headers):
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        caller = (node or self.node).caller
        return http_call(caller, method, target, body, {"Host": host, **named})

    def connect(self, head):
        """Open a caller's connection and send the start of a request."""
        sock = socket.create_connection(self.node.caller, timeout=WAIT_S)
        self.addCleanup(sock.close)
        sock.sendall(head.format(host=HOST).encode())
        return sock

    @staticmethod
    def read_all(sock):
        data = b""
        try:
            while piece := sock.recv(65536):
                data += piece
        except ConnectionResetError:
            pass
        return data

    def assert_told(self, answer, status, outcome):
        self.assertEqual(
            (answer.status, answer.headers["x-dogwoodtack-outcome"]),
            (status, outcome),
        )


class ByHandTest(TruthCase):
    def setUp(self):
        super().setUp()
        self.serve_by_hand()

    def test_upload_over_the_limit_after_its_start_was_sent_on(self):
        self.serve()
        head = "POST / HTTP/1.1\r\nhost: {host}\r\ntransfer-encoding: chunked\r\n\r\n"
        caller = self.connect(head)
        piece = b"x" * (MAX_BODY_BYTES // 2 + 1)
        chunk = b"%x\r\n%s\r\n" % (len(piece), piece)
        caller.sendall(chunk)
        with closing(self.backend.accept()[0]) as conn:
            self.assertTrue(conn.recv(1))
            caller.sendall(chunk)
            self.assertNotIn(b"not-run", self.read_all(caller))

    def test_idempotent_request_that_was_sent_and_then_refused(self):
        self.fleet.backends["closed"] = "127.0.0.1:1"
        self.serve()
        for _ in range(8):
            request = "GET / HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n\r\n"
            caller = self.connect(request)
            with closing(self.backend.accept()[0]) as conn:
                self.assertTrue(conn.recv(1))
            self.assertIn(b"outcome: unknown", self.read_all(caller))

    @params(b"", b"HTTP/1.1 200 \r\ncontent-length: 5\r\n\r\nstray")
    def test_connection_that_was_closed_or_sent_stray_bytes_is_not_used(self, stray):
        self.serve()
        whole = b"HTTP/1.1 200 \r\ncontent-length: 0\r\n\r\n"
        caller = self.connect("GET / HTTP/1.1\r\nhost: {host}\r\n\r\n")
        idle = self.backend.accept()[0]
        idle.recv(65536)
        idle.sendall(whole)
        self.assertIn(b"outcome: ran", caller.recv(65536))
        self.fleet.signal(self.node.name, signal.SIGSTOP)
        head = f"POST / HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 0\r\n"
        caller.sendall(f"{head}connection: close\r\n\r\n".encode())
        idle.sendall(stray)
        idle.close()
        self.fleet.signal(self.node.name, signal.SIGCONT)
        with closing(self.backend.accept()[0]) as conn:
            conn.recv(65536)
            conn.sendall(whole)
            answer = self.read_all(caller)
        self.assertIn(b"outcome: ran", answer)
        self.assertNotIn(b"stray", answer)

    def test_large_shed_answer_is_not_passed_on(self):
        self.serve()
        head = "POST / HTTP/1.1\r\nhost: {host}\r\ncontent-length: 0\r\n"
        caller = self.connect(head + "connection: close\r\n\r\n")
        with closing(self.backend.accept()[0]) as conn:
            self.assertTrue(conn.recv(1))
            body = b"y" * 100_000
            shed = (
                b"HTTP/1.1 503 \r\nx-not-executed: shed\r\ncontent-length: %d\r\n\r\n"
            )
            conn.sendall(shed % len(body) + body)
            answer = self.read_all(caller)
        self.assertIn(b"outcome: not-run", answer)
        self.assertNotIn(body[:100], answer)

    def test_answer_cut_at_every_byte(self):
        self.serve()
        whole = b"HTTP/1.1 200 \r\ncontent-length: 5\r\n\r\nwhole"
        for size in range(len(whole) + 1):
            head = "POST / HTTP/1.1\r\nhost: {host}\r\ncontent-length: 0\r\n"
            caller = self.connect(head + "connection: close\r\n\r\n")
            with closing(self.backend.accept()[0]) as conn:
                self.assertTrue(conn.recv(65536))
                conn.sendall(whole[:size])
            outcome = b"ran" if size == len(whole) else b"unknown"
            self.assertIn(b"outcome: " + outcome, self.read_all(caller), size)


class StandInTest(TruthCase):
    nodes = 2

    def setUp(self):
        super().setUp()
        self.fleet.start_backend("jt-1", work_ms=5)

    def test_copy_refused_unsettled_is_not_told_not_run(self):
        self.serve()
        key = self.key()
        unrouted = self.call("POST", "/", b"", "old.example", Idempotency_Key=key)
        self.assert_told(unrouted, 404, "not-run")
        self.assert_told(self.call("POST", "/", b"", Idempotency_Key=key), 200, "ran")
        for node in self.fleet.nodes:
            unrouted = self.call(
                "POST", "/", b"", "old.example", node, Idempotency_Key=key
            )
            self.assert_told(unrouted, 404, "unknown")

    def test_caller_that_left_before_dispatch_is_not_dispatched(self):
        self.serve()
        # The first request leaves an idle connection, so that a dispatch after
        # the pause would not wait for a new one.
        self.call("GET", "/before")
        self.fleet.signal(self.node.name, signal.SIGSTOP)
        self.connect(
            "POST / HTTP/1.1\r\nhost: {host}\r\ncontent-length: 0\r\n\r\n"
        ).close()
        self.fleet.signal(self.node.name, signal.SIGCONT)
        self.assert_told(self.call("GET", "/after"), 200, "ran")
        targets = [line["target"] for line in self.fleet.journal("jt-1")]
        self.assertEqual(targets, ["/before", "/after"])

    def test_request_cut_at_every_byte(self):
        self.serve()
        whole = "POST /cut HTTP/1.1\r\nhost: {host}\r\ncontent-length: 4\r\n\r\nbody"
        whole = whole.format(host=HOST)
        for size in range(len(whole)):
            self.connect(whole[:size]).close()
        self.assert_told(self.call("POST", "/whole", b"body"), 200, "ran")
        targets = [line["target"] for line in self.fleet.journal("jt-1")]
        self.assertEqual(targets, ["/whole"])

    def test_expired_key(self):
        self.serve()
        key = self.key()
        used = self.key("release-2")
        answer = self.call("POST", "/", b"", Idempotency_Key=used)
        self.assert_told(answer, 200, "ran")
        time.sleep(0.2 * 12)
        for node in self.fleet.nodes:
            late = self.call("POST", "/", b"", node=node, Idempotency_Key=key)
            self.assert_told(late, 410, "unknown")
            late = self.call("POST", "/", b"", node=node, Idempotency_Key=used)
            self.assertEqual(late.body, answer.body)

    def test_deadline_passes_while_the_owner_is_paused(self):
        self.serve()
        key = self.key()
        other = self.fleet.nodes[1]
        head = {"Idempotency_Key": key, "X_Deadline_Ms": "100"}
        self.fleet.signal(self.node.name, signal.SIGSTOP)
        late = self.call("POST", "/", b"", node=other, **head)
        self.fleet.signal(self.node.name, signal.SIGCONT)
        self.assert_told(late, 504, "unknown")
        self.assertEqual(late.headers["x-dogwoodtack-error"], "deadline-passed")

        def has_run():
            answers = [
                self.call("POST", "/", b"", node=node, Idempotency_Key=key)
                for node in self.fleet.nodes
            ]
            return all(answer.status == 200 for answer in answers)

        self.fleet.wait_until(has_run, "the key has run")
        self.assertEqual(len(self.fleet.journal("jt-1")), 1)

    def test_streamed_bodies_that_differ_are_different_requests(self):
        self.serve()
        key = self.key()
        for first, status, outcome in (("x", 200, "ran"), ("y", 422, "not-run")):
            body = (first + "z" * 100_000).encode()
            for _ in range(2):
                answer = self.call("POST", "/", body, Idempotency_Key=key)
                self.assert_told(answer, status, outcome)
        self.assertEqual(len(self.fleet.journal("jt-1")), 1)

    @params(("run", 200, "ran"), ("refuse", 428, "not-run"))
    def test_keyless(self, keyless, status, outcome):
        self.serve(keyless=keyless)
        self.assert_told(self.call("POST", "/", b""), status, outcome)
