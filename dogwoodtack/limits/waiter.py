"""A request that waits for a slot."""

from ..reactor import Timer
from .messages import OnSlot, SlotRequest

__all__ = ["Waiter"]


class Waiter:
    """A queued request, which the queue skips once it is cancelled."""

    def __init__(self, req: SlotRequest, on_slot: OnSlot) -> None:
        self.req = req
        self.on_slot = on_slot
        self.timer: Timer | None = None
        self.is_done = False

    def cancel(self) -> None:
        """End the wait; the waiter is not granted a slot or rejected after that."""
        self.is_done = True
        if self.timer is not None:
            self.timer.cancel()
