"""Concurrency limits, fair queueing, load balancing and retry budgets."""

from .limits import Limits, Waiter
from .messages import OnSlot, Slot, SlotRequest

__all__ = ["Limits", "OnSlot", "Slot", "SlotRequest", "Waiter"]
