"""Several ways to one confirmation, tried one after the other."""

from collections.abc import Callable, Sequence

from ..confirmation import OnConfirmed
from ..reactor import Reactor, Timer

__all__ = ["StaggeredAttempts"]

# Without a result for so long, the next way is tried beside the earlier ones: a store
# or a host that is cut off does not say so.
STAGGER_S = 0.15

Way = Callable[[OnConfirmed], None]


class StaggeredAttempts:
    """Try the ways to a confirmation until one has it.

    As with staggered connection attempts (RFC 8305), the next one begins when the last
    one has failed or is slow.

    Args:
        reactor: event loop and clock.
        ways: the ways by preference; each calls its argument once with its result.
        on_done: called once, with True as soon as one of them has confirmed, or with
            False when none is left.
    """

    def __init__(
        self, reactor: Reactor, ways: Sequence[Way], on_done: OnConfirmed
    ) -> None:
        self._reactor = reactor
        self._ways = list(ways)
        self._on_done: OnConfirmed | None = on_done
        self._pending = 0
        self._timer: Timer | None = None

    def begin_next(self) -> None:
        """Try the next way; call this once to begin."""
        if self._on_done is None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._ways:
            if not self._pending:
                self._finish(False)
            return
        way = self._ways.pop(0)
        self._pending += 1
        if self._ways:
            self._timer = self._reactor.call_later(STAGGER_S, self.begin_next)
        way(self._on_result)

    def _on_result(self, is_confirmed: bool) -> None:
        self._pending -= 1
        if is_confirmed:
            self._finish(True)
        else:
            self.begin_next()

    def _finish(self, is_confirmed: bool) -> None:
        on_done, self._on_done = self._on_done, None
        if self._timer is not None:
            self._timer.cancel()
        if on_done is not None:
            on_done(is_confirmed)
