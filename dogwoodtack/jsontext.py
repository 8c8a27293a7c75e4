"""JSON text from other programs, of which a part may be unreadable."""

import json
import re
from typing import Any

__all__ = ["parse_json", "parse_json_leniently"]

# No message nests deeper, and no number has more digits. What exceeds either is not
# readable for Python, which limits both.
MAX_DEPTH = 64
MAX_NUMBER_CHARS = 300
# How Python's decoder spells not-a-number.
UNREADABLE = "NaN"
_TOKEN = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*"'
    r"|[\[{]|[\]}]"
    rf"|[-+.0-9Ee]{{{MAX_NUMBER_CHARS + 1},}}",
    re.DOTALL,
)


def parse_json(data: bytes | bytearray | str) -> Any:
    """Return the value of a JSON text.

    Raises:
        ValueError: the text is no JSON, or nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError as exc:
        raise ValueError("the text is nested too deeply") from exc


def parse_json_leniently(data: bytes | bytearray) -> Any:
    """Return the value of a JSON text, with not-a-number for its unreadable parts.

    These are values that are nested too deeply or have too many digits.  Unlike null,
    not-a-number can't be taken for a member that is left out.  Bytes that are no UTF-8
    become replacement characters.

    Raises:
        ValueError: the text as a whole is no JSON.
    """
    try:
        return parse_json(data)
    except ValueError:
        return parse_json(_without_unreadable_parts(data.decode("utf-8", "replace")))


def _without_unreadable_parts(text: str) -> str:
    kept = []
    kept_to = depth = 0
    for match in _TOKEN.finditer(text):
        token = match[0]
        if token in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(text[kept_to : match.start()])
        elif token in "]}":
            if depth == MAX_DEPTH + 1:
                kept.append(UNREADABLE)
                kept_to = match.end()
            depth -= 1
        elif token[0] != '"' and depth <= MAX_DEPTH:
            kept += (text[kept_to : match.start()], UNREADABLE)
            kept_to = match.end()
    kept.append(text[kept_to:])
    return "".join(kept)
