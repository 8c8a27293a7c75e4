"""Responses that this host generates: errors, and replays of stored responses."""

from ..backends import Header
from ..errors import ErrorKind, Outcome, answer_for
from ..keys import StoredResponse
from .conn import ServerConn
from .headers import ERROR_KIND, OUTCOME, REQUEST_ID

__all__ = ["headers_for_caller", "send_error", "send_stored"]


def headers_for_caller(headers: list[Header], request_id: str) -> list[Header]:
    """Add the request's id and outcome to the headers of a back end's response."""
    kept = [pair for pair in headers if pair[0] != REQUEST_ID]
    kept.append((REQUEST_ID, request_id.encode()))
    kept.append((OUTCOME, Outcome.RAN.encode()))
    return kept


def send_stored(conn: ServerConn, response: StoredResponse, request_id: str) -> None:
    """Send the stored response of a request to its retry."""
    conn.send_head(response.status, headers_for_caller(response.headers, request_id))
    if response.body:
        conn.send_body(response.body)
    conn.end_response()


def send_error(
    conn: ServerConn,
    kind: ErrorKind,
    detail: str,
    request_id: str = "",
    outcome: Outcome | None = None,
) -> None:
    """Send the response for an error kind.

    Args:
        conn: the caller's connection.
        kind: the error.
        detail: follows the kind's own text; may be empty.
        request_id: id of the request, empty to send none.
        outcome: the outcome to send, None for the one that the kind implies.
    """
    answer = answer_for(kind)
    text = f"{answer.text} {detail}".strip()
    body = (text + "\n").encode("utf-8", "replace")
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
        (OUTCOME, (outcome or answer.outcome).encode()),
        (ERROR_KIND, kind.encode()),
    ]
    if request_id:
        headers.append((REQUEST_ID, request_id.encode()))
    if answer.retry_after_s is not None:
        headers.append((b"retry-after", str(answer.retry_after_s).encode()))
    conn.send_head(answer.status, headers)
    conn.send_body(body)
    conn.end_response()
