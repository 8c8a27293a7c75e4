"""An instance stops in the middle of its response's head, and closes."""

import itertools
import socket
import struct

from nose2.tools import params

from tests.scripted_instance import ScriptedInstance, answer
from tests.test_entry_host import EntryHostTest, configuration

# Positions of the cut, as shares of the response's head.
CUTS = (0.02, 0.5, 0.95, 1.0)
NO_LINGER = struct.pack("ii", 1, 0)
REQUESTS = (
    ("GET", "/look/1", None),
    ("HEAD", "/look/1", None),
    ("POST", "/book/1", b""),
)


class CutHeadTest(EntryHostTest):
    instances = 0

    def register(self, name, cut, framing, is_reset):
        def respond(instance, sock, request):
            instance.runs[request.id] += 1
            if request.is_first and cut < 1.0:
                # A kept connection is cut later on.
                sock.sendall(answer(request))
                return True
            data = answer(request, framing)
            head_bytes = data.index(b"\r\n\r\n") + 4
            # The last one cuts the body, or the head's last newline.
            sock.sendall(data[: min(int(cut * head_bytes), head_bytes - 1)])
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            return False

        instance = ScriptedInstance(name, respond)
        self.addCleanup(instance.close)
        self.store.put("servers", name, **instance.directory_entry("jobs"))

    @params(*itertools.product(("length", "chunked", "close"), (False, True)))
    def test_no_caller_gets_a_success(self, framing, is_reset):
        """Callers got a 200 with an empty or short body, framed as whole."""
        self.store.put("config", "main", spec=configuration(7))
        numbers = itertools.count(1)
        for cut_number, cut in enumerate(CUTS):
            name = f"i-{cut_number}"
            self.register(name, cut, framing, is_reset)
            if cut_number:
                self.store.delete("servers", f"i-{cut_number - 1}")
            self.wait_until(self.is_ready, "the host is ready")
            self.wait_until(
                lambda: f"instance={name} state=ready" in self.log.read_text(),
                "the instance is known",
            )
            for method, path, body in REQUESTS * 2:
                request_id = f"{next(numbers):016x}"
                found, received = self.call(
                    method, path, request_id, body, deadline_ms=500
                )
                with self.subTest(cut=cut, method=method, status=found.status):
                    if found.status == 200:
                        expected = b"body of " + request_id.encode()
                        self.assertEqual(
                            received, b"" if method == "HEAD" else expected
                        )
                        length = int(found.getheader("Content-Length") or 0)
                        self.assertEqual(length, len(expected))
                    else:
                        self.assertIn(found.status, (502, 503, 504))
