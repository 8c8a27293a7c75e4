"""Which instances one entry host may treat as out of rotation at a given time."""

import enum
from typing import NamedTuple

from ..catalog import Service
from .messages import PullItemResponse

__all__ = ["Change", "Event", "LocalRemovals"]


class Event(enum.StrEnum):
    """How an instance's rotation changed on this entry host; also the log event."""

    EJECTED = "ejected"
    RETURNED = "returned"
    DRAINED = "drained"
    UNDRAINED = "undrained"


class Change(NamedTuple):
    """An instance that went out of rotation or returned to it.

    Attributes:
        event: how its rotation changed.
        instance: the instance's name.
        at: boottime in seconds.
        until: boottime in seconds when its grant expires, None for a drain.
    """

    event: Event
    instance: str
    at: float
    until: float | None = None


class LocalRemovals:
    """The grants and drains of one service that are in use on this entry host."""

    def __init__(self) -> None:
        self._grants: dict[str, float] = {}
        self._drained: frozenset[str] = frozenset()
        self._admitted_version = 0

    def is_removed(self, instance: str, now: float) -> bool:
        """Return whether an instance must get no new requests at this moment."""
        return self._grants.get(instance, now) > now or instance in self._drained

    def is_drained(self, instance: str) -> bool:
        """Return whether an instance's drain has taken effect here."""
        return instance in self._drained

    def is_admitted(self, version: int) -> bool:
        """Return whether the drains of a service's version have taken effect."""
        return self._admitted_version == version

    def granted(self, now: float) -> dict[str, float]:
        """Return the ejections in use, each with the boottime at which it expires."""
        return {name: end for name, end in self._grants.items() if end > now}

    @property
    def drained(self) -> frozenset[str]:
        """Return the instances whose drain has taken effect here."""
        return self._drained

    def apply_service(self, service: Service, now: float) -> list[Change]:
        """Remove the drains that the service no longer lists."""
        return self._set_drained(self._drained & frozenset(service.drains), now)

    def apply_response(
        self,
        response: PullItemResponse,
        service: Service,
        version: int,
        sent_at: float,
        now: float,
    ) -> list[Change]:
        """Apply a holder's response to a pull.

        A response that arrives after its time to live is ignored.

        Args:
            response: the response for this service.
            service: the service as this node knows it.
            version: the version of `service`.
            sent_at: boottime in seconds when the pull was sent.
            now: boottime in seconds.
        """
        changes = self.expire(now)
        until = sent_at + response["ttl_s"]
        if until <= now:
            return changes
        for name in response["grants"]:
            if name not in self._grants:
                changes.append(Change(Event.EJECTED, name, now, until))
            self._grants[name] = max(until, self._grants.get(name, until))
        if response["admits"] == version:
            self._admitted_version = version
            changes += self._set_drained(frozenset(service.drains), now)
        return changes

    def discard_drains(self, now: float) -> list[Change]:
        """Treat no drain as in effect until a holder admits it again.

        A process that was paused may have missed that a drain has ended.
        """
        self._admitted_version = 0
        return self._set_drained(frozenset(), now)

    def clear(self, now: float) -> list[Change]:
        """Return every instance to rotation once the service is no longer pulled."""
        changes = self.expire(now)
        changes += [Change(Event.RETURNED, name, now, now) for name in self._grants]
        self._grants.clear()
        return changes + self.discard_drains(now)

    def expire(self, now: float) -> list[Change]:
        """Remove the grants that have expired."""
        ended = [(name, end) for name, end in self._grants.items() if end <= now]
        for name, _ in ended:
            del self._grants[name]
        return [Change(Event.RETURNED, name, end, end) for name, end in ended]

    def _set_drained(self, names: frozenset[str], now: float) -> list[Change]:
        started = [Change(Event.DRAINED, name, now) for name in names - self._drained]
        ended = [Change(Event.UNDRAINED, name, now) for name in self._drained - names]
        self._drained = names
        return started + ended
