"""A loopback proxy that delays, resets or stalls connections."""

import enum
import socket
import threading
import time

from dogwoodtack.misc import Address

__all__ = ["Fault", "FaultProxy"]

DELAY_S = 0.3
POLL_S = 0.05
READ_BYTES = 65536


class Fault(enum.StrEnum):
    """Fault that the proxy applies to its connections.

    ANSWERS_SILENCED withholds only the bytes to the client, SILENCED those of both
    directions.
    """

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    ANSWERS_SILENCED = "answers-silenced"
    SILENCED = "silenced"


class FaultProxy:
    """A proxy between the entry hosts and one instance."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self.fault = Fault.NONE
        self._is_open = True
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = Address(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Refuse connections and reset those that are open."""
        self._is_open = False
        try:
            # Without it the thread that accepts would keep the port open.
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It was closed before.
            return
        self._listener.close()

    def reopen(self) -> None:
        """Accept connections again on the same address."""
        self._listener = socket.create_server(self.address, backlog=128)
        self._is_open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        listener = self._listener
        while self._is_open:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._handle_client, args=(client,), daemon=True
            ).start()

    def _handle_client(self, client: socket.socket) -> None:
        if self.fault is Fault.RESET:
            self._reset(client)
            return
        try:
            server = socket.create_connection(self._target, 2.0)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.settimeout(POLL_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        answers = threading.Thread(target=self._forward, args=(server, client, True))
        answers.daemon = True
        answers.start()
        self._forward(client, server, False)

    def _forward(
        self, source: socket.socket, sink: socket.socket, answers: bool
    ) -> None:
        """Forward bytes in one direction until either side closes or RESET is set."""
        buffer = b""
        try:
            while self.fault is not Fault.RESET and self._is_open:
                try:
                    data = source.recv(READ_BYTES)
                except TimeoutError:
                    data = None
                if data == b"":
                    break
                buffer += data or b""
                if buffer and not self._is_withheld(answers):
                    if self.fault is Fault.DELAYED:
                        time.sleep(DELAY_S)
                    sink.sendall(buffer)
                    buffer = b""
            else:
                self._reset(source)
        except OSError:
            # The thread of the other direction, or the peer, closed the connection.
            pass
        for sock in (source, sink):
            sock.close()

    def _is_withheld(self, answers: bool) -> bool:
        if self.fault is Fault.SILENCED:
            return True
        return answers and self.fault is Fault.ANSWERS_SILENCED

    @staticmethod
    def _reset(sock: socket.socket) -> None:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()
