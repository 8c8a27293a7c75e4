"""Which queued requests of a service come first, and which can't be met any more."""

import heapq
import operator
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ..fairness import ServedShares, UsageLedger
from .queued_request import QueuedRequest

__all__ = ["Claim", "Urgency", "by_claim", "find_unmeetable", "serving_order"]

# Share of the time until its latest start in which a request lets others of its urgency
# go first. With 0 a burst of one organisation cost 4 in 100 more of all requests than
# plain priority order, with 0.8 none.
PASSABLE_SHARE = 0.8


# Whether a request can't meet its latency objective any more, whether its kind is not
# starved, its organisation's priority, and its own. Lower values come first.
Urgency = tuple[bool, bool, int, int]


class Claim(NamedTuple):
    """The claim of a queued request to a slot; lower values come first.

    Attributes:
        urgency: what decides before the organisations' work.
        work_s: recent work of its organisation and work of that one's requests that
            come earlier, in seconds.
        order: sequence number of its arrival.
        request: the request.
    """

    urgency: Urgency
    work_s: float
    order: int
    request: QueuedRequest


def by_claim(
    requests: Sequence[QueuedRequest],
    usage: UsageLedger,
    served: ServedShares,
    now: float,
) -> list[Claim]:
    """Return the claims of requests to a slot, the best first.

    Requests that can still meet their latency objective come first, among these the
    starved kinds, then the organisation's priority, the request's, the organisation
    with the least work, and arrival. The work of an organisation includes its requests
    that come earlier, so that organisations with equal recent work take turns, as with
    the finish times of Demers, Keshav and Shenker (1989).

    Args:
        requests: the queued requests in the order of their arrival.
        usage: recent work of each organisation.
        served: how often each kind of request gets a slot.
        now: seconds on the monotonic clock.
    """
    kinds = {one.kind for one in requests}
    starved = {kind for kind in kinds if served.is_starved(kind, now)}
    by_urgency: dict[Urgency, list[QueuedRequest]] = {}
    for one in requests:
        urgency = (
            one.start_by < now,
            one.kind not in starved,
            one.organisation_priority,
            one.priority,
        )
        by_urgency.setdefault(urgency, []).append(one)
    work_s: dict[str, float] = {}
    claims = []
    for urgency in sorted(by_urgency):
        for one in by_urgency[urgency]:
            name = one.organisation
            if name not in work_s:
                work_s[name] = usage.usage_s(name, now)
            claims.append(Claim(urgency, work_s[name], one.order, one))
            work_s[name] += one.work_s or 0.0
    claims.sort()
    return claims


def serving_order(claims: Iterable[Claim], now: float) -> list[QueuedRequest]:
    """Return requests in the order in which they are served.

    This is the order of their claims, but of equally urgent requests those that have
    just come and have time go after those that have waited. In the strict order of
    claims, requests of the organisation with the most work waited long and were then
    rejected, while others were served long before they had to be.

    Args:
        claims: the claims of the queued requests, the best first.
        now: seconds on the monotonic clock.
    """
    fresh, waited = [], []
    for claim in claims:
        (fresh if _has_time(claim.request, now) else waited).append(claim)
    # The claims of each list are in order already.
    ordered = heapq.merge(waited, fresh, key=operator.attrgetter("urgency"))
    return [claim.request for claim in ordered]


def _has_time(queued: QueuedRequest, now: float) -> bool:
    allowed_s = queued.start_by - queued.queued_at
    return now - queued.queued_at < PASSABLE_SHARE * allowed_s


def find_unmeetable(
    claims: list[Claim],
    latest_start: Callable[[QueuedRequest], float],
    wait_s: Callable[[QueuedRequest], float],
    now: float,
) -> list[QueuedRequest]:
    """Return the requests that can't all start in time, those with the least claim.

    One request always fits: nothing that waits delays it.

    Args:
        claims: the claims of the queued requests, the best first.
        latest_start: returns until when a request may wait.
        wait_s: returns how long it takes to free a slot for a request, in seconds.
        now: seconds on the monotonic clock.
    """
    # Ranks of the requests that fit so far, that with the least claim first.
    fitting: list[int] = []
    unmeetable = []
    start = now
    waits_s = [wait_s(claim.request) for claim in claims]
    latest = [(latest_start(claim.request), rank) for rank, claim in enumerate(claims)]
    for latest_at, rank in sorted(latest):
        heapq.heappush(fitting, -rank)
        start += waits_s[rank]
        if start > latest_at and len(fitting) > 1:
            least = -heapq.heappop(fitting)
            unmeetable.append(claims[least].request)
            start -= waits_s[least]
    return unmeetable
