"""An entry host that hears no other host while a file beside its settings exists.

On loopback no fault outside the process drops the datagrams of one host alone.
"""

import entryhost  # isort: skip  # First, as it sets how signals are handled.

import os
from pathlib import Path

from dogwoodtack.fleet.datagrams import Datagrams
from dogwoodtack.platform.settings import SETTINGS_VARIABLE


def install(path: Path) -> None:
    """Drop all datagrams, sent and received, while a path exists."""
    send, receive = Datagrams.send, Datagrams.__init__

    def drop_or_send(self, message, addresses):
        if not path.exists():
            send(self, message, addresses)

    def init(self, reactor, address, on_message):
        def drop_or_handle(message):
            if not path.exists():
                on_message(message)

        receive(self, reactor, address, drop_or_handle)

    Datagrams.send = drop_or_send
    Datagrams.__init__ = init


if __name__ == "__main__":
    install(Path(os.environ[SETTINGS_VARIABLE]).with_suffix(".isolated"))
    entryhost.run()
