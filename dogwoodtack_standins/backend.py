"""A stand-in for a back end: slots, cold start, shedding, drain, and gray failures."""

import json
import socket
import sys
from functools import partial
from typing import Any, NamedTuple

from absl import app, flags

from dogwoodtack.errors import ErrorKind
from dogwoodtack.frontend import RequestHead, ServerConn
from dogwoodtack.logs import log_event, set_up_logs
from dogwoodtack.misc import Address, parse_address
from dogwoodtack.reactor import Listener, Timer

from .process import Process

__all__ = ["Backend", "run"]

FLAGS = flags.FLAGS
flags.DEFINE_string(
    "listen", "127.0.0.1:9001", "Address on which the back end listens."
)
flags.DEFINE_string("name", "backend-1", "Name of the back end.")
flags.DEFINE_integer("slots", 2, "Number of requests that run at once.")
flags.DEFINE_float("work_ms", 20.0, "Service time of a request, in milliseconds.")
flags.DEFINE_float(
    "cold_s", 0.0, "Seconds after the start during which requests run slower."
)
flags.DEFINE_integer(
    "queue", 4, "Number of requests that wait for a slot before one is shed."
)
flags.DEFINE_string(
    "journal", "", "File to which a JSON line is appended per execution."
)

COLD_START_SLOWDOWN = 5.0
DOWNLOAD_BLOCK = b"0123456789abcdef" * 4096
HEAD_TIMEOUT_S = 300.0
PROBE_PATHS = ("/health", "/load")


class Fault(NamedTuple):
    """The faults injected into this back end; the ratios leave out probes.

    Attributes:
        error_ratio: share of requests answered with a 500 and not executed.
        hang_ratio: share of requests that are executed and never answered.
        cut_ratio: share of responses truncated before their end.
        over_ratio: share of responses followed by unexpected bytes.
        slow_factor: factor on the service time.
        probe_lies: whether the probe paths report a healthy back end during a fault.
        crossed: whether responses carry the id of another request.
    """

    error_ratio: float = 0.0
    hang_ratio: float = 0.0
    cut_ratio: float = 0.0
    over_ratio: float = 0.0
    slow_factor: float = 1.0
    probe_lies: bool = True
    crossed: bool = False


class ReceivedRequest(NamedTuple):
    """One request as far as it was received."""

    conn: ServerConn
    head: RequestHead
    body: bytearray


class Backend(Process):
    """Run requests in a fixed number of slots and journal each execution."""

    def __init__(self, address: Address) -> None:
        super().__init__()
        self._started_at = self.clock.monotonic()
        self._in_flight: dict[ServerConn, Timer] = {}
        self._queued: list[ReceivedRequest] = []
        self._requests: dict[ServerConn, ReceivedRequest] = {}
        self._downloads: dict[ServerConn, int] = {}
        self._hung: set[ServerConn] = set()
        self._fault = Fault()
        self._draining = False
        self._dispatched = 0
        self._arrived = 0
        self._executed = 0
        self._cancelled = 0
        self._journal = open(FLAGS.journal, "a") if FLAGS.journal else None
        Listener(self.reactor, address, self._on_accept)

    def _on_accept(self, sock: socket.socket, peer: Address) -> None:
        ServerConn(self.reactor, sock, peer, self, HEAD_TIMEOUT_S)

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Record the head of a new request."""
        self._requests[conn] = ReceivedRequest(conn, head, bytearray())

    def on_request_body(self, conn: ServerConn, data: bytes) -> None:
        """Append to the request's body; what follows 1 MB or more is dropped."""
        req = self._requests[conn]
        if len(req.body) < 1 << 20:
            req.body.extend(data)

    def on_request_end(self, conn: ServerConn) -> None:
        """Start, queue or shed a completely received request."""
        req = self._requests[conn]
        path = req.head.target.partition("?")[0]
        if path.startswith("/test/"):
            self._handle_test_call(req, path)
        elif path in PROBE_PATHS:
            self._reply_to_probe(req)
        else:
            self._arrived += 1
            self._admit(req)

    def _admit(self, req: ReceivedRequest) -> None:
        if self._draining:
            self._shed(req, b"draining")
        elif len(self._in_flight) < FLAGS.slots:
            self._run(req)
        elif len(self._queued) < FLAGS.queue:
            self._queued.append(req)
        else:
            self._shed(req, b"shed")

    def on_request_error(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        """Abort the connection on a malformed request."""
        log_event("malformed", kind=kind, detail=detail)
        conn.abort()

    def on_conn_drained(self, conn: ServerConn) -> None:
        """Continue a download when the send buffer has drained."""
        if conn in self._downloads:
            self._send_download(conn)

    def on_conn_closed(self, conn: ServerConn) -> None:
        """Cancel the connection's request, whether queued or running."""
        self._requests.pop(conn, None)
        self._downloads.pop(conn, None)
        self._hung.discard(conn)
        self._queued = [req for req in self._queued if req.conn is not conn]
        timer = self._in_flight.pop(conn, None)
        if timer is not None:
            timer.cancel()
            self._cancelled += 1
            self._start_queued()

    def _run(self, req: ReceivedRequest) -> None:
        factor = self._fault.slow_factor
        if self.clock.monotonic() - self._started_at < FLAGS.cold_s:
            factor *= COLD_START_SLOWDOWN
        self._dispatched += 1
        service_time_s = FLAGS.work_ms / 1000 * factor
        on_done = partial(self._finish, req, self._dispatched)
        self._in_flight[req.conn] = self.reactor.call_later(service_time_s, on_done)

    def _finish(self, req: ReceivedRequest, number: int) -> None:
        """Execute a request, then respond as the injected fault requires."""
        del self._in_flight[req.conn]
        if self._is_in_share(self._fault.error_ratio, number):
            self._reply(req, 500, b"gray failure\n")
        else:
            self._execute(req)
            if self._is_in_share(self._fault.hang_ratio, number):
                self._hung.add(req.conn)
            elif self._is_in_share(self._fault.cut_ratio, number):
                head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\npart"
                req.conn.write_raw(head)
                req.conn.finish_raw()
            elif self._is_in_share(self._fault.over_ratio, number):
                head = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndata-and-more"
                req.conn.write_raw(head)
            else:
                self._reply_to_request(req)
        self._start_queued()

    @staticmethod
    def _is_in_share(ratio: float, number: int) -> bool:
        """Return whether the n-th request is in a share spread evenly over requests."""
        return int(number * ratio) != int((number - 1) * ratio)

    def _execute(self, req: ReceivedRequest) -> None:
        self._executed += 1
        if self._journal is None:
            return
        line = {
            "at": self.clock.boottime(),
            "backend": FLAGS.name,
            "method": req.head.method,
            "target": req.head.target,
            "key": req.head.header(b"idempotency-key"),
            "request": req.head.header(b"x-request-id"),
        }
        self._journal.write(json.dumps(line) + "\n")
        self._journal.flush()

    def _reply_to_request(self, req: ReceivedRequest) -> None:
        path, _, query = req.head.target.partition("?")
        if path.startswith("/download/"):
            self._start_download(req, int(path.removeprefix("/download/")))
            return
        body = {
            "backend": FLAGS.name,
            "method": req.head.method,
            "target": req.head.target,
            "body_bytes": len(req.body),
            "body": req.body[:200].decode("latin-1"),
        }
        self._reply(req, 200, json.dumps(body).encode() + b"\n")

    def _start_download(self, req: ReceivedRequest, size: int) -> None:
        headers = [(b"content-length", str(size).encode())]
        req.conn.send_head(200, headers)
        self._downloads[req.conn] = size
        self._send_download(req.conn)

    def _send_download(self, conn: ServerConn) -> None:
        while conn.is_open and self._downloads.get(conn, 0) and not conn.is_full:
            remaining = self._downloads[conn]
            piece = DOWNLOAD_BLOCK[:remaining]
            self._downloads[conn] = remaining - len(piece)
            conn.send_body(piece)
        if self._downloads.get(conn) == 0:
            del self._downloads[conn]
            conn.end_response()

    def _shed(self, req: ReceivedRequest, reason: bytes) -> None:
        headers = [(b"x-not-executed", reason), (b"retry-after", b"1")]
        self._reply(req, 503, b"not executed\n", headers)

    def _reply(
        self, req: ReceivedRequest, status: int, body: bytes, extra: Any = ()
    ) -> None:
        headers = [(b"content-length", str(len(body)).encode()), *extra]
        request_id = req.head.header(b"x-request-id")
        if request_id is not None:
            echoed_id = "another" if self._fault.crossed else request_id
            headers.append((b"x-request-id", echoed_id.encode()))
        if self._draining:
            headers.append((b"x-draining", b"1"))
        req.conn.send_head(status, headers)
        req.conn.send_body(body)
        req.conn.end_response()

    def _start_queued(self) -> None:
        while self._queued and len(self._in_flight) < FLAGS.slots:
            self._run(self._queued.pop(0))

    def _reply_to_probe(self, req: ReceivedRequest) -> None:
        """Report health and load, healthy also during a fault if `probe_lies`."""
        fails_probe = self._fault != Fault() and not self._fault.probe_lies
        busy = len(self._in_flight) + len(self._queued)
        body = json.dumps({"ok": not fails_probe, "busy": busy, "slots": FLAGS.slots})
        self._reply(req, 500 if fails_probe else 200, body.encode())

    def _handle_test_call(self, req: ReceivedRequest, path: str) -> None:
        if path == "/test/fault":
            self._fault = Fault(**json.loads(req.body or b"{}"))
            log_event("fault-set", **self._fault._asdict())
        elif path == "/test/drain":
            self._draining = True
        counts = {
            "arrived": self._arrived,
            "executed": self._executed,
            "cancelled": self._cancelled,
            "received": self._dispatched,
            "hung": len(self._hung),
        }
        self._reply(req, 200, json.dumps(counts).encode())


def main(argv: list[str]) -> int:
    """Run one back end until it is stopped."""
    if len(argv) > 1:
        print("usage: dogwoodtack-backend --listen HOST:PORT", file=sys.stderr)
        return 2
    set_up_logs("INFO", standin=FLAGS.name)
    Backend(parse_address(FLAGS.listen)).run()
    return 0


def run() -> None:
    """Run the back end as a program."""
    app.run(main)


if __name__ == "__main__":
    run()
