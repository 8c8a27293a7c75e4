"""The JSON forms of what entry hosts say to each other about keys."""

import base64
import binascii
import re
from typing import Any, TypedDict

from ..errors import ErrorKind, RequestError
from .messages import SettleAsk, SettleReply, SettleWord, StoredAnswer

__all__ = [
    "SETTLE_PATH",
    "AnswerForm",
    "AskForm",
    "ReplyForm",
    "ask_form",
    "parse_ask",
    "parse_reply",
    "reply_form",
]

SETTLE_PATH = "/keys/settle"
SEAL_PATTERN = re.compile(r"(?:[0-9a-f]{2}){1,64}")


class AskForm(TypedDict):
    """A SettleAsk as JSON."""

    to: str
    asker: str
    token: str
    key: str
    seal: str


class AnswerForm(TypedDict):
    """A kept answer as JSON; the body is in base 64."""

    status: int
    headers: list[list[str]]
    body: str


class ReplyForm(TypedDict):
    """A SettleReply as JSON."""

    word: str
    answer: AnswerForm | None
    successor: str


def ask_form(ask: SettleAsk) -> AskForm:
    """Return a question's JSON form."""
    return AskForm(**ask._asdict())


def parse_ask(value: Any) -> SettleAsk:
    """Return the question in a JSON form.

    Raises:
        RequestError: BAD_REQUEST, with what is wrong.
    """
    if not isinstance(value, dict):
        raise RequestError(ErrorKind.BAD_REQUEST, "the question must be an object")
    fields = [value.get(name) for name in SettleAsk._fields]
    if not all(isinstance(field, str) for field in fields):
        raise RequestError(ErrorKind.BAD_REQUEST, "every field must be a text")
    ask = SettleAsk(*fields)
    if not SEAL_PATTERN.fullmatch(ask.seal):
        raise RequestError(ErrorKind.BAD_REQUEST, "the seal must be hexadecimal")
    return ask


def reply_form(reply: SettleReply) -> ReplyForm:
    """Return a reply's JSON form."""
    answer = None if reply.answer is None else _answer_form(reply.answer)
    return ReplyForm(word=reply.word, answer=answer, successor=reply.successor)


def _answer_form(answer: StoredAnswer) -> AnswerForm:
    headers = [
        [name.decode("latin-1"), value.decode("latin-1")]
        for name, value in answer.headers
    ]
    body = base64.b64encode(answer.body).decode()
    return AnswerForm(status=answer.status, headers=headers, body=body)


def parse_reply(value: Any) -> SettleReply:
    """Return the reply in a JSON form.

    Raises:
        ValueError: the form is not one that `reply_form` returns.
    """
    try:
        answer = None if value["answer"] is None else _parse_answer(value["answer"])
        return SettleReply(SettleWord(value["word"]), answer, str(value["successor"]))
    except (KeyError, TypeError, binascii.Error) as exc:
        raise ValueError(f"not a reply about a key: {exc!r}") from exc


def _parse_answer(value: Any) -> StoredAnswer:
    headers = [
        (name.encode("latin-1"), text.encode("latin-1"))
        for name, text in value["headers"]
    ]
    body = base64.b64decode(value["body"], validate=True)
    return StoredAnswer(int(value["status"]), headers, body)
