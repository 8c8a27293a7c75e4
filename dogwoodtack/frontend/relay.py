"""Relays the response of a back end to the caller.

It is buffered until it is complete, or too large or too slow for that. As long as
nothing was forwarded, an idempotent request can still be retried at another instance.
"""

from ..backends import ResponseHead
from ..clock import Clock
from ..keys import StoredResponse
from .conn import ServerConn
from .headers import response_headers
from .replies import headers_for_caller

__all__ = ["MAX_BUFFER_BYTES", "MAX_BUFFER_TIME_S", "Relay"]

MAX_BUFFER_BYTES = 65536
MAX_BUFFER_TIME_S = 1.0
MAX_STORED_RESPONSE_BYTES = 16384


class Relay:
    """Buffer one response, then forward it.

    Args:
        conn: the caller's connection.
        clock: tells the monotonic time.
        request_id: id of the caller's request.

    Attributes:
        head: the response's head, None before it is received.
        is_forwarding: whether forwarding has begun.
        is_caller_gone: whether the caller no longer waits for the response.
        forwarding_began_at: monotonic time in seconds, None before.
    """

    def __init__(self, conn: ServerConn, clock: Clock, request_id: str) -> None:
        self.head: ResponseHead | None = None
        self.is_forwarding = False
        self.is_caller_gone = False
        self.forwarding_began_at: float | None = None
        self._conn = conn
        self._clock = clock
        self._request_id = request_id
        self._buffer = bytearray()
        self._is_buffering_over = False

    @property
    def may_exceed_buffer(self) -> bool:
        """Return whether the response may be too long to be buffered completely."""
        length = self.head.header(b"content-length")
        return length is None or int(length) > MAX_BUFFER_BYTES

    def on_head(self, head: ResponseHead) -> None:
        """Keep the response's head."""
        self.head = head

    def on_body(self, data: bytes) -> None:
        """Buffer a piece of the response, or forward it."""
        if self.is_forwarding:
            self._conn.send_body(data)
            return
        self._buffer += data
        if len(self._buffer) > MAX_BUFFER_BYTES or self._is_buffering_over:
            self._begin_forwarding()

    def end_buffering(self) -> None:
        """Forward what is buffered, and every later piece at once."""
        self._is_buffering_over = True
        if self._buffer and not self.is_forwarding:
            self._begin_forwarding()

    def discard(self) -> None:
        """Discard a response of which nothing was forwarded."""
        self.head = None
        self._buffer.clear()

    def finish(self) -> None:
        """End the response, which has been received completely."""
        if not self.is_forwarding:
            self._begin_forwarding()
        if not self.is_caller_gone:
            self._conn.end_response()

    def stored_response(self) -> StoredResponse | None:
        """Return the response to replay on retries.

        It is None if the response is too large for that, or its forwarding has begun.
        """
        if self.is_forwarding or len(self._buffer) > MAX_STORED_RESPONSE_BYTES:
            return None
        headers = response_headers(self.head.headers)
        return StoredResponse(self.head.status, headers, bytes(self._buffer))

    def _begin_forwarding(self) -> None:
        self.is_forwarding = True
        self.forwarding_began_at = self._clock.monotonic()
        if self.is_caller_gone:
            return
        headers = headers_for_caller(
            response_headers(self.head.headers), self._request_id
        )
        self._conn.send_head(self.head.status, headers)
        self._conn.send_body(bytes(self._buffer))
        self._buffer.clear()
