"""Small helpers shared by several modules."""

import hmac
import secrets
from typing import NamedTuple

__all__ = ["Address", "new_token", "parse_address", "parse_count", "secrets_match"]

TOKEN_BYTES = 16
MAX_PORT = 65535
# Whole numbers of this length fit any arithmetic, also with floating point numbers.
MAX_COUNT_DIGITS = 15


class Address(NamedTuple):
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `host:port`.

    Raises:
        ValueError: the text has no host, or no port from 1 to 65535.
    """
    host, sep, port = text.strip().rpartition(":")
    if not sep or not host or not port.isdigit():
        raise ValueError(f"{text!r} is not host:port")
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f"port {number} is not from 1 to {MAX_PORT}")
    return Address(host, number)


def parse_count(text: str) -> int | None:
    """Return the whole number in a text, or None if it has none or too large a one.

    Other digits than 0 to 9, which `str.isdigit` accepts, are no number.
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_number else None


def new_token() -> str:
    """Return a random hexadecimal token that is unique among processes."""
    return secrets.token_hex(TOKEN_BYTES)


def secrets_match(left: str, right: str) -> bool:
    """Return whether two secrets are equal, comparing in constant time."""
    return hmac.compare_digest(left.encode(), right.encode())
