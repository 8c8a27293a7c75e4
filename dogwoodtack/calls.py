"""Control calls: one small HTTP request, one small JSON reply, one callback."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from .backends import (
    BackendConnection,
    ConnectionPool,
    Header,
    OutgoingHead,
    ResponseHead,
)
from .errors import ErrorKind, WireError
from .jsontext import parse_json_leniently
from .misc import Address
from .reactor import Reactor, Timer

__all__ = ["Call", "Client", "OnReply", "PendingCall", "Reply"]

MAX_REPLY_BYTES = 64 * 1024 * 1024
DEFAULT_TIMEOUT_S = 2.0
HEADER_OVERHEAD_BYTES = 4
START_LINE_BYTES = 40


class Call(NamedTuple):
    """Request of a control call.

    Attributes:
        address: address of the server.
        method: HTTP method.
        target: path and query.
        body: sent as JSON; None for no body.
        timeout_s: timeout of the call in seconds, including the connect time.
        headers: additional headers, such as the access key.
    """

    address: Address
    method: str
    target: str
    body: Any = None
    timeout_s: float = DEFAULT_TIMEOUT_S
    headers: tuple[Header, ...] = ()


class Reply(NamedTuple):
    """Reply to a control call; `body` is the decoded JSON."""

    status: int
    headers: list[Header]
    body: Any


OnReply = Callable[[Reply | None, WireError | None], None]
OnConnection = Callable[[BackendConnection | None, WireError | None], None]


class Client:
    """Make control calls over pooled connections."""

    def __init__(self, reactor: Reactor, dial_timeout_s: float) -> None:
        self._reactor = reactor
        self._pool = ConnectionPool(reactor, dial_timeout_s)
        self.calls_made = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.cut_addresses: frozenset[Address] = frozenset()

    def call(self, call: Call, on_reply: OnReply) -> "PendingCall":
        """Make a call; `on_reply(reply, exc)` is called once unless it is cancelled.

        A call to one of `cut_addresses`, which only tests set, gets no reply
        and times out, as over a partitioned network.
        """
        self.calls_made += 1
        return PendingCall(self._reactor, self, call, on_reply)

    def acquire(self, address: Address, on_connection: OnConnection) -> None:
        """Pass a connection to the address to `on_connection(conn, exc)`."""
        if address not in self.cut_addresses:
            self._pool.acquire(address, on_connection, fresh=True)

    def release(self, conn: BackendConnection) -> None:
        """Return a connection to the pool after its response is complete."""
        self._pool.release(conn)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()


class PendingCall:
    """Call in flight; owns the connection it is sent on."""

    def __init__(
        self, reactor: Reactor, client: Client, call: Call, on_reply: OnReply
    ) -> None:
        self._client = client
        self._call = call
        self._on_reply: OnReply | None = on_reply
        self._conn: BackendConnection | None = None
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._timer: Timer = reactor.call_later(call.timeout_s, self._on_timeout)
        client.acquire(call.address, self._on_connection)

    def cancel(self) -> None:
        """Cancel the call; its callback is not called any more."""
        self._on_reply = None
        self._timer.cancel()
        if self._conn is not None:
            self._conn.close()

    def _on_connection(
        self, conn: BackendConnection | None, error: WireError | None
    ) -> None:
        if self._on_reply is None:
            if conn is not None:
                self._client.release(conn)
            return
        if error is not None:
            self._finish(None, error)
            return
        self._conn = conn
        body = b"" if self._call.body is None else json.dumps(self._call.body).encode()
        headers = [
            (b"host", str(self._call.address).encode()),
            (b"content-length", str(len(body)).encode()),
            *self._call.headers,
        ]
        if body:
            headers.append((b"content-type", b"application/json"))
        self._client.bytes_sent += len(body) + _head_bytes(headers)
        head = OutgoingHead(
            self._call.method.encode(), self._call.target.encode(), headers
        )
        try:
            conn.send_request(head, self, body)
        except WireError as exc:
            self._finish(None, exc)
            return
        conn.end_body()

    def on_head(self, head: ResponseHead) -> None:
        """Store the response head."""
        self._head = head
        self._client.bytes_received += _head_bytes(head.headers)

    def on_body(self, data: bytes) -> None:
        """Append to the response body, up to MAX_REPLY_BYTES."""
        self._client.bytes_received += len(data)
        self._body += data
        if len(self._body) > MAX_REPLY_BYTES:
            self._abort(ErrorKind.BACKEND_MALFORMED, "the reply is too large")

    def on_end(self) -> None:
        """Decode the complete response and pass it to the callback."""
        self._client.release(self._conn)
        try:
            body = parse_json_leniently(self._body) if self._body else None
        except ValueError as exc:
            self._finish(None, WireError(ErrorKind.BACKEND_MALFORMED, str(exc)))
            return
        self._finish(Reply(self._head.status, self._head.headers, body), None)

    def on_fail(self, exc: WireError) -> None:
        """Pass the failure to the callback."""
        self._finish(None, exc)

    def on_drained(self) -> None:
        """Do nothing: the request body was written at once."""

    def _on_timeout(self) -> None:
        self._abort(ErrorKind.BACKEND_TIMEOUT, "no reply in time")

    def _abort(self, kind: ErrorKind, detail: str) -> None:
        was_sent = self._conn is not None and self._conn.bytes_sent
        if self._conn is not None:
            self._conn.close()
        self._finish(None, WireError(kind, detail, bytes_sent=was_sent))

    def _finish(self, reply: Reply | None, exc: WireError | None) -> None:
        self._timer.cancel()
        on_reply, self._on_reply = self._on_reply, None
        if on_reply is not None:
            on_reply(reply, exc)


def _head_bytes(headers: list[Header]) -> int:
    """Return the approximate size of a message head on the wire."""
    header_bytes = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in headers
    )
    return START_LINE_BYTES + header_bytes
