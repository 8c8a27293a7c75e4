"""Tell a caller beyond the connection limit to come back, and close."""

import socket
from collections.abc import Callable

import h11

from ..errors import ErrorKind, answer_for
from ..reactor import Reactor
from ..stream import Stream
from .headers import ERROR_KIND, OUTCOME

__all__ = ["ConnectionRejection"]


def full_answer() -> bytes:
    """Return the bytes of the answer that every such caller gets."""
    answer = answer_for(ErrorKind.OVERLOADED)
    body = b"This entry host has too many connections.\n"
    headers = [
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
        (b"retry-after", str(answer.retry_after_s).encode()),
        (OUTCOME, answer.outcome.encode()),
        (ERROR_KIND, ErrorKind.OVERLOADED.encode()),
    ]
    state = h11.Connection(h11.SERVER)
    data = state.send(h11.Response(status_code=answer.status, headers=headers))
    return data + state.send(h11.Data(data=body)) + state.send(h11.EndOfMessage())


FULL_ANSWER = full_answer()


class ConnectionRejection:
    """Answer without reading a request, which is then certainly not run."""

    def __init__(
        self,
        reactor: Reactor,
        sock: socket.socket,
        on_closed: Callable[["ConnectionRejection"], None],
    ) -> None:
        self._on_closed = on_closed
        self._stream = Stream(reactor, sock, self)
        self._stream.write(FULL_ANSWER)
        self._stream.finish()

    @property
    def is_open(self) -> bool:
        """Return whether the answer is still under way."""
        return not self._stream.closed

    def on_bytes(self, data: bytes) -> None:
        """Do nothing: a stream that finishes reads for itself."""

    def on_eof(self) -> None:
        """Do nothing: a stream that finishes closes by itself."""

    def on_drained(self) -> None:
        """Do nothing: the answer is written in one piece."""

    def on_closed(self) -> None:
        """Note that the caller is gone."""
        self._on_closed(self)
