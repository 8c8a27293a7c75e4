"""The forwarded headers of a caller's request, and its time limit."""

from ..access import canonical_name
from ..backends import Header
from ..frontend.conn import RequestHead
from ..frontend.headers import drop_hop_by_hop
from ..misc import parse_count
from ..routing import Route
from .wire import HeaderNames

__all__ = [
    "ATTEMPTS_LEFT_HEADER",
    "MIN_ATTEMPT_S",
    "attempts_left",
    "default_time_limit_s",
    "forwarded_headers",
    "max_runs",
    "time_limit_s",
]

# On a request that another entry host hands over: how many instances may still run it.
ATTEMPTS_LEFT_HEADER = b"x-dogwoodtack-attempts-left"

DEFAULT_TIME_LIMIT_S = 10.0
# The shortest time in which an instance could still respond.
MIN_ATTEMPT_S = 0.02
# Part of the caller's deadline that is reserved for sending the response.
RESPONSE_MARGIN_S = 0.03


def time_limit_s(head: RequestHead, header_names: HeaderNames, route: Route) -> float:
    """Return how long a request may take from its arrival, in seconds.

    Args:
        head: the caller's request.
        header_names: header names on the wire.
        route: the matched route, whose timeout may lower the limit.
    """
    deadline_ms = parse_count(head.header(header_names.deadline_ms) or "")
    if deadline_ms is None:
        return default_time_limit_s(route)
    return _bounded_limit_s(deadline_ms / 1000, route)


def default_time_limit_s(route: Route) -> float:
    """Return how long a request without a deadline may take, in seconds."""
    return _bounded_limit_s(DEFAULT_TIME_LIMIT_S, route)


def _bounded_limit_s(limit_s: float, route: Route) -> float:
    if route.timeout_s is not None:
        limit_s = min(limit_s, route.timeout_s)
    return max(MIN_ATTEMPT_S, limit_s - RESPONSE_MARGIN_S)


def max_runs(route: Route) -> int:
    """Return how many instances may run a request of a route."""
    return route.max_attempts if route.kind.is_idempotent else 1


def attempts_left(head: RequestHead, route: Route) -> int:
    """Return how many instances may run a request that was handed over.

    Args:
        head: the request of the other entry host.
        route: the matched route.
    """
    left = parse_count(head.header(ATTEMPTS_LEFT_HEADER) or "")
    return max(1, min(1 if left is None else left, max_runs(route)))


def forwarded_headers(
    head: RequestHead,
    header_names: HeaderNames,
    body_bytes: int,
    requires_keys: bool = False,
) -> list[Header]:
    """Return the headers that every attempt of a request sends.

    Args:
        head: the caller's request.
        header_names: header names on the wire; those that a host sets are left out.
        body_bytes: length of the complete body, which is sent.
        requires_keys: whether there are organisations; then what the caller says of
            itself is left out, in whatever spelling.
    """
    excluded = header_names.set_by_host() | {
        b"content-length",
        b"transfer-encoding",
        ATTEMPTS_LEFT_HEADER,
    }
    kept = drop_hop_by_hop(head.headers)
    headers = [pair for pair in kept if pair[0] not in excluded]
    if requires_keys:
        identifying = header_names.identifying()
        headers = [
            pair for pair in headers if canonical_name(pair[0]) not in identifying
        ]
    if body_bytes or head.method not in ("GET", "HEAD"):
        headers.append((b"content-length", str(body_bytes).encode()))
    return headers
