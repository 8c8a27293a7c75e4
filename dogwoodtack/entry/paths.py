"""Monitor of this host's network paths to the instances as a whole."""

import functools
import math
import random
import socket
from collections.abc import Callable

from ..logs import LimitedLog, log_event
from ..placement import Instance, InstanceRegistry, Reachability
from ..reactor import ConnectAttempt, Reactor, is_local_error

__all__ = ["PathMonitor"]

# A connection within a region takes milliseconds.
PROBE_TIMEOUT_S = 0.2
# How often the paths are probed while they count as lost, and at most before.
PROBE_INTERVAL_S = 0.5
PROBES_PER_ROUND = 3


class PathMonitor:
    """Tell from connection attempts whether this host reaches any instances.

    A failed attempt of a request is followed by probes, which only connect.

    Args:
        reactor: connects and runs timers.
        registry: the known instances.
        rng: chooses the instances to probe.
        on_change: called when the paths are lost and when they work again.
    """

    def __init__(
        self,
        reactor: Reactor,
        registry: InstanceRegistry,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._registry = registry
        self._rng = rng
        self._on_change = on_change
        self._reachability = Reachability()
        self._limited_log = LimitedLog(reactor.clock.monotonic)
        self._pending_probes = 0
        self._round_at = -math.inf
        self._waiting: list[Callable[[], None]] = []

    @property
    def is_cut_off(self) -> bool:
        """Return whether the paths to all instances count as lost."""
        return self._reachability.is_cut_off

    @property
    def is_suspect(self) -> bool:
        """Return whether failures may be due to this host's paths."""
        return self._reachability.is_suspect

    @property
    def unreached(self) -> int:
        """Return how many instances were not reached since one was."""
        return len(self._reachability.failed)

    @property
    def pending_probes(self) -> int:
        """Return how many probes are under way."""
        return self._pending_probes

    @property
    def waiting(self) -> int:
        """Return how many functions wait for the probes under way."""
        return len(self._waiting)

    def on_connect(self, instance: Instance, is_reached: bool) -> None:
        """Record whether an instance accepted the connection of a request."""
        self._record(instance, is_reached)
        if not is_reached:
            self.check()

    def check(self) -> None:
        """Probe the paths, unless that was done just before."""
        now = self._reactor.clock.monotonic()
        if not self.is_cut_off and now - self._round_at >= PROBE_INTERVAL_S:
            self._probe()

    def when_settled(self, fn: Callable[[], None]) -> None:
        """Call a function once no probe is under way."""
        if self._pending_probes and not self.is_cut_off:
            self._waiting.append(fn)
        else:
            fn()

    def _record(self, instance: Instance, is_reached: bool) -> None:
        known = len(self._targets())
        if not self._reachability.record(instance.id, is_reached, known):
            return
        log_event(
            "instance-paths", lost=self.is_cut_off, instance=instance.id, known=known
        )
        self._on_change()
        if self.is_cut_off:
            self._reactor.call_later(PROBE_INTERVAL_S, self._probe_until_regained)

    def _targets(self) -> list[Instance]:
        return [one for one in self._registry.all() if not one.is_draining]

    def _probe_until_regained(self) -> None:
        if self.is_cut_off:
            self._reactor.call_later(PROBE_INTERVAL_S, self._probe_until_regained)
            self._probe()

    def _probe(self) -> None:
        """Connect to a few instances, those first that have not failed yet."""
        if self._pending_probes:
            return
        self._round_at = self._reactor.clock.monotonic()
        targets = self._targets()
        self._rng.shuffle(targets)
        targets.sort(key=lambda one: one.id in self._reachability.failed)
        if not targets:
            self._settle()
        for instance in targets[:PROBES_PER_ROUND]:
            self._pending_probes += 1
            on_done = functools.partial(self._on_probe_done, instance)
            ConnectAttempt(self._reactor, instance.address, PROBE_TIMEOUT_S, on_done)

    def _on_probe_done(
        self, instance: Instance, sock: socket.socket | None, exc: OSError | None
    ) -> None:
        if sock is not None:
            sock.close()
        self._pending_probes -= 1
        was_cut_off = self.is_cut_off
        if exc is not None and is_local_error(exc):
            # It says nothing about the paths, nor would further probes.
            self._limited_log.warn("path-probe-failed", error=exc)
            if not self._pending_probes:
                self._settle()
            return
        self._record(instance, sock is not None)
        if self._pending_probes and not self.is_cut_off:
            return
        if not self.is_cut_off and not was_cut_off and self.unreached:
            # None was reached, and too few have failed to tell.
            self._probe()
            return
        self._settle()

    def _settle(self) -> None:
        waiting, self._waiting = self._waiting, []
        for fn in waiting:
            fn()
