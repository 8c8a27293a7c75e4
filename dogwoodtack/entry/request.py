"""What of a caller's request goes to an instance, and how long it may take."""

from ..backends import Header
from ..door.conn import RequestHead
from ..door.headers import drop_hop_by_hop
from ..routing import Route
from .wire import WireHeaders

__all__ = ["MIN_ATTEMPT_S", "sent_headers", "time_left_s"]

DEFAULT_DEADLINE_S = 10.0
# The least time in which an instance could still answer.
MIN_ATTEMPT_S = 0.02
# The answer has to be on its way a little before the caller's time is over.
ANSWER_MARGIN_S = 0.03


def time_left_s(head: RequestHead, names: WireHeaders, route: Route) -> float:
    """Return how long a request may take from its arrival, in seconds.

    Args:
        head: the caller's request.
        names: header names on the wire.
        route: its time limit counts, too.
    """
    text = head.header(names.deadline_ms) or ""
    left_s = int(text) / 1000 if text.isdigit() else DEFAULT_DEADLINE_S
    if route.timeout_s is not None:
        left_s = min(left_s, route.timeout_s)
    return max(MIN_ATTEMPT_S, left_s - ANSWER_MARGIN_S)


def sent_headers(head: RequestHead, names: WireHeaders, body: bytes) -> list[Header]:
    """Return the headers that every attempt of a request carries.

    Args:
        head: the caller's request.
        names: header names on the wire; those that a host sets itself are left out.
        body: the whole body, which is sent with its length.
    """
    left_out = names.own() | {b"content-length", b"transfer-encoding"}
    kept = drop_hop_by_hop(head.headers)
    headers = [pair for pair in kept if pair[0] not in left_out]
    if body or head.method not in ("GET", "HEAD"):
        headers.append((b"content-length", str(len(body)).encode()))
    return headers
