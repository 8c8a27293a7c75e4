"""A back end's answer on its way to the caller.

It is held until it is whole, too large or too slow to hold.  As long as nothing of
it was passed on, an idempotent request can still go to another instance.
"""

from ..backends import ResponseHead
from ..clock import Clock
from ..keys import StoredAnswer
from .conn import ServerConn
from .headers import answer_headers
from .replies import ran_headers

__all__ = ["HOLD_BYTES", "HOLD_S", "Relay"]

HOLD_BYTES = 65536
HOLD_S = 1.0
KEPT_ANSWER_BYTES = 16384


class Relay:
    """Hold one answer, then pass it on.

    Attributes:
        head: the answer's head, None before it came.
        is_passing: whether the caller has got a part of the answer.
        is_muted: whether nobody waits for the answer any more.
        answered_at: monotonic time in seconds when passing on began, or None.
    """

    def __init__(self, conn: ServerConn, clock: Clock, request_id: str) -> None:
        self.head: ResponseHead | None = None
        self.is_passing = False
        self.is_muted = False
        self.answered_at: float | None = None
        self._conn = conn
        self._clock = clock
        self._request_id = request_id
        self._held = bytearray()
        self._is_hold_over = False

    @property
    def is_long(self) -> bool:
        """Return whether the answer may be too long to be held until it is whole."""
        length = self.head.header(b"content-length")
        return length is None or int(length) > HOLD_BYTES

    def take_head(self, head: ResponseHead) -> None:
        """Take the answer's head."""
        self.head = head

    def take_body(self, data: bytes) -> None:
        """Hold a piece of the answer, or pass it on."""
        if self.is_passing:
            self._conn.send_body(data)
            return
        self._held += data
        if len(self._held) > HOLD_BYTES or self._is_hold_over:
            self._begin()

    def end_hold(self) -> None:
        """Pass on what has come, and what comes from now on."""
        self._is_hold_over = True
        if self._held and not self.is_passing:
            self._begin()

    def drop(self) -> None:
        """Forget an answer of which nothing was passed on."""
        self.head = None
        self._held.clear()

    def finish(self) -> None:
        """End the answer; all of it has come."""
        if not self.is_passing:
            self._begin()
        if not self.is_muted:
            self._conn.end_answer()

    def kept(self) -> StoredAnswer | None:
        """Return the whole answer for repeats, None where it is too large."""
        if self.is_passing or len(self._held) > KEPT_ANSWER_BYTES:
            return None
        headers = answer_headers(self.head.headers)
        return StoredAnswer(self.head.status, headers, bytes(self._held))

    def _begin(self) -> None:
        self.is_passing = True
        self.answered_at = self._clock.monotonic()
        if self.is_muted:
            return
        headers = ran_headers(answer_headers(self.head.headers), self._request_id)
        self._conn.send_head(self.head.status, headers)
        self._conn.send_body(bytes(self._held))
        self._held.clear()
