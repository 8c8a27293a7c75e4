"""Rejects connections beyond the limit with a response that asks to retry."""

import socket
from collections.abc import Callable

import h11

from ..errors import ErrorKind, answer_for
from ..reactor import Reactor
from ..stream import Stream
from .headers import ERROR_KIND, OUTCOME

__all__ = ["ConnectionRejection"]


def overloaded_response() -> bytes:
    """Return the bytes of the response to every rejected connection."""
    answer = answer_for(ErrorKind.OVERLOADED)
    body = b"This entry host has too many connections.\n"
    headers = [
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
        (b"retry-after", str(answer.retry_after_s).encode()),
        (OUTCOME, answer.outcome.encode()),
        (ERROR_KIND, ErrorKind.OVERLOADED.encode()),
    ]
    conn = h11.Connection(h11.SERVER)
    data = conn.send(h11.Response(status_code=answer.status, headers=headers))
    return data + conn.send(h11.Data(data=body)) + conn.send(h11.EndOfMessage())


OVERLOADED_RESPONSE = overloaded_response()


class ConnectionRejection:
    """Respond without reading a request, which is then certainly not run.

    Args:
        reactor: event loop.
        sock: the accepted socket.
        on_closed: called with this rejection once the connection is closed.
    """

    def __init__(
        self,
        reactor: Reactor,
        sock: socket.socket,
        on_closed: Callable[["ConnectionRejection"], None],
    ) -> None:
        self._on_closed = on_closed
        self._stream = Stream(reactor, sock, self)
        self._stream.write(OVERLOADED_RESPONSE)
        self._stream.finish()

    @property
    def is_open(self) -> bool:
        """Return whether the connection is still open."""
        return not self._stream.closed

    def on_bytes(self, data: bytes) -> None:
        """Do nothing: a finishing stream reads by itself."""

    def on_eof(self) -> None:
        """Do nothing: a finishing stream closes by itself."""

    def on_drained(self) -> None:
        """Do nothing: the response is written in one piece."""

    def on_closed(self) -> None:
        """Report that the connection is closed."""
        self._on_closed(self)
