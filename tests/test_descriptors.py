"""An entry host keeps descriptors for instances when callers need more than it has."""

import socket
import time

from nose2.tools import params

from tests.test_entry_host import HOST, EntryHostTest

MAX_DESCRIPTORS = 600
# More connections than the host may have descriptors.
CONNECTIONS = 700
RESPONSE_TIMEOUT_S = 3.0
TARGETS = {"callers": "/look/1", "directory": "/dogwoodtack/resolve?name=" + HOST}


class DescriptorsTest(EntryHostTest):
    max_descriptors = MAX_DESCRIPTORS

    def open_connections(self, port, target):
        """Send one request on each of many connections, and keep those that may stay.

        Returns:
            the statuses, 0 where the connection was closed without a response.
        """
        statuses = []
        for number in range(CONNECTIONS):
            sock = socket.create_connection(("127.0.0.1", port), RESPONSE_TIMEOUT_S)
            self.addCleanup(sock.close)
            head = (
                f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Dogwoodtack-Request-Id: {number:016x}\r\n"
                "X-Dogwoodtack-Deadline-Ms: 2000\r\n\r\n"
            )
            try:
                sock.sendall(head.encode())
                lines = sock.recv(65536).lower().split(b"\r\n")
            except ConnectionError:
                lines = [b""]
            if b"connection: close" in lines:
                sock.close()
            statuses.append(int(lines[0].split()[1]) if lines[0] else 0)
        return statuses

    @params("callers", "directory")
    def test_requests_are_served_while_callers_keep_connections(self, kind):
        """Without descriptors for instances, requests waited for their deadline."""
        self.serve()
        port = self.ports[{"callers": 0, "directory": 2}[kind]]
        statuses = self.open_connections(port, TARGETS[kind])
        self.assertEqual(statuses.count(200), CONNECTIONS)
        # Instances close kept connections, so that new ones are needed.
        time.sleep(0.5)
        for number in range(20):
            began_at = time.monotonic()
            answer, _ = self.call("GET", f"/look/{number}", f"{number:016x}")
            self.assertEqual(answer.status, 200)
            self.assertLess(time.monotonic() - began_at, 1.0)
        log = self.log.read_text()
        for event in ("accept-failed", "connect-failed", "callback-failed"):
            self.assertNotIn(f"event={event}", log)
