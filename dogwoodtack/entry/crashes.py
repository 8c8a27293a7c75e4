"""Tell instances that have crashed from those that dropped a connection."""

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

__all__ = ["CrashMonitor", "CutRequest"]

# A connection within a region takes milliseconds.
CHECK_TIMEOUT_S = 0.2
# The ends of an instance that were noticed last are kept, up to this number.
MAX_ENDS = 1024


class CutRequest(NamedTuple):
    """A request whose connection to an instance ended before the response.

    Attributes:
        id: request id.
        digest: digest that its repeats share.
        instance: the instance, as it was known when the request was sent.
        sent_at: when the attempt began, in seconds on the monotonic clock.
    """

    id: str
    digest: str
    instance: Instance
    sent_at: float


class CrashMonitor:
    """Check after a cut attempt whether its instance still accepts connections.

    An instance has crashed if it refuses them although it neither drains nor leaves.

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
        # When the first request was cut at each instance that has crashed.
        self._ended_at: dict[tuple[str, int], float] = {}
        self.crashes = 0

    def check(self, cut: CutRequest, on_done: Callable[[], None] | None = None) -> None:
        """Find out whether an instance has crashed under a request.

        Args:
            cut: the request, whose attempt has just ended.
            on_done: called once that is known.
        """
        cut_at = self._reactor.clock.monotonic()
        on_connect = functools.partial(self._on_connect, cut, cut_at, on_done)
        ConnectAttempt(self._reactor, cut.instance.address, CHECK_TIMEOUT_S, on_connect)

    def _on_connect(
        self,
        cut: CutRequest,
        cut_at: float,
        on_done: Callable[[], None] | None,
        sock: socket.socket | None,
        exc: OSError | None,
    ) -> None:
        if sock is not None:
            sock.close()
            self._paths.on_connect(cut.instance, True)
        is_refused = exc is not None and exc.errno == errno.ECONNREFUSED
        if is_refused:
            # A host whose own paths are lost can't tell.
            self._paths.check()
        self._paths.when_settled(
            functools.partial(self._conclude, cut, cut_at, is_refused, on_done)
        )

    def _conclude(
        self,
        cut: CutRequest,
        cut_at: float,
        is_refused: bool,
        on_done: Callable[[], None] | None,
    ) -> None:
        if is_refused and self._is_unplanned(cut.instance):
            self._record(cut, cut_at)
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

    def _record(self, cut: CutRequest, cut_at: float) -> None:
        instance = cut.instance
        start = instance.id, instance.born_ms
        ended_at = self._ended_at.setdefault(start, cut_at)
        if len(self._ended_at) > MAX_ENDS:
            del self._ended_at[next(iter(self._ended_at))]
        if cut.sent_at >= ended_at:
            # The instance had ended before.
            return
        self.crashes += 1
        log_event(
            "instance-crashed", instance=instance.id, request=cut.id, digest=cut.digest
        )
        now = self._reactor.clock.monotonic()
        if self._quarantine.on_crash(
            cut.digest, f"{instance.id}/{instance.born_ms}", now
        ):
            log_event(
                "request-quarantined",
                digest=cut.digest,
                crashes=self._quarantine.crashes(cut.digest, now),
                request=cut.id,
            )
        self._on_crash()
