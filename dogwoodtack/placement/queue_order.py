"""Order in which the queued requests of a service are served."""

from collections.abc import Iterable
from typing import Any, Protocol, TypeVar

from ..fairness import ServedShares, UsageLedger

__all__ = ["serving_order"]


class _Queued(Protocol):
    """What the order of a request depends on; see `QueuedRequest`."""

    order: int
    priority: int
    start_by: float
    organisation: str
    organisation_priority: int
    kind: str
    work_s: float | None


_Request = TypeVar("_Request", bound=_Queued)


def serving_order(
    requests: Iterable[_Request],
    usage: UsageLedger,
    served: ServedShares,
    now: float,
) -> list[_Request]:
    """Return requests in the order in which they are served.

    Requests that can still meet their latency objective come first, among these the
    starved kinds, then the organisation's priority, the request's, the organisation
    with the least work, and arrival. The work of an organisation includes its requests
    that are served earlier, so that organisations with equal recent work take turns.

    Args:
        requests: the queued requests.
        usage: recent work of each organisation.
        served: how often each kind of request gets a slot.
        now: seconds on the monotonic clock.
    """
    requests = list(requests)
    starved = {
        kind: served.is_starved(kind, now) for kind in {one.kind for one in requests}
    }

    def urgency(one: _Request) -> tuple[Any, ...]:
        return (
            one.start_by < now,
            not starved[one.kind],
            one.organisation_priority,
            one.priority,
        )

    work_s: dict[str, float] = {}
    keys: dict[int, tuple[Any, ...]] = {}
    for one in sorted(requests, key=lambda one: (urgency(one), one.order)):
        before_s = work_s.get(one.organisation)
        if before_s is None:
            before_s = usage.usage_s(one.organisation, now)
        keys[one.order] = (urgency(one), before_s, one.order)
        work_s[one.organisation] = before_s + (one.work_s or 0.0)
    return sorted(requests, key=lambda one: keys[one.order])
