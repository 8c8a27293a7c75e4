"""A stand-in for a back end: slots, cold start, shedding, drain, and gray faults."""

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
flags.DEFINE_string("listen", "127.0.0.1:9001", "Where the back end listens.")
flags.DEFINE_string("name", "backend-1", "The back end's name.")
flags.DEFINE_integer("slots", 2, "How many requests run at once.")
flags.DEFINE_float("work_ms", 20.0, "Milliseconds one request takes.")
flags.DEFINE_float("cold_s", 0.0, "Seconds after the start in which work is slow.")
flags.DEFINE_integer("queue", 4, "How many requests wait before one is shed.")
flags.DEFINE_string("journal", "", "A file that gets one line per execution.")

COLD_FACTOR = 5.0
BLOCK = b"0123456789abcdef" * 4096
HEAD_TIMEOUT_S = 300.0
PROBE_PATHS = ("/health", "/load")


class Fault(NamedTuple):
    """What is wrong with this back end now.

    Attributes:
        error_ratio: share of real requests answered with a 500, unexecuted.
        hang_ratio: share of real requests that are executed and never answered.
        cut_ratio: share of answers cut in the middle.
        over_ratio: share of answers followed by stray bytes.
        slow_factor: how many times longer the work takes.
        probe_lies: whether health and load look perfect all the same.
        crossed: whether answers name another request.
    """

    error_ratio: float = 0.0
    hang_ratio: float = 0.0
    cut_ratio: float = 0.0
    over_ratio: float = 0.0
    slow_factor: float = 1.0
    probe_lies: bool = True
    crossed: bool = False


class Work(NamedTuple):
    """One request as it was received."""

    conn: ServerConn
    head: RequestHead
    body: bytearray


class Backend(Process):
    """Run requests in slots and journal each execution."""

    def __init__(self, address: Address) -> None:
        super().__init__()
        self._began_at = self.clock.monotonic()
        self._in_slots: dict[ServerConn, Timer] = {}
        self._queued: list[Work] = []
        self._work: dict[ServerConn, Work] = {}
        self._downloads: dict[ServerConn, int] = {}
        self._hung: set[ServerConn] = set()
        self._fault = Fault()
        self._draining = False
        self._count = 0
        self._arrived = 0
        self._executed = 0
        self._cancelled = 0
        self._journal = open(FLAGS.journal, "a") if FLAGS.journal else None
        Listener(self.reactor, address, self._on_accept)

    def _on_accept(self, sock: socket.socket, peer: Address) -> None:
        ServerConn(self.reactor, sock, peer, self, HEAD_TIMEOUT_S)

    def on_request(self, conn: ServerConn, head: RequestHead) -> None:
        """Keep a request's head."""
        self._work[conn] = Work(conn, head, bytearray())

    def on_request_body(self, conn: ServerConn, data: bytes) -> None:
        """Keep or count a request's body."""
        work = self._work[conn]
        if len(work.body) < 1 << 20:
            work.body.extend(data)

    def on_request_end(self, conn: ServerConn) -> None:
        """Start, queue or shed a whole request."""
        work = self._work[conn]
        path = work.head.target.partition("?")[0]
        if path.startswith("/test/"):
            self._answer_test(work, path)
        elif path in PROBE_PATHS:
            self._answer_probe(work)
        else:
            self._arrived += 1
            self._take_work(work)

    def _take_work(self, work: Work) -> None:
        if self._draining:
            self._shed(work, b"draining")
        elif len(self._in_slots) < FLAGS.slots:
            self._run(work)
        elif len(self._queued) < FLAGS.queue:
            self._queued.append(work)
        else:
            self._shed(work, b"shed")

    def on_request_error(self, conn: ServerConn, kind: ErrorKind, detail: str) -> None:
        """Close on a malformed request."""
        log_event("malformed", kind=kind, detail=detail)
        conn.abort()

    def on_conn_drained(self, conn: ServerConn) -> None:
        """Go on with a download."""
        if conn in self._downloads:
            self._push(conn)

    def on_conn_closed(self, conn: ServerConn) -> None:
        """Cancel what the connection asked for."""
        self._work.pop(conn, None)
        self._downloads.pop(conn, None)
        self._hung.discard(conn)
        self._queued = [work for work in self._queued if work.conn is not conn]
        timer = self._in_slots.pop(conn, None)
        if timer is not None:
            timer.cancel()
            self._cancelled += 1
            self._next()

    def _run(self, work: Work) -> None:
        factor = self._fault.slow_factor
        if self.clock.monotonic() - self._began_at < FLAGS.cold_s:
            factor *= COLD_FACTOR
        self._count += 1
        delay_s = FLAGS.work_ms / 1000 * factor
        done = partial(self._finish, work, self._count)
        self._in_slots[work.conn] = self.reactor.call_later(delay_s, done)

    def _finish(self, work: Work, number: int) -> None:
        """Execute a request's effect, then answer as the present fault says."""
        del self._in_slots[work.conn]
        if self._hits(self._fault.error_ratio, number):
            self._reply(work, 500, b"gray failure\n")
        else:
            self._execute(work)
            if self._hits(self._fault.hang_ratio, number):
                self._hung.add(work.conn)
            elif self._hits(self._fault.cut_ratio, number):
                head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\npart"
                work.conn.write_raw(head)
                work.conn.finish_raw()
            elif self._hits(self._fault.over_ratio, number):
                head = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndata-and-more"
                work.conn.write_raw(head)
            else:
                self._answer_work(work)
        self._next()

    @staticmethod
    def _hits(ratio: float, number: int) -> bool:
        """Return whether the n-th request is in an evenly spread share."""
        return int(number * ratio) != int((number - 1) * ratio)

    def _execute(self, work: Work) -> None:
        self._executed += 1
        if self._journal is None:
            return
        line = {
            "at": self.clock.boottime(),
            "backend": FLAGS.name,
            "method": work.head.method,
            "target": work.head.target,
            "key": work.head.header(b"idempotency-key"),
            "request": work.head.header(b"x-request-id"),
        }
        self._journal.write(json.dumps(line) + "\n")
        self._journal.flush()

    def _answer_work(self, work: Work) -> None:
        path, _, query = work.head.target.partition("?")
        if path.startswith("/download/"):
            self._start_download(work, int(path.removeprefix("/download/")))
            return
        body = {
            "backend": FLAGS.name,
            "method": work.head.method,
            "target": work.head.target,
            "body_bytes": len(work.body),
            "body": work.body[:200].decode("latin-1"),
        }
        self._reply(work, 200, json.dumps(body).encode() + b"\n")

    def _start_download(self, work: Work, size: int) -> None:
        headers = [(b"content-length", str(size).encode())]
        work.conn.send_head(200, headers)
        self._downloads[work.conn] = size
        self._push(work.conn)

    def _push(self, conn: ServerConn) -> None:
        while conn.is_open and self._downloads.get(conn, 0) and not conn.is_full:
            left = self._downloads[conn]
            piece = BLOCK[:left]
            self._downloads[conn] = left - len(piece)
            conn.send_body(piece)
        if self._downloads.get(conn) == 0:
            del self._downloads[conn]
            conn.end_answer()

    def _shed(self, work: Work, word: bytes) -> None:
        headers = [(b"x-not-executed", word), (b"retry-after", b"1")]
        self._reply(work, 503, b"not executed\n", headers)

    def _reply(self, work: Work, status: int, body: bytes, extra: Any = ()) -> None:
        headers = [(b"content-length", str(len(body)).encode()), *extra]
        request_id = work.head.header(b"x-request-id")
        if request_id is not None:
            named = "another" if self._fault.crossed else request_id
            headers.append((b"x-request-id", named.encode()))
        if self._draining:
            headers.append((b"x-draining", b"1"))
        work.conn.send_head(status, headers)
        work.conn.send_body(body)
        work.conn.end_answer()

    def _next(self) -> None:
        while self._queued and len(self._in_slots) < FLAGS.slots:
            self._run(self._queued.pop(0))

    def _answer_probe(self, work: Work) -> None:
        """Answer a probe as if all were well, or tell the load."""
        sick = self._fault != Fault() and not self._fault.probe_lies
        busy = len(self._in_slots) + len(self._queued)
        body = json.dumps({"ok": not sick, "busy": busy, "slots": FLAGS.slots})
        self._reply(work, 500 if sick else 200, body.encode())

    def _answer_test(self, work: Work, path: str) -> None:
        if path == "/test/fault":
            self._fault = Fault(**json.loads(work.body or b"{}"))
            log_event("fault-set", **self._fault._asdict())
        elif path == "/test/drain":
            self._draining = True
        counts = {
            "arrived": self._arrived,
            "executed": self._executed,
            "cancelled": self._cancelled,
            "received": self._count,
            "hung": len(self._hung),
        }
        self._reply(work, 200, json.dumps(counts).encode())


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
