"""Requests for slots and the slots granted."""

from collections.abc import Callable
from typing import NamedTuple

from ..catalog import Instance, Service
from ..errors import ErrorKind

__all__ = ["OnSlot", "Slot", "SlotRequest"]


class SlotRequest(NamedTuple):
    """A request for a slot on an instance.

    Attributes:
        service: the service as of the time of the request.
        customer: the customer that the slot counts for in fair queueing.
        deadline: monotonic time in seconds of the request's deadline.
        exclude: names of the instances that this request has already tried.
        is_retry: whether the request has reached a back end before.  A refused
            connection does not count, because it causes a back end no load.
        is_idempotent: whether the request may run more than once.
    """

    service: Service
    customer: str
    deadline: float
    exclude: frozenset[str]
    is_retry: bool
    is_idempotent: bool = True


class Slot:
    """A slot that is in use on one instance; `release` must be called once."""

    __slots__ = ("_on_release", "instance", "service")

    def __init__(
        self, service: str, instance: Instance, on_release: Callable[["Slot"], None]
    ) -> None:
        self.service = service
        self.instance = instance
        self._on_release: Callable[[Slot], None] | None = on_release

    def release(self) -> None:
        """Release the slot; a second call does nothing."""
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release(self)


OnSlot = Callable[[Slot | None, ErrorKind | None], None]
