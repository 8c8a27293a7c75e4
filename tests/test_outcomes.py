"""The outcome reported to a caller is true, wherever a request fails.

The outcomes are `ran`, `not-run` and `unknown`.
"""

import signal
import socket
import time
import unittest
from contextlib import closing

from nose2.tools import params

from lab.fleet import Fleet, http_call

HOST = "jobtrack.example"
DISCOVERY = "/.well-known/dogwoodtack/services/jobtrack"
SOCKET_TIMEOUT_S = 10.0
MAX_BODY_BYTES = 200_000


def listening_socket():
    """Return a listening socket on which a test acts as the back end."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(8)
    sock.settimeout(SOCKET_TIMEOUT_S)
    return sock


class OutcomeCase(unittest.TestCase):
    settings = {
        "keys": {"epoch_s": 0.2},
        "callers": {"max_body_bytes": MAX_BODY_BYTES},
    }
    node_count = 1

    def setUp(self):
        self.fleet = Fleet(self.settings)
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()

    def serve(self, **fields):
        self.fleet.start_nodes(self.node_count)
        value = self.fleet.service_value(HOST, **fields)
        version = self.fleet.put_object("service", "jobtrack", value)
        self.fleet.wait_service("jobtrack", version)
        self.node = self.fleet.nodes[0]

    def start_socket_backend(self):
        """Add a back end whose connections the test accepts itself."""
        self.backend = self.enterContext(closing(listening_socket()))
        self.fleet.backends["by-hand"] = "%s:%d" % self.backend.getsockname()

    def key(self, token="release-1"):
        return self.call("GET", DISCOVERY).json()["key_prefix"] + token

    def call(self, method, target="/", body=None, host=HOST, node=None, **headers):
        extra_headers = {key.replace("_", "-"): value for key, value in headers.items()}
        caller = (node or self.node).caller
        return http_call(caller, method, target, body, {"Host": host, **extra_headers})

    def connect(self, head):
        """Open a connection to the entry host and send the start of a request."""
        sock = socket.create_connection(self.node.caller, timeout=SOCKET_TIMEOUT_S)
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

    def assert_outcome(self, answer, status, outcome):
        self.assertEqual(
            (answer.status, answer.headers["x-dogwoodtack-outcome"]),
            (status, outcome),
        )


class SocketBackendTest(OutcomeCase):
    def setUp(self):
        super().setUp()
        self.start_socket_backend()

    def test_upload_over_the_limit_after_its_start_was_forwarded(self):
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

    def test_idempotent_request_that_was_sent_and_whose_retry_is_refused(self):
        self.fleet.backends["closed"] = "127.0.0.1:1"
        self.serve()
        for _ in range(8):
            request = "GET / HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n\r\n"
            caller = self.connect(request)
            with closing(self.backend.accept()[0]) as conn:
                self.assertTrue(conn.recv(1))
            self.assertIn(b"outcome: unknown", self.read_all(caller))

    @params(b"", b"HTTP/1.1 200 \r\ncontent-length: 5\r\n\r\nstray")
    def test_connection_with_eof_or_unexpected_bytes_is_not_reused(self, extra_bytes):
        self.serve()
        complete = b"HTTP/1.1 200 \r\ncontent-length: 0\r\n\r\n"
        caller = self.connect("GET / HTTP/1.1\r\nhost: {host}\r\n\r\n")
        idle = self.backend.accept()[0]
        idle.recv(65536)
        idle.sendall(complete)
        self.assertIn(b"outcome: ran", caller.recv(65536))
        self.fleet.signal(self.node.name, signal.SIGSTOP)
        head = f"POST / HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 0\r\n"
        caller.sendall(f"{head}connection: close\r\n\r\n".encode())
        idle.sendall(extra_bytes)
        idle.close()
        self.fleet.signal(self.node.name, signal.SIGCONT)
        with closing(self.backend.accept()[0]) as conn:
            conn.recv(65536)
            conn.sendall(complete)
            answer = self.read_all(caller)
        self.assertIn(b"outcome: ran", answer)
        self.assertNotIn(b"stray", answer)

    def test_large_shed_response_is_not_forwarded(self):
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

    def test_response_truncated_at_every_byte(self):
        self.serve()
        complete = b"HTTP/1.1 200 \r\ncontent-length: 5\r\n\r\nwhole"
        for size in range(len(complete) + 1):
            head = "POST / HTTP/1.1\r\nhost: {host}\r\ncontent-length: 0\r\n"
            caller = self.connect(head + "connection: close\r\n\r\n")
            with closing(self.backend.accept()[0]) as conn:
                self.assertTrue(conn.recv(65536))
                conn.sendall(complete[:size])
            outcome = b"ran" if size == len(complete) else b"unknown"
            self.assertIn(b"outcome: " + outcome, self.read_all(caller), size)


class StandInBackendTest(OutcomeCase):
    node_count = 2

    def setUp(self):
        super().setUp()
        self.fleet.start_backend("jt-1", work_ms=5)

    def test_rejected_copy_of_an_executed_request_is_not_reported_not_run(self):
        self.serve()
        key = self.key()
        unrouted = self.call("POST", "/", b"", "old.example", Idempotency_Key=key)
        self.assert_outcome(unrouted, 404, "not-run")
        self.assert_outcome(
            self.call("POST", "/", b"", Idempotency_Key=key), 200, "ran"
        )
        for node in self.fleet.nodes:
            unrouted = self.call(
                "POST", "/", b"", "old.example", node, Idempotency_Key=key
            )
            self.assert_outcome(unrouted, 404, "unknown")

    def test_request_of_a_closed_connection_is_not_dispatched(self):
        self.serve()
        # The first request leaves an idle back end connection, so that a dispatch
        # after the pause would not have to wait for a new one.
        self.call("GET", "/before")
        self.fleet.signal(self.node.name, signal.SIGSTOP)
        self.connect(
            "POST / HTTP/1.1\r\nhost: {host}\r\ncontent-length: 0\r\n\r\n"
        ).close()
        self.fleet.signal(self.node.name, signal.SIGCONT)
        self.assert_outcome(self.call("GET", "/after"), 200, "ran")
        targets = [line["target"] for line in self.fleet.journal("jt-1")]
        self.assertEqual(targets, ["/before", "/after"])

    def test_request_truncated_at_every_byte(self):
        self.serve()
        complete = "POST /cut HTTP/1.1\r\nhost: {host}\r\ncontent-length: 4\r\n\r\nbody"
        complete = complete.format(host=HOST)
        for size in range(len(complete)):
            self.connect(complete[:size]).close()
        self.assert_outcome(self.call("POST", "/whole", b"body"), 200, "ran")
        targets = [line["target"] for line in self.fleet.journal("jt-1")]
        self.assertEqual(targets, ["/whole"])

    def test_expired_key(self):
        self.serve()
        key = self.key()
        used = self.key("release-2")
        answer = self.call("POST", "/", b"", Idempotency_Key=used)
        self.assert_outcome(answer, 200, "ran")
        time.sleep(0.2 * 12)
        for node in self.fleet.nodes:
            late = self.call("POST", "/", b"", node=node, Idempotency_Key=key)
            self.assert_outcome(late, 410, "unknown")
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
        self.assert_outcome(late, 504, "unknown")
        self.assertEqual(late.headers["x-dogwoodtack-error"], "deadline-passed")

        def has_run():
            answers = [
                self.call("POST", "/", b"", node=node, Idempotency_Key=key)
                for node in self.fleet.nodes
            ]
            return all(answer.status == 200 for answer in answers)

        self.fleet.wait_until(has_run, "the key has run")
        self.assertEqual(len(self.fleet.journal("jt-1")), 1)

    def test_key_reused_with_another_streamed_body_is_rejected(self):
        self.serve()
        key = self.key()
        for first, status, outcome in (("x", 200, "ran"), ("y", 422, "not-run")):
            body = (first + "z" * 100_000).encode()
            for _ in range(2):
                answer = self.call("POST", "/", body, Idempotency_Key=key)
                self.assert_outcome(answer, status, outcome)
        self.assertEqual(len(self.fleet.journal("jt-1")), 1)

    @params(("run", 200, "ran"), ("refuse", 428, "not-run"))
    def test_keyless(self, keyless, status, outcome):
        self.serve(keyless=keyless)
        self.assert_outcome(self.call("POST", "/", b""), status, outcome)
