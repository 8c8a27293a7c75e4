"""Whether a request that may have run may be sent once more."""

from collections.abc import Callable

from ..routing import Route

__all__ = ["RepeatPermission"]


class RepeatPermission:
    """Follow whether a request may run more than once, from its arrival on.

    The kind of its route says so, whatever its method, but a host may not know the
    newest configuration.  So a repeat needs a confirmation by the store that began
    after the request had arrived.

    Args:
        route: the route that it matched on arrival.
        version: version of the configuration then.
        max_runs: how many instances may run it by that route.
        find_route: returns the route that the request matches now, and the version.
        confirm_configuration: calls its argument with whether the newest configuration
            is in force here.

    Attributes:
        kind: kind of its route, as far as is known.
        is_idempotent: whether it may run more than once, as far as is known.
        is_certain: whether the store has confirmed that since its arrival.
        max_runs: how many instances may run it.
        version: version of the configuration that says so.
    """

    def __init__(
        self,
        route: Route,
        version: int,
        max_runs: int,
        find_route: Callable[[], tuple[Route | None, int]],
        confirm_configuration: Callable[[Callable[[bool], None]], None],
    ) -> None:
        self._find_route = find_route
        self._confirm_configuration = confirm_configuration
        self.kind = route.kind
        self.is_idempotent = route.kind.is_idempotent
        self.is_certain = False
        self.max_runs = max_runs
        self.version = version

    @property
    def is_granted(self) -> bool:
        """Return whether a request that may have run may be sent once more."""
        return self.is_idempotent and self.is_certain

    def update(self) -> None:
        """Take notice of a configuration that came after the request."""
        route, version = self._find_route()
        if version == self.version:
            return
        self.version = version
        if route is not None:
            self.kind = route.kind
        if route is None or not route.kind.is_idempotent:
            self.forbid()

    def confirm(self, on_done: Callable[[bool], None]) -> None:
        """Ask the store for the newest configuration, and take notice of it.

        Args:
            on_done: called with whether it is known here.
        """

        def on_confirmed(is_confirmed: bool) -> None:
            if is_confirmed:
                self.is_certain = True
                self.update()
            on_done(is_confirmed)

        self._confirm_configuration(on_confirmed)

    def forbid(self) -> None:
        """Let the request run once at most from now on."""
        self.is_idempotent = False
        self.max_runs = 1
