"""What of a caller's request goes to an instance, and how long it may take."""

from ..backends import Header
from ..door.conn import RequestHead
from ..door.headers import drop_hop_by_hop
from ..routing import Route
from .wire import HeaderNames

__all__ = ["MIN_ATTEMPT_S", "forwarded_headers", "time_limit_s"]

DEFAULT_TIME_LIMIT_S = 10.0
# The least time in which an instance could still answer.
MIN_ATTEMPT_S = 0.02
# The answer has to be on its way a little before the caller's time is over.
RESPONSE_MARGIN_S = 0.03


def time_limit_s(head: RequestHead, header_names: HeaderNames, route: Route) -> float:
    """Return how long a request may take from its arrival, in seconds.

    Args:
        head: the caller's request.
        names: header names on the wire.
        route: its time limit counts, too.
    """
    text = head.header(header_names.deadline_ms) or ""
    limit_s = int(text) / 1000 if text.isdigit() else DEFAULT_TIME_LIMIT_S
    if route.timeout_s is not None:
        limit_s = min(limit_s, route.timeout_s)
    return max(MIN_ATTEMPT_S, limit_s - RESPONSE_MARGIN_S)


def forwarded_headers(
    head: RequestHead, header_names: HeaderNames, body: bytes
) -> list[Header]:
    """Return the headers that every attempt of a request carries.

    Args:
        head: the caller's request.
        names: header names on the wire; those that a host sets itself are left out.
        body: the whole body, which is sent with its length.
    """
    excluded = header_names.set_by_host() | {b"content-length", b"transfer-encoding"}
    kept = drop_hop_by_hop(head.headers)
    headers = [pair for pair in kept if pair[0] not in excluded]
    if body or head.method not in ("GET", "HEAD"):
        headers.append((b"content-length", str(len(body)).encode()))
    return headers
