"""Tell instances that have crashed from those that failed a single request."""

import errno
import functools
import socket
from collections.abc import Callable
from typing import NamedTuple

from ..logs import log_event
from ..placement import Instance, Placer
from ..quarantine import Quarantine
from ..reactor import ConnectAttempt, Reactor
from .paths import PathMonitor

__all__ = ["CrashMonitor", "FailedRequest"]

# A connection within a region takes milliseconds.
CHECK_TIMEOUT_S = 0.2
SILENCE_TRIES = 2
# The ends of an instance that were noticed last are kept, up to this number.
MAX_ENDS = 1024


class FailedRequest(NamedTuple):
    """A request that got no response, as its connection was cut or went silent.

    Attributes:
        id: request id.
        digest: digest that its repeats share.
        instance: the instance, as it was known when the request was sent.
        sent_at: when the attempt began, in seconds on the monotonic clock.
        is_silent: whether no response came in time, rather than the connection's end.
    """

    id: str
    digest: str
    instance: Instance
    sent_at: float
    is_silent: bool


class CrashMonitor:
    """Check after a failed attempt whether its instance still accepts connections.

    An instance has crashed if it refuses them although it neither drains nor leaves, or
    if it has gone silent and connections to it hang.

    Args:
        reactor: connects to the instances.
        placer: knows which instances drain or leave.
        paths: tells whether this host reaches any instances.
        quarantine: records the crashes.
        on_crash: called after each crash, for other hosts to be told.
    """

    def __init__(
        self,
        reactor: Reactor,
        placer: Placer,
        paths: PathMonitor,
        quarantine: Quarantine,
        on_crash: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._placer = placer
        self._paths = paths
        self._quarantine = quarantine
        self._on_crash = on_crash
        # When the first request failed at each instance that has crashed.
        self._ended_at: dict[tuple[str, int], float] = {}
        self.crashes = 0

    def check(
        self, failed: FailedRequest, on_done: Callable[[], None] | None = None
    ) -> None:
        """Find out whether an instance has crashed under a request.

        Args:
            failed: the request, whose attempt has just ended.
            on_done: called once that is known.
        """
        failed_at = self._reactor.clock.monotonic()
        # The packet that opens a connection may be lost, which shows no silence.
        tries = SILENCE_TRIES if failed.is_silent else 1
        self._connect(failed, failed_at, on_done, tries)

    def _connect(
        self,
        failed: FailedRequest,
        failed_at: float,
        on_done: Callable[[], None] | None,
        tries: int,
    ) -> None:
        on_connect = functools.partial(
            self._on_connect, failed, failed_at, on_done, tries
        )
        address = failed.instance.address
        ConnectAttempt(self._reactor, address, CHECK_TIMEOUT_S, on_connect)

    def _on_connect(
        self,
        failed: FailedRequest,
        failed_at: float,
        on_done: Callable[[], None] | None,
        tries: int,
        sock: socket.socket | None,
        exc: OSError | None,
    ) -> None:
        if sock is not None:
            sock.close()
            self._paths.on_connect(failed.instance, True)
        code = None if exc is None else exc.errno
        has_hung = failed.is_silent and code == errno.ETIMEDOUT
        if has_hung and tries > 1:
            self._connect(failed, failed_at, on_done, tries - 1)
            return
        has_ended = has_hung or code == errno.ECONNREFUSED
        if has_ended:
            # A host whose own paths are lost can't tell.
            self._paths.check()
        self._paths.when_settled(
            functools.partial(self._conclude, failed, failed_at, has_ended, on_done)
        )

    def _conclude(
        self,
        failed: FailedRequest,
        failed_at: float,
        has_ended: bool,
        on_done: Callable[[], None] | None,
    ) -> None:
        # Paths that are suspect may have lost the packets to a silent instance.
        is_path_suspect = failed.is_silent and self._paths.is_suspect
        if has_ended and not is_path_suspect and self._is_unplanned(failed.instance):
            self._record(failed, failed_at)
        if on_done is not None:
            on_done()

    def _is_unplanned(self, instance: Instance) -> bool:
        known = self._placer.registry.get(instance.id)
        return (
            not self._paths.is_cut_off
            and known is not None
            and not known.is_draining
            and not self._placer.notices.is_leaving(instance)
        )

    def _record(self, failed: FailedRequest, failed_at: float) -> None:
        instance = failed.instance
        start = instance.id, instance.born_ms
        ended_at = self._ended_at.setdefault(start, failed_at)
        if len(self._ended_at) > MAX_ENDS:
            del self._ended_at[next(iter(self._ended_at))]
        if failed.sent_at >= ended_at:
            # The instance had ended before.
            return
        self.crashes += 1
        log_event(
            "instance-crashed",
            instance=instance.id,
            request=failed.id,
            digest=failed.digest,
            silent=failed.is_silent,
        )
        now = self._reactor.clock.monotonic()
        if self._quarantine.on_crash(
            failed.digest, f"{instance.id}/{instance.born_ms}", now
        ):
            log_event(
                "request-quarantined",
                digest=failed.digest,
                crashes=self._quarantine.crashes(failed.digest, now),
                request=failed.id,
            )
        self._on_crash()
