"""Instances of a soak that break off, refuse and repeat responses at random."""

import enum
import random
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from dogwoodtack.misc import Address

__all__ = ["BEHAVIOURS", "FaultyInstance", "Run"]

REQUEST_ID = b"x-dogwoodtack-request-id"
EXPECTED_INSTANCE = b"x-dogwoodtack-expected-instance"
BORN_MS = 1796346000000
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
LONGEST_HANG_S = 5.0
REPEAT_DELAY_S = 0.02


class Repeat(enum.Enum):
    """When an instance writes a refusal once more on its connection."""

    NEVER = enum.auto()
    SOON = enum.auto()
    WITH_NEXT_REQUEST = enum.auto()


class Run(NamedTuple):
    """A request that an instance has begun to run, at a monotonic time."""

    at: float
    instance: str
    request_id: str


class _Request(NamedTuple):
    id: bytes
    expected: bytes
    body_left: int


class _ConnectionEnds(Exception):
    """The instance ends the connection."""


class FaultyInstance:
    """Serves each request with a behaviour that its generator draws.

    Args:
        name: its id in the service directory.
        zone: its availability zone.
        service: its service.
        behaviours: names of methods of `_Conversation`; the first one is drawn for the
            share of requests that `faulty_share` leaves.
        rng: draws behaviours and delays.
        work_s: how long it runs a request, in seconds.
        faulty_share: share of the requests that meet another behaviour than the first.
        address: where it listens; a free port by default.
        repeat_share: share of the refusals that it writes once more.

    Attributes:
        runs: the requests that it has begun to run.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        service: str,
        behaviours: tuple[str, ...],
        rng: random.Random,
        work_s: float,
        faulty_share: float,
        address: Address = Address("127.0.0.1", 0),
        repeat_share: float = 0.0,
    ) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.behaviours = behaviours
        self.rng = rng
        self.work_s = work_s
        self.faulty_share = faulty_share
        self.repeat_share = repeat_share
        self.runs: list[Run] = []
        self._socks: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(address, backlog=128)
        self.address = Address(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def directory_entry(self) -> dict[str, Any]:
        """Return the `spec` and `status` of its entry in the service directory."""
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": 4}
        status = {"state": "ready", "sequence": 1, "warmupLeftS": 0}
        spec = {"address": str(self.address), "info": info, "born": BORN_MS}
        return {"spec": spec, "status": status}

    def draw_behaviour(self) -> str:
        """Return the behaviour for the next request."""
        with self._lock:
            if self.rng.random() >= self.faulty_share:
                return self.behaviours[0]
            return self.rng.choice(self.behaviours)

    def draw_delay(self, most_s: float) -> float:
        """Return a random delay in seconds."""
        with self._lock:
            return self.rng.uniform(0.0, most_s)

    def draw_repeat(self) -> Repeat:
        """Return when the next refusal is written once more."""
        if not self.repeat_share:
            return Repeat.NEVER
        with self._lock:
            if self.rng.random() >= self.repeat_share:
                return Repeat.NEVER
            return self.rng.choice((Repeat.SOON, Repeat.WITH_NEXT_REQUEST))

    def record_run(self, request_id: bytes) -> None:
        """Note that a request has begun to run."""
        run = Run(time.monotonic(), self.name, request_id.decode("latin-1"))
        self.runs.append(run)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for sock in list(self._socks):
            _reset(sock)

    def end(self) -> None:
        """Close the port and reset all connections, like a crash."""
        try:
            # Without it the thread that accepts would keep the port open.
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It has ended before.
            return
        self._listener.close()
        self.reset_connections()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._socks.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        conversation = _Conversation(self, sock)
        with sock:
            try:
                while conversation.serve_next():
                    pass
            except (OSError, ValueError, _ConnectionEnds):
                # The host closed the connection, or this instance does.
                pass
            self._socks.discard(sock)


class _Conversation:
    """One connection; each behaviour is a method."""

    def __init__(self, owner: FaultyInstance, sock: socket.socket) -> None:
        self._owner = owner
        self._sock = sock
        self._data = b""
        # A refusal that is written once more as the next request comes.
        self._left_over = b""

    def serve_next(self) -> bool:
        """Serve one request, and return whether the connection is kept."""
        req = self._receive_head()
        if req is None:
            return False
        left_over, self._left_over = self._left_over, b""
        self._write(left_over)
        if req.expected and req.expected.decode() != self._owner.name:
            self._read_body(req)
            self._write_refusal(self._message(421, req.id))
            return True
        behaviour: Callable[[_Request], None] = getattr(
            self, self._owner.draw_behaviour()
        )
        behaviour(req)
        return True

    def _receive_head(self) -> _Request | None:
        while b"\r\n\r\n" not in self._data:
            piece = self._sock.recv(65536)
            if not piece:
                return None
            self._data += piece
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in lines[1:])
        length = int(fields.get(b"content-length", 0))
        return _Request(
            fields.get(REQUEST_ID, b""), fields.get(EXPECTED_INSTANCE, b""), length
        )

    def _read_body(self, req: _Request) -> None:
        left = req.body_left
        while len(self._data) < left:
            piece = self._sock.recv(1_000_000)
            if not piece:
                raise _ConnectionEnds
            left -= len(self._data)
            self._data = piece
        self._data = self._data[left:]

    def _run(self, req: _Request, most_s: float | None = None) -> None:
        self._read_body(req)
        self._owner.record_run(req.id)
        work_s = self._owner.work_s if most_s is None else most_s
        time.sleep(work_s * 0.5 + self._owner.draw_delay(work_s))

    def _write(self, data: bytes) -> None:
        self._sock.sendall(data)

    def _write_refusal(self, data: bytes) -> None:
        """Write a refusal, and at times the same bytes once more."""
        self._write(data)
        repeat = self._owner.draw_repeat()
        if repeat is Repeat.SOON:
            time.sleep(self._owner.draw_delay(REPEAT_DELAY_S))
            self._write(data)
        elif repeat is Repeat.WITH_NEXT_REQUEST:
            self._left_over = data

    @staticmethod
    def _message(
        status: int, request_id: bytes, body: bytes = b"", fields: bytes = b""
    ) -> bytes:
        head = b"HTTP/1.1 %d Status\r\n" % status
        if request_id:
            head += b"X-Dogwoodtack-Request-Id: %b\r\n" % request_id
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        return head + fields + length + body

    def _success(self, req: _Request, fields: bytes = b"") -> bytes:
        signature = b"X-Dogwoodtack-Response-Signature: signed-%b\r\n" % req.id
        return self._message(200, req.id, b"body of " + req.id, signature + fields)

    def _not_executed(self, status: int, request_id: bytes) -> bytes:
        fields = b"X-Dogwoodtack-Not-Executed: 1\r\n"
        return self._message(status, request_id, b"shed", fields)

    # Behaviours.

    def answer(self, req: _Request) -> None:
        """Run the request and respond."""
        self._run(req)
        self._write(self._success(req))

    def fail(self, req: _Request) -> None:
        """Run the request and respond with a failure."""
        self._run(req)
        self._write(self._message(500, req.id, b"broken"))

    def refuse(self, req: _Request) -> None:
        """Reject the request once it has been read."""
        self._read_body(req)
        self._write_refusal(self._not_executed(503, req.id))

    def refuse_early(self, req: _Request) -> None:
        """Reject the request before its body, and read that afterwards."""
        self._write(self._not_executed(503, req.id))
        time.sleep(self._owner.draw_delay(0.1))
        self._read_body(req)

    def refuse_late(self, req: _Request) -> None:
        """Reject the request after it has waited here."""
        self._read_body(req)
        time.sleep(self._owner.draw_delay(0.5))
        self._write_refusal(self._not_executed(429, req.id))

    def refuse_and_close(self, req: _Request) -> None:
        """Reject the request and close the connection without reading the body."""
        self._write(self._not_executed(503, req.id))
        raise _ConnectionEnds

    def refuse_again(self, req: _Request) -> None:
        """Reject the request, and write the same response once more a bit later."""
        self._read_body(req)
        self._write(self._not_executed(503, req.id))
        time.sleep(self._owner.draw_delay(0.05))
        self._write(self._not_executed(503, req.id))

    def refuse_again_unnamed(self, req: _Request) -> None:
        """Reject the request without its id, and once more during the next one."""
        self._read_body(req)
        self._write(self._not_executed(503, b""))
        following = self._receive_head()
        if following is None:
            raise _ConnectionEnds
        self._write(self._not_executed(503, b""))
        self.answer(following)

    def reset_before(self, req: _Request) -> None:
        """Reset the connection without running the request."""
        self._reset()

    def reset_after(self, req: _Request) -> None:
        """Run the request and reset the connection."""
        self._run(req)
        self._reset()

    def close_after(self, req: _Request) -> None:
        """Run the request and close the connection without a response."""
        self._run(req)
        raise _ConnectionEnds

    def close_behind(self, req: _Request) -> None:
        """Respond and close the connection without having said so."""
        self._run(req)
        self._write(self._success(req))
        raise _ConnectionEnds

    def answer_in_part(self, req: _Request) -> None:
        """Run the request and break off in the response."""
        self._run(req)
        data = self._success(req)
        self._write(data[: int(self._owner.draw_delay(len(data) - 1))])
        raise _ConnectionEnds

    def refuse_in_part(self, req: _Request) -> None:
        """Run the request, and break off in a response that rejects it."""
        self._run(req)
        data = self._not_executed(503, req.id)
        self._write(data[: int(self._owner.draw_delay(len(data) - 1))])
        raise _ConnectionEnds

    def answer_twice(self, req: _Request) -> None:
        """Respond, and write the same response once more a bit later."""
        self.answer(req)
        time.sleep(self._owner.draw_delay(0.05))
        self._write(self._success(req))

    def answer_and_more(self, req: _Request) -> None:
        """Respond, and write further bytes a bit later."""
        self.answer(req)
        time.sleep(self._owner.draw_delay(0.02))
        self._write(b"\x00\x01more bytes\r\n\r\n")

    def answer_and_part(self, req: _Request) -> None:
        """Respond, and write the beginning of a refusal a bit later."""
        self.answer(req)
        status = (421, 429, 503)[int(self._owner.draw_delay(2.99))]
        refusal = self._not_executed(status, b"")
        time.sleep(self._owner.draw_delay(0.02))
        self._write(refusal[: int(self._owner.draw_delay(len(refusal)))])

    def answer_slowly(self, req: _Request) -> None:
        """Run the request and respond in small pieces."""
        self._run(req)
        data = self._success(req)
        for start in range(0, len(data), 23):
            self._write(data[start : start + 23])
            time.sleep(0.002)

    def announce_first(self, req: _Request) -> None:
        """Run the request, and send informational heads before the response."""
        self._write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n")
        self.answer(req)

    def answer_unframed(self, req: _Request) -> None:
        """Respond with a body that ends with the connection."""
        self._run(req)
        data = self._success(req)
        head, _, body = data.partition(b"Content-Length")
        self._write(head + b"\r\n" + body.partition(b"\r\n\r\n")[2])
        raise _ConnectionEnds

    def answer_and_leave(self, req: _Request) -> None:
        """Respond and announce the end of the connection."""
        self._run(req)
        self._write(self._success(req, b"Connection: close\r\n"))
        raise _ConnectionEnds

    def hang(self, req: _Request) -> None:
        """Run the request and respond too late."""
        self._run(req, LONGEST_HANG_S)
        self._write(self._success(req))

    def garble(self, req: _Request) -> None:
        """Run the request and write bytes that are no response."""
        self._run(req)
        self._write(b"HTTP/9 what\r\nno: response\r\n\r\n")

    def _reset(self) -> None:
        _reset(self._sock)
        raise _ConnectionEnds


BEHAVIOURS = (
    "answer",
    "fail",
    "refuse",
    "refuse_early",
    "refuse_late",
    "refuse_and_close",
    "refuse_again",
    "reset_before",
    "reset_after",
    "close_after",
    "close_behind",
    "answer_in_part",
    "refuse_in_part",
    "answer_twice",
    "answer_and_more",
    "answer_and_part",
    "refuse_again_unnamed",
    "answer_slowly",
    "announce_first",
    "answer_unframed",
    "answer_and_leave",
    "hang",
    "garble",
)


def _reset(sock: socket.socket) -> None:
    """Close a connection with a reset; it may be closed already."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.shutdown(socket.SHUT_RD)
        sock.close()
    except OSError:
        # The other side was faster.
        pass
