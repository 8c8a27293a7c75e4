"""UDP transport of the messages between entry hosts."""

import socket
from collections.abc import Callable

from ..logs import log_event
from ..misc import Address
from ..reactor import Reactor
from .records import Message, decode_message, encode_message

__all__ = ["Datagrams"]

MAX_DATAGRAM_BYTES = 65507
MAX_READS_PER_EVENT = 64


class Datagrams:
    """Send and receive messages on one UDP socket.

    Args:
        reactor: watches the socket.
        address: where to bind the socket.
        on_message: called with each valid message.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_message: Callable[[Message], None],
    ) -> None:
        self._on_message = on_message
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self.address = Address(*self._sock.getsockname())
        self.lost_count = 0
        reactor.watch(self._sock.fileno(), self, read=True)

    def send(self, message: Message, addresses: list[Address]) -> None:
        """Send a message to some hosts; it is dropped where the socket refuses it."""
        data = encode_message(message)
        for address in addresses:
            try:
                self._sock.sendto(data, address)
            except OSError as exc:
                self.lost_count += 1
                log_event("datagram-lost", level="DEBUG", to=address, error=exc)

    def on_readable(self) -> None:
        """Read waiting datagrams, at most MAX_READS_PER_EVENT of them."""
        for _ in range(MAX_READS_PER_EVENT):
            try:
                data = self._sock.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                # An earlier datagram met a closed port; the socket stays usable.
                log_event("datagram-refused", level="DEBUG", error=exc)
                continue
            message = decode_message(data)
            if message is not None:
                self._on_message(message)

    def on_writable(self) -> None:
        """Do nothing: outgoing datagrams are not buffered."""

    def on_hangup(self) -> None:
        """Do nothing: a datagram socket has no remote end."""
