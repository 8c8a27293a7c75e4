"""An instance that writes the bytes that a test chooses."""

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from dogwoodtack.misc import Address

BORN_MS = 1796346000000


class Request(NamedTuple):
    """A request as the instance has received it.

    Attributes:
        id: its request id.
        method: its method.
        target: its path and query.
        body: its body.
        is_first: whether it is the first one on its connection.
        expected: id of the instance that it is for.
    """

    id: bytes
    method: bytes
    target: bytes
    body: bytes
    is_first: bool
    expected: bytes


class ScriptedInstance:
    """Passes each request with its socket to `respond`, which writes and may raise.

    The connection is kept until `respond` returns False.

    Attributes:
        runs: how often each request ran, by its id; `respond` counts here.
        connections: number of connections that were accepted.
    """

    def __init__(
        self,
        name: str,
        respond: Callable[["ScriptedInstance", socket.socket, Request], bool],
    ) -> None:
        self.name = name
        self.respond = respond
        self.runs: Counter[bytes] = Counter()
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def directory_entry(self, service: str, zone: str = "zone-a") -> dict[str, Any]:
        """Return the `spec` and `status` of its entry in the service directory."""
        info = {"service": service, "version": "v1", "zone": zone, "slots": 2}
        status = {"state": "ready", "sequence": 1, "warmupLeftS": 0}
        spec = {"address": str(self.address), "info": info, "born": BORN_MS}
        return {"spec": spec, "status": status}

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        is_first = True
        with sock:
            try:
                while True:
                    request = self._receive(sock, is_first)
                    if request is None or not self.respond(self, sock, request):
                        return
                    is_first = False
            except OSError:
                return

    @staticmethod
    def _receive(sock: socket.socket, is_first: bool) -> Request | None:
        data = b""
        while b"\r\n\r\n" not in data:
            piece = sock.recv(65536)
            if not piece:
                return None
            data += piece
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in lines[1:])
        received = bytearray(body)
        while len(received) < int(fields.get(b"content-length", 0)):
            piece = sock.recv(1_000_000)
            if not piece:
                return None
            received += piece
        method, target, _ = lines[0].split(b" ")
        request_id = fields.get(b"x-dogwoodtack-request-id", b"")
        expected = fields.get(b"x-dogwoodtack-expected-instance", b"")
        return Request(request_id, method, target, bytes(received), is_first, expected)


def message(
    status: int, fields: dict[bytes, bytes], body: bytes = b"", framing: str = "length"
) -> bytes:
    """Return the bytes of a response.

    Args:
        status: its status.
        fields: its headers besides the framing.
        body: its body.
        framing: `length`, `chunked`, or `close` for a body that ends with its
            connection.
    """
    lines = [b"HTTP/1.1 %d Odd" % status]
    lines += [name + b": " + value for name, value in fields.items()]
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif framing == "chunked":
        lines.append(b"Transfer-Encoding: chunked")
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        body = chunk + b"0\r\n\r\n"
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def answer(request: Request, framing: str = "length") -> bytes:
    """Return the response of a sound instance, whose body names the request."""
    fields = {
        b"X-Dogwoodtack-Request-Id": request.id,
        b"X-Dogwoodtack-Response-Signature": b"signed-" + request.id,
    }
    return message(200, fields, b"body of " + request.id, framing)


def wait_a_moment() -> None:
    """Wait until what was written has most likely been read."""
    time.sleep(0.02)
