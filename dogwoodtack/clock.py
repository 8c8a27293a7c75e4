"""Clocks: the operating system's, and a virtual one for tests and simulations."""

import time
from typing import Protocol

__all__ = ["Clock", "SystemClock", "VirtualClock"]


class Clock(Protocol):
    """Source of the current time."""

    def monotonic(self) -> float:
        """Return seconds that do not advance while the machine is suspended."""

    def boottime(self) -> float:
        """Return seconds that also advance while the machine is suspended."""

    def wall(self) -> float:
        """Return seconds since the epoch, which may be set back."""


class SystemClock:
    """Read the operating system's clocks."""

    def monotonic(self) -> float:
        """Return CLOCK_MONOTONIC in seconds."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return CLOCK_BOOTTIME in seconds, which expiry checks use."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the wall clock in seconds since the epoch."""
        return time.time()


class VirtualClock:
    """Clock that advances only by `advance`."""

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start

    def advance(self, seconds: float) -> None:
        """Advance the clock by a number of seconds."""
        self.now += seconds

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def boottime(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the virtual time in seconds."""
        return self.now
