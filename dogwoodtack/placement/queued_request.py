"""A request that waits for a free slot."""

import math
from typing import Any, NamedTuple

__all__ = ["QueuedRequest"]


class QueuedRequest(NamedTuple):
    """A request that waits for a free slot.

    Times are in seconds on the monotonic clock.

    Attributes:
        order: sequence number of its arrival.
        priority: priority of the request, 0 is the highest.
        start_by: latest start that meets its latency objective.
        abandon_at: latest start at which it is served at all.
        payload: what the owner of the queue needs to place the request.
        organisation: the organisation that sends it, empty if it names none.
        organisation_priority: that organisation's priority, 0 is the highest.
        kind: the kind of request that it is counted as.
        work_s: expected time that it holds a slot, in seconds; None for the service's
            mean.
        queued_at: when it was queued; by default so early that none may go before it
            that has a lower claim.
    """

    order: int
    priority: int
    start_by: float
    abandon_at: float
    payload: Any
    organisation: str = ""
    organisation_priority: int = 0
    kind: str = ""
    work_s: float | None = None
    queued_at: float = -math.inf
