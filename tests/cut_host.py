"""An entry host whose paths to instances are cut while a file says so.

On loopback no fault outside the process makes a new connection hang for one host alone,
so the process redirects its own connections.
"""

import entryhost  # isort: skip  # First, as it sets how signals are handled.

import json
import os
import socket
from pathlib import Path

from dogwoodtack.misc import Address
from dogwoodtack.platform.settings import SETTINGS_VARIABLE
from dogwoodtack.reactor import ConnectAttempt
from dogwoodtack.stream import Stream

# Connections that fill the listener's queue, so that further ones hang.
QUEUED_CONNECTIONS = 4


class PathCut:
    """The cut that the file beside the settings describes, if there is one.

    Modes: hang (nothing gets through), reset (connections are reset and refused), and
    refuse-new (only new connections are refused).
    """

    def __init__(self, path):
        self._path = path
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.black_hole = Address(*self._listener.getsockname())
        self._queued = [socket.socket() for _ in range(QUEUED_CONNECTIONS)]
        for sock in self._queued:
            sock.setblocking(False)
            sock.connect_ex(self.black_hole)
        # Stays bound without listening, so that nobody else listens there either.
        self._refusing = socket.socket()
        self._refusing.bind(("127.0.0.1", 0))
        self.closed_port = Address(*self._refusing.getsockname())

    def mode_for(self, port):
        """Return the mode of the cut of a port, or an empty string."""
        if not self._path.exists():
            return ""
        fields = json.loads(self._path.read_text())
        return fields["mode"] if port in fields["ports"] else ""

    def redirect(self, address):
        """Return where a new connection to an address really goes."""
        mode = self.mode_for(address[1])
        if mode:
            return self.black_hole if mode == "hang" else self.closed_port
        return address


def install(cut):
    """Redirect connections, and drop or reset what is sent on established ones."""
    connect, send, is_idle = ConnectAttempt.__init__, Stream._send, Stream.is_idle

    def mode_of(stream):
        try:
            return cut.mode_for(stream._sock.getpeername()[1])
        except OSError:
            return ""

    def cut_connect(self, reactor, address, timeout_s, on_done):
        connect(self, reactor, cut.redirect(address), timeout_s, on_done)

    def cut_send(self, data):
        mode = mode_of(self)
        if mode == "hang":
            self.written_bytes += len(data)
            return len(data)
        return None if mode == "reset" else send(self, data)

    def cut_is_idle(self):
        return is_idle(self) and mode_of(self) != "reset"

    ConnectAttempt.__init__ = cut_connect
    Stream._send = cut_send
    Stream.is_idle = cut_is_idle


if __name__ == "__main__":
    install(PathCut(Path(os.environ[SETTINGS_VARIABLE]).with_suffix(".cut")))
    entryhost.run()
