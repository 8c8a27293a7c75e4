"""Header names, and which headers are forwarded, dropped or added."""

from ..backends import Header
from ..misc import parse_count
from .conn import RequestHead

__all__ = [
    "backend_headers",
    "CUSTOMER",
    "customer_of",
    "DEADLINE_MS",
    "DRAINING",
    "drop_hop_by_hop",
    "ERROR_KIND",
    "IDEMPOTENCY_KEY",
    "NOT_EXECUTED",
    "OUTCOME",
    "REQUEST_ID",
    "response_headers",
    "time_limit_s",
]

CUSTOMER = b"x-customer"
DRAINING = b"x-draining"
DEADLINE_MS = b"x-deadline-ms"
ERROR_KIND = b"x-dogwoodtack-error"
IDEMPOTENCY_KEY = b"idempotency-key"
NOT_EXECUTED = b"x-not-executed"
OUTCOME = b"x-dogwoodtack-outcome"
REQUEST_ID = b"x-request-id"

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
    }
)
REPLACED_HEADERS = frozenset({DEADLINE_MS, REQUEST_ID})
OWN_RESPONSE_HEADERS = frozenset({OUTCOME, ERROR_KIND, NOT_EXECUTED, DRAINING})


def _connection_options(headers: list[Header]) -> set[bytes]:
    """Return the headers that the Connection header declares as hop-by-hop."""
    options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    return options - {b"content-length", b"transfer-encoding", b"host"}


def drop_hop_by_hop(headers: list[Header]) -> list[Header]:
    """Return the end-to-end headers."""
    dropped = HOP_BY_HOP | _connection_options(headers)
    return [pair for pair in headers if pair[0] not in dropped]


def backend_headers(
    head: RequestHead, request_id: str, left_s: float, body_bytes: int | None
) -> list[Header]:
    """Return the headers of the request to a back end.

    Args:
        head: the caller's request.
        request_id: id of the attempt.
        left_s: seconds left until the deadline.
        body_bytes: length of the body, None if it is streamed.
    """
    dropped = HOP_BY_HOP | REPLACED_HEADERS | _connection_options(head.headers)
    framing = {b"content-length", b"transfer-encoding"}
    if body_bytes is not None:
        dropped = dropped | framing
    headers = [pair for pair in head.headers if pair[0] not in dropped]
    if body_bytes is not None:
        headers.append((b"content-length", str(body_bytes).encode()))
    headers.append((REQUEST_ID, request_id.encode()))
    headers.append((DEADLINE_MS, str(max(1, int(left_s * 1000))).encode()))
    return headers


def response_headers(headers: list[Header]) -> list[Header]:
    """Return the headers of a back end's response that are forwarded."""
    dropped = HOP_BY_HOP | OWN_RESPONSE_HEADERS | _connection_options(headers)
    return [pair for pair in headers if pair[0] not in dropped]


def customer_of(head: RequestHead) -> str:
    """Return the customer that a request names, or an empty string."""
    return (head.header(CUSTOMER) or "")[:100]


def time_limit_s(head: RequestHead, default_s: float) -> float:
    """Return how long a request may take, in seconds.

    Args:
        head: the caller's request, whose deadline may lower the limit.
        default_s: the route's limit in seconds.

    Raises:
        ValueError: the caller's deadline is not a whole number above 0.
    """
    text = head.header(DEADLINE_MS)
    if text is None:
        return default_s
    deadline_ms = parse_count(text)
    if not deadline_ms:
        raise ValueError(f"{DEADLINE_MS.decode()} must be a whole number above 0")
    return min(default_s, deadline_ms / 1000)
