"""Event loop for sockets and timers, on the circuits poller.

Connections are plain objects owned by one component.  With a component per
connection every broadcast event would visit all of them, and circuits' own
client takes 0.1 s to connect, so neither is used on the data path.
"""

import errno
import heapq
import itertools
import os
import socket
from collections.abc import Callable
from typing import Any, Protocol

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from .clock import Clock
from .logs import log_event, log_failure
from .misc import Address

__all__ = [
    "ConnectAttempt",
    "FdHandler",
    "Listener",
    "Reactor",
    "Timer",
    "is_local_error",
]

LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_EVENT = 64
ACCEPT_RETRY_DELAY_S = 0.1
MIN_COMPACTION_TIMERS = 1024
# Errors of connecting that lie with this process or machine, not with the other end.
LOCAL_ERROR_CODES = frozenset(
    {errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)


class FdHandler(Protocol):
    """Receives the events of a file descriptor."""

    def on_readable(self) -> None:
        """Read from the descriptor, which is ready for reading."""

    def on_writable(self) -> None:
        """Write to the descriptor, which is ready for writing."""

    def on_hangup(self) -> None:
        """Handle a hang-up; the poller no longer watches the descriptor."""


class Timer:
    """Scheduled call of a function; `cancel` revokes it."""

    __slots__ = ("args", "fn")

    def __init__(self, fn: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.fn: Callable[..., None] | None = fn
        self.args = args

    def cancel(self) -> None:
        """Revoke the call; cancelling again has no effect."""
        self.fn = None
        self.args = ()

    def run(self) -> None:
        """Call the function unless the timer was cancelled or has run."""
        fn, args = self.fn, self.args
        self.cancel()
        if fn is not None:
            fn(*args)


class Reactor(BaseComponent):
    """Event loop of a process: dispatches socket events and runs timers.

    Attributes:
        clock: time of the timers.
        failed_callbacks: number of callbacks that raised an exception.
    """

    channel = "reactor"

    def __init__(self, clock: Clock, poller: EPoll) -> None:
        super().__init__()
        self.clock = clock
        self._poller = poller
        self._owners: dict[int, FdHandler] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._compaction_size = MIN_COMPACTION_TIMERS
        self.failed_callbacks = 0

    def watch(
        self, fd: int, owner: FdHandler, read: bool = False, write: bool = False
    ) -> None:
        """Watch a descriptor for exactly the given events and report to its owner."""
        self._owners[fd] = owner
        if read != self._poller.isReading(fd):
            if read:
                self._poller.addReader(self, fd)
            else:
                self._poller.removeReader(fd)
        if write != self._poller.isWriting(fd):
            if write:
                self._poller.addWriter(self, fd)
            else:
                self._poller.removeWriter(fd)

    def unwatch(self, fd: int) -> None:
        """Stop watching a descriptor."""
        if self._owners.pop(fd, None) is not None:
            self._poller.discard(fd)

    def call_later(self, delay_s: float, fn: Callable[..., None], *args: Any) -> Timer:
        """Call a function after a number of seconds and return its Timer."""
        timer = Timer(fn, args)
        due = self.clock.monotonic() + max(0.0, delay_s)
        heapq.heappush(self._timers, (due, next(self._sequence), timer))
        if len(self._timers) >= self._compaction_size:
            self._remove_cancelled_timers()
        return timer

    def _remove_cancelled_timers(self) -> None:
        """Remove cancelled timers from the heap; called when it has doubled in size.

        Most requests end long before their deadline, and a cancelled timer
        would otherwise stay on the heap until it is due.
        """
        self._timers[:] = [entry for entry in self._timers if entry[2].fn is not None]
        heapq.heapify(self._timers)
        self._compaction_size = max(MIN_COMPACTION_TIMERS, 2 * len(self._timers))

    def call_soon(self, fn: Callable[..., None], *args: Any) -> Timer:
        """Call a function in the next loop iteration."""
        return self.call_later(0.0, fn, *args)

    @handler("generate_events")
    def _on_generate_events(self, event: Any) -> None:
        self._run_due_timers()
        if len(self.root):
            # circuits does not shorten its wait for events fired in this phase.
            event.reduce_time_left(0)
            return
        if not self._timers:
            return
        wait = self._timers[0][0] - self.clock.monotonic()
        event.reduce_time_left(max(0.0, wait))

    def _run_due_timers(self) -> None:
        now = self.clock.monotonic()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            self._run_callback(timer.run)

    @handler("_read")
    def _on_read(self, fd: int) -> None:
        owner = self._owners.get(fd)
        if owner is not None:
            self._run_callback(owner.on_readable)

    @handler("_write")
    def _on_write(self, fd: int) -> None:
        owner = self._owners.get(fd)
        if owner is not None:
            self._run_callback(owner.on_writable)

    @handler("_disconnect")
    def _on_disconnect(self, fd: int) -> None:
        if self._poller.isReading(fd) or self._poller.isWriting(fd):
            # The hang-up belongs to a descriptor that was closed in this loop
            # iteration; a new connection has since reused its number.
            return
        owner = self._owners.pop(fd, None)
        if owner is not None:
            self._run_callback(owner.on_hangup)

    def _run_callback(self, fn: Callable[[], None]) -> None:
        """Run a callback; its failure must not affect other connections."""
        try:
            fn()
        except Exception as exc:
            self.failed_callbacks += 1
            log_failure("callback-failed", exc)


class Listener:
    """Accept connections on an address and pass each socket to `on_accept`."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_accept: Callable[[socket.socket, Address], None],
    ) -> None:
        self._reactor = reactor
        self._on_accept = on_accept
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(LISTEN_BACKLOG)
        self.address = Address(*self._sock.getsockname())
        self._fd = self._sock.fileno()
        reactor.watch(self._fd, self, read=True)

    def on_readable(self) -> None:
        """Accept pending connections, limited per event so as not to starve others."""
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                sock, peer = self._sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as exc:
                self._pause(exc)
                return
            sock.setblocking(False)
            self._on_accept(sock, Address(*peer))

    def _pause(self, exc: OSError) -> None:
        """Stop accepting for ACCEPT_RETRY_DELAY_S, as when descriptors have run out."""
        log_event("accept-failed", level="WARNING", error=errno.errorcode[exc.errno])
        self._reactor.watch(self._fd, self)
        self._reactor.call_later(ACCEPT_RETRY_DELAY_S, self._resume)

    def _resume(self) -> None:
        if self._sock.fileno() >= 0:
            self._reactor.watch(self._fd, self, read=True)

    def on_writable(self) -> None:
        """Do nothing: a listening socket is never written to."""

    def on_hangup(self) -> None:
        """Do nothing: a listening socket has no peer."""

    def close(self) -> None:
        """Stop accepting and close the socket."""
        self._reactor.unwatch(self._fd)
        self._sock.close()


class ConnectAttempt:
    """Connect to an address without blocking the loop.

    The outcome is passed to `on_done(sock, exc)`, exactly one of which is None.
    It is never called before the constructor has returned, which never raises: callers
    count their attempts and rely on `on_done` alone.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        timeout_s: float,
        on_done: Callable[[socket.socket | None, OSError | None], None],
    ) -> None:
        self._reactor = reactor
        self._on_done = on_done
        self._sock: socket.socket | None = None
        self._timer = reactor.call_later(timeout_s, self._on_timeout)
        try:
            self._connect(address)
        except OSError as exc:
            reactor.call_soon(self._finish, exc)
        except (OverflowError, TypeError, ValueError) as exc:
            # The address is not an IP address and a port.
            reactor.call_soon(self._finish, OSError(errno.EINVAL, str(exc)))

    def _connect(self, address: Address) -> None:
        """Begin to connect.

        Raises:
            OSError: there is no descriptor left, or the connection failed at once.
            OverflowError, TypeError, ValueError: the address is invalid.
        """
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = self._sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, os.strerror(code))
        self._reactor.watch(self._sock.fileno(), self, write=True)

    def cancel(self) -> None:
        """Abort the attempt; `on_done` is not called any more."""
        self._timer.cancel()
        self._on_done = _ignore
        self._close()

    def _close(self) -> None:
        if self._sock is not None and self._sock.fileno() >= 0:
            self._reactor.unwatch(self._sock.fileno())
            self._sock.close()

    def on_readable(self) -> None:
        """Do nothing: a connect completes when the socket is writable."""

    def on_writable(self) -> None:
        """Read the result of the connect from the socket."""
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._finish(OSError(code, os.strerror(code)) if code else None)

    def on_hangup(self) -> None:
        """Read the result of the connect after a hang-up."""
        self.on_writable()

    def _on_timeout(self) -> None:
        code = errno.ETIMEDOUT
        self._finish(OSError(code, os.strerror(code)))

    def _finish(self, exc: OSError | None) -> None:
        self._timer.cancel()
        on_done, self._on_done = self._on_done, _ignore
        if exc is None:
            self._reactor.unwatch(self._sock.fileno())
            on_done(self._sock, None)
            return
        self._close()
        on_done(None, exc)


def is_local_error(exc: OSError) -> bool:
    """Return whether a failure to connect says nothing about the other end."""
    return exc.errno in LOCAL_ERROR_CODES


def _ignore(sock: socket.socket | None, exc: OSError | None) -> None:
    """Discard the outcome of an attempt that has ended or was cancelled."""
