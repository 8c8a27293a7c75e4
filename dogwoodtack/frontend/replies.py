"""Answers that this system gives itself: errors, and answers kept for repeats."""

from ..backends import Header
from ..errors import ErrorKind, Outcome, answer_for
from ..keys import StoredAnswer
from .conn import ServerConn
from .headers import ERROR_KIND, OUTCOME, REQUEST_ID

__all__ = ["ran_headers", "send_error", "send_stored"]


def ran_headers(headers: list[Header], request_id: str) -> list[Header]:
    """Return a back end's headers as the caller gets them, with this request's id."""
    named = [pair for pair in headers if pair[0] != REQUEST_ID]
    named.append((REQUEST_ID, request_id.encode()))
    named.append((OUTCOME, Outcome.RAN.encode()))
    return named


def send_stored(conn: ServerConn, answer: StoredAnswer, request_id: str) -> None:
    """Answer a repeat with what its request was answered."""
    conn.send_head(answer.status, ran_headers(answer.headers, request_id))
    if answer.body:
        conn.send_body(answer.body)
    conn.end_answer()


def send_error(
    conn: ServerConn,
    kind: ErrorKind,
    detail: str,
    request_id: str = "",
    outcome: Outcome | None = None,
) -> None:
    """Answer a request with an error kind, at once.

    The outcome is what the kind implies unless another one is given.
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
    conn.end_answer()
