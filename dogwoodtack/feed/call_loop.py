"""A loop of calls to the store that goes on whatever becomes of a call."""

from collections.abc import Callable

from ..reactor import Reactor, Timer

__all__ = ["CallLoop"]

# Calls to the store end sooner.
OVERDUE_CALL_S = 5.0


class CallLoop:
    """Repeated calls to the store, of which the latest decides when the next is made.

    Args:
        reactor: runs timers.
        fn: makes the call.
    """

    def __init__(self, reactor: Reactor, fn: Callable[[], None]) -> None:
        self._reactor = reactor
        self._fn = fn
        self._timer: Timer | None = None
        self._calls = 0

    def begin_call(self) -> int:
        """Return the number of a call that is about to be made.

        The next call is made in any case, even if this one's reply gets lost because
        handling it raises an exception.
        """
        self._calls += 1
        self.schedule(OVERDUE_CALL_S)
        return self._calls

    def is_latest(self, call: int) -> bool:
        """Return whether no call was made after the one of a number."""
        return call == self._calls

    def schedule(self, delay_s: float) -> None:
        """Call the function after a number of seconds, in place of its next call."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._reactor.call_later(delay_s, self._fn)
