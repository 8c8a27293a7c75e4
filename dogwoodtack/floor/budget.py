"""How many instances of a service may be out of rotation, and which already are."""

from collections.abc import Set

from ..catalog import Service
from .messages import CHANGE_GRACE_S

__all__ = ["Budget"]


class Budget:
    """The limit on removals: a decrease applies at once, an increase after a delay.

    A change of the service reaches the entry hosts at different times.  One that it
    has not reached yet still treats an instance as drained to which others send
    requests again, or relies on an earlier, higher floor.  So an earlier, lower limit,
    and the name of an instance that was out of rotation, count for another
    CHANGE_GRACE_S.
    """

    def __init__(self) -> None:
        self._allowed = 0
        self._out: Set[str] = frozenset()
        self._lower_limits: list[tuple[float, int]] = []
        self._recently_out: dict[str, float] = {}
        self._is_new = True

    def update(self, service: Service, leaving: Set[str], now: float) -> None:
        """Update the limit and the instances that are out of rotation.

        Args:
            service: the latest known version of the service.
            leaving: names of the instances that announced their own shutdown.
            now: boottime in seconds.
        """
        allowed = len(service.instances) - service.floor
        if not self._is_new and allowed > self._allowed:
            self._lower_limits.append((now + CHANGE_GRACE_S, self._allowed))
        self._allowed = allowed
        self._is_new = False
        names = {one.name for one in service.instances}
        out = (leaving | set(service.drains)) & names
        for name in self._out - out:
            self._recently_out[name] = now + CHANGE_GRACE_S
        self._out = out
        self._lower_limits = [entry for entry in self._lower_limits if entry[0] > now]
        self._recently_out = {
            name: until
            for name, until in self._recently_out.items()
            if until > now and name in names
        }

    @property
    def limit(self) -> int:
        """Return how many instances may be out of rotation at once."""
        return min([self._allowed, *(allowed for _, allowed in self._lower_limits)])

    @property
    def occupied(self) -> set[str]:
        """Return the instances that are out of rotation without an ejection."""
        return set(self._out) | self._recently_out.keys()
