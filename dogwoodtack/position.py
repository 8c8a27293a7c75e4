"""Positions in the history of the platform's store."""

from typing import Any, NamedTuple

__all__ = ["START_POSITION", "StorePosition", "decode_position", "parse_era"]

# Eras rise by one with each restored copy; a number this large is no era.
MAX_ERA = 10**6


class StorePosition(NamedTuple):
    """A point in the store's history; a later point compares as greater.

    Attributes:
        era: rises by one each time the store comes back from an older copy.
        revision: rises with each change in an era and may go back between two eras.
    """

    era: int
    revision: int


# Before anything is known.
START_POSITION = StorePosition(0, 0)


def parse_era(text: str) -> int:
    """Return the era in a header's value.

    Raises:
        ValueError: the text is not a whole number from 0 to MAX_ERA.
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_ERA))
    if not is_number or int(text) > MAX_ERA:
        raise ValueError(f"{text[:40]!r} is not an era")
    return int(text)


def decode_position(fields: dict[str, Any]) -> StorePosition:
    """Return the position in the fields `era` and `revision` of another host's message.

    Raises:
        KeyError: there is no revision.
        TypeError, ValueError: a field has an invalid value.
    """
    return StorePosition(parse_era(str(fields.get("era", 0))), int(fields["revision"]))
