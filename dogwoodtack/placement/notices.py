"""What instances say about themselves in their responses.

Load pattern: an instance that leaves, or that is overloaded, still accepts
connections, and its entry in the service directory shows it as ready for seconds or
for good.  Each request that goes there is in its way and is rejected.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .instances import Instance

__all__ = ["InstanceNotice", "InstanceNotices"]

# Notices of leaving outlive the entries of their instances, as a store that comes back
# from an older copy lists those again.  The oldest are dropped beyond this number.
MAX_LEAVING = 4096


class InstanceNotice(NamedTuple):
    """What one response says about its instance.

    Attributes:
        rate_limit_per_s: requests per second that it takes from all hosts together;
            None if it names no limit.
        is_leaving: whether it leaves and should get no new requests.
        pause_s: seconds for which it wants no request from this host; None if it asks
            for no pause.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None


class _Pause(NamedTuple):
    """A pause of an instance.

    Attributes:
        until: when it ends, in seconds on the monotonic clock.
        latest_born_ms: a start of the instance after this time, in Unix milliseconds,
            has not asked for it.
    """

    until: float
    latest_born_ms: int


class InstanceNotices:
    """The instances that leave, and those that this host leaves alone for a while.

    Both hold until the instance starts again.  That it leaves holds for all hosts, a
    pause for this host only.
    """

    def __init__(self) -> None:
        # Start time of each leaving instance, in the order in which they were noticed.
        self._leaving: dict[str, int] = {}
        self._pauses: dict[str, _Pause] = {}

    def on_leaving(self, instance_id: str, born_ms: int) -> bool:
        """Record that an instance leaves and return whether that is news.

        Args:
            instance_id: the instance.
            born_ms: when it was started, in Unix milliseconds.
        """
        if self._leaving.get(instance_id, -1) >= born_ms:
            return False
        self._leaving[instance_id] = born_ms
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return True

    def on_pause(
        self, instance: Instance, pause_s: float, now: float, unix_ms: int
    ) -> bool:
        """Record that an instance asks for a pause; return whether it had none.

        A response that arrives later never shortens a pause.

        Args:
            instance: the instance, as it was known when the request was sent.
            pause_s: seconds for which it wants no request from this host.
            now: seconds on the monotonic clock.
            unix_ms: the same in Unix milliseconds.  The entry of an instance that has
                just restarted may arrive after its first response.
        """
        is_new = not self.is_paused(instance, now)
        known = self._pauses.get(instance.id)
        until = now + pause_s
        if known is not None and instance.born_ms <= known.latest_born_ms:
            until = max(until, known.until)
        latest_born_ms = max(instance.born_ms, unix_ms)
        self._pauses[instance.id] = _Pause(until, latest_born_ms)
        return is_new and until > now

    def is_leaving(self, instance: Instance) -> bool:
        """Return whether an instance has said that it leaves, and has not restarted."""
        return self._leaving.get(instance.id, -1) >= instance.born_ms

    def is_paused(self, instance: Instance, now: float) -> bool:
        """Return whether this host sends an instance nothing for now."""
        pause = self._pauses.get(instance.id)
        return (
            pause is not None
            and now < pause.until
            and instance.born_ms <= pause.latest_born_ms
        )

    def pause_end(self, instances: Iterable[Instance], now: float) -> float | None:
        """Return when the first of some paused instances may be used again."""
        ends = [
            self._pauses[one.id].until for one in instances if self.is_paused(one, now)
        ]
        return min(ends, default=None)

    def leaving(self, instances: Iterable[Instance]) -> dict[str, int]:
        """Return the start times of those instances that leave, by id."""
        return {one.id: one.born_ms for one in instances if self.is_leaving(one)}

    def pop_ended_pauses(self, now: float) -> list[str]:
        """Forget the pauses that have ended and return their instances."""
        ended = [one for one, pause in self._pauses.items() if pause.until <= now]
        for instance_id in ended:
            del self._pauses[instance_id]
        return ended

    def forget(self, instance_id: str) -> None:
        """Drop that an instance leaves, if a later start could not be told from this.

        All else outlives its entry, which may be missing for a moment only.
        """
        if self._leaving.get(instance_id) == 0:
            del self._leaving[instance_id]
