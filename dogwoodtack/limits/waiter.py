"""One request that waits for a slot."""

from ..reactor import Timer
from .messages import OnSlot, SlotRequest

__all__ = ["Waiter"]


class Waiter:
    """One queued request; `cancel` takes it out of the queue."""

    def __init__(self, req: SlotRequest, on_slot: OnSlot) -> None:
        self.req = req
        self.on_slot = on_slot
        self.timer: Timer | None = None
        self.is_done = False

    def cancel(self) -> None:
        """Wait no longer; the callback is not called any more."""
        self.is_done = True
        if self.timer is not None:
            self.timer.cancel()
