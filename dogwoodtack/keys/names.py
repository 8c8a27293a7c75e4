"""The parts of an idempotency key: its owner, its epoch and a random token."""

import re
from typing import NamedTuple

__all__ = ["ParsedKey", "key_prefix", "parse_key"]

MAX_EPOCH_DIGITS = 9
KEY_PATTERN = re.compile(
    rf"([0-9a-f]{{8,64}})\.([0-9]{{1,{MAX_EPOCH_DIGITS}}})/([A-Za-z0-9._~-]{{1,64}})"
)


class ParsedKey(NamedTuple):
    """A key that has the right form.

    Attributes:
        owner: the incarnation that gave the prefix out.
        epoch: the owner's time block in which it gave the prefix out.
        token: what the caller drew at random.
    """

    owner: str
    epoch: int
    token: str


def key_prefix(owner: str, epoch: int) -> str:
    """Return what the keys of one owner and epoch begin with."""
    return f"{owner}.{epoch}/"


def parse_key(text: str) -> ParsedKey | None:
    """Return a key's parts, or None where its form is wrong."""
    match = KEY_PATTERN.fullmatch(text)
    if match is None:
        return None
    owner, epoch, token = match.groups()
    return ParsedKey(owner, int(epoch), token)
