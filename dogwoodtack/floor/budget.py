"""How many instances of a service may be out of work, and which already are."""

from collections.abc import Set

from ..catalog import Service
from .messages import CHANGE_GRACE_S

__all__ = ["Budget"]


class Budget:
    """The limit on removals, quick to shrink and slow to grow.

    Entry hosts hear of a change at different times.  One that has not heard yet
    still treats an instance as drained that others give work again, or counts
    on an earlier, higher floor.  So a limit that was lower, and a name that was
    out of work, go on counting for CHANGE_GRACE_S.
    """

    def __init__(self) -> None:
        self._allowed = 0
        self._out: Set[str] = frozenset()
        self._lower_limits: list[tuple[float, int]] = []
        self._recently_out: dict[str, float] = {}
        self._is_new = True

    def update(self, service: Service, leaving: Set[str], now: float) -> None:
        """Take a service as it stands, and which instances leave by themselves."""
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
        """Return how many instances may be out of work at once."""
        return min([self._allowed, *(allowed for _, allowed in self._lower_limits)])

    @property
    def occupied(self) -> set[str]:
        """Return the instances that are out of work without an ejection."""
        return set(self._out) | self._recently_out.keys()
