"""JSON encoding of the messages about keys between entry hosts."""

import base64
import binascii
import re
from typing import Any, TypedDict

from ..errors import ErrorKind, RequestError
from ..misc import is_final_status
from .messages import SettleReply, SettleRequest, SettleStatus, StoredResponse

__all__ = [
    "SETTLE_PATH",
    "SettleReplyJson",
    "SettleRequestJson",
    "StoredResponseJson",
    "reply_from_json",
    "reply_to_json",
    "request_from_json",
    "request_to_json",
]

SETTLE_PATH = "/keys/settle"
DIGEST_PATTERN = re.compile(r"(?:[0-9a-f]{2}){1,64}")


class SettleRequestJson(TypedDict):
    """A SettleRequest as JSON."""

    to: str
    asker: str
    token: str
    key: str
    seal: str


class StoredResponseJson(TypedDict):
    """A stored response as JSON; the body is in Base64."""

    status: int
    headers: list[list[str]]
    body: str


class SettleReplyJson(TypedDict):
    """A SettleReply as JSON."""

    word: str
    answer: StoredResponseJson | None
    successor: str


def request_to_json(request: SettleRequest) -> SettleRequestJson:
    """Return a settle request as JSON."""
    return SettleRequestJson(**request._asdict())


def request_from_json(value: Any) -> SettleRequest:
    """Parse a settle request.

    Raises:
        RequestError: BAD_REQUEST, with a detail that names the fault.
    """
    if not isinstance(value, dict):
        raise RequestError(ErrorKind.BAD_REQUEST, "the question must be an object")
    fields = [value.get(name) for name in SettleRequest._fields]
    if not all(isinstance(field, str) for field in fields):
        raise RequestError(ErrorKind.BAD_REQUEST, "every field must be a text")
    request = SettleRequest(*fields)
    if not DIGEST_PATTERN.fullmatch(request.seal):
        raise RequestError(ErrorKind.BAD_REQUEST, "the seal must be hexadecimal")
    return request


def reply_to_json(reply: SettleReply) -> SettleReplyJson:
    """Return a settle reply as JSON."""
    response = None if reply.response is None else _response_to_json(reply.response)
    return SettleReplyJson(
        word=reply.status, answer=response, successor=reply.successor
    )


def _response_to_json(response: StoredResponse) -> StoredResponseJson:
    headers = [
        [name.decode("latin-1"), value.decode("latin-1")]
        for name, value in response.headers
    ]
    body = base64.b64encode(response.body).decode()
    return StoredResponseJson(status=response.status, headers=headers, body=body)


def reply_from_json(value: Any) -> SettleReply:
    """Parse a settle reply.

    Raises:
        ValueError: the value is not one that `reply_to_json` returns.
    """
    try:
        response = (
            None if value["answer"] is None else _response_from_json(value["answer"])
        )
        return SettleReply(
            SettleStatus(value["word"]), response, str(value["successor"])
        )
    except (KeyError, TypeError, binascii.Error) as exc:
        raise ValueError(f"malformed settle reply: {exc!r}") from exc


def _response_from_json(value: Any) -> StoredResponse:
    headers = [
        (name.encode("latin-1"), text.encode("latin-1"))
        for name, text in value["headers"]
    ]
    body = base64.b64decode(value["body"], validate=True)
    status = int(value["status"])
    if not is_final_status(status):
        # A node of an earlier build may have taken it for a response.
        raise ValueError(f"status {status} is none")
    return StoredResponse(status, headers, body)
