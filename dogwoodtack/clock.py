"""Clocks: the system's own, and a virtual one for decisions under test."""

import time
from typing import Protocol

__all__ = ["Clock", "SystemClock", "VirtualClock"]


class Clock(Protocol):
    """What the rest of the system asks of a clock."""

    def monotonic(self) -> float:
        """Return seconds that stand still while the machine sleeps."""

    def boottime(self) -> float:
        """Return seconds that go on while the machine sleeps."""

    def wall(self) -> float:
        """Return seconds since the epoch, for people and logs only."""


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
    """A clock that moves only when it is told to."""

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
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
