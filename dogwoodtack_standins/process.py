"""The root component of the stand-in programs, which stops on a signal."""

import signal
from typing import Any

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from dogwoodtack.clock import SystemClock
from dogwoodtack.reactor import Reactor

__all__ = ["Process"]


class Process(BaseComponent):
    """A single-threaded program; SIGTERM and SIGINT stop its event loop."""

    channel = "process"

    def __init__(self) -> None:
        super().__init__()
        self.clock = SystemClock()
        self.reactor = Reactor(self.clock, EPoll().register(self)).register(self)

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event: Any, signo: int, stack: Any) -> None:
        event.stop()
        if signo in (signal.SIGTERM, signal.SIGINT):
            self.stop()
