"""Error responses that an entry host generates itself."""

from collections.abc import Iterable

from ..backends import Header
from ..errors import ErrorKind, answer_for
from ..frontend.conn import ServerConn

__all__ = ["STATUS_BY_KIND", "send_error"]

# Statuses 408, 429 and 503 guarantee that the request did not and will not run.
STATUS_BY_KIND = {
    ErrorKind.OVERLOADED: 503,
    ErrorKind.RATE_LIMITED: 429,
    ErrorKind.NO_INSTANCE: 503,
    ErrorKind.QUARANTINED: 503,
    ErrorKind.CUT_OFF: 503,
    ErrorKind.BACKEND_SHED: 503,
    ErrorKind.BACKEND_REFUSED: 503,
    ErrorKind.DEADLINE_PASSED: 503,
    ErrorKind.HOST_EXHAUSTED: 503,
    ErrorKind.BACKEND_TIMEOUT: 504,
    ErrorKind.BACKEND_CUT: 502,
    ErrorKind.BACKEND_MALFORMED: 502,
}


def send_error(
    conn: ServerConn,
    kind: ErrorKind,
    extra_headers: Iterable[Header] = (),
    retry_after_s: float | None = None,
) -> int:
    """Send the response for an error kind.

    Args:
        conn: the caller's connection.
        kind: the error.
        extra_headers: further headers, such as the request's id.
        retry_after_s: seconds after which to retry, for a request that did not run.

    Returns:
        The HTTP status that was sent.
    """
    answer = answer_for(kind)
    status = STATUS_BY_KIND.get(kind, answer.status)
    body = f"{answer.text}\n".encode()
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
    ]
    headers.extend(extra_headers)
    if kind is ErrorKind.UNAUTHORIZED:
        # A 401 has to name a scheme (RFC 9110).
        headers.append((b"www-authenticate", b"Bearer"))
    if retry_after_s is not None:
        headers.append((b"retry-after", f"{retry_after_s:.2f}".encode()))
    conn.send_head(status, headers)
    conn.send_body(body)
    conn.end_response()
    return status
