"""The format of an idempotency key: its owner, its epoch and a random token."""

import re
from typing import NamedTuple

__all__ = ["ParsedKey", "key_prefix", "parse_key"]

MAX_EPOCH_DIGITS = 9
KEY_PATTERN = re.compile(
    rf"([0-9a-f]{{8,64}})\.([0-9]{{1,{MAX_EPOCH_DIGITS}}})/([A-Za-z0-9._~-]{{1,64}})"
)


class ParsedKey(NamedTuple):
    """The parts of a well-formed key.

    Attributes:
        owner: the incarnation that issued the prefix.
        epoch: the owner's epoch in which it issued the prefix.
        token: the caller's random token.
    """

    owner: str
    epoch: int
    token: str


def key_prefix(owner: str, epoch: int) -> str:
    """Return the prefix of the keys of one owner and epoch."""
    return f"{owner}.{epoch}/"


def parse_key(text: str) -> ParsedKey | None:
    """Return a key's parts, or None where it is malformed."""
    match = KEY_PATTERN.fullmatch(text)
    if match is None:
        return None
    owner, epoch, token = match.groups()
    return ParsedKey(owner, int(epoch), token)
