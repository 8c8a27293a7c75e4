"""Small helpers shared by several modules."""

import functools
import hmac
import ipaddress
import secrets
from typing import NamedTuple

__all__ = [
    "Address",
    "check_address",
    "is_final_status",
    "is_safe_method",
    "new_token",
    "parse_address",
    "parse_count",
    "parse_ip",
    "secrets_match",
]

# A caller that uses one of these asks for no change (RFC 9110, section 9.2.1).
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
TOKEN_BYTES = 16
# HTTP has no other statuses (RFC 9110, section 15); lower ones are interim.
FINAL_STATUSES = range(200, 600)
MAX_PORT = 65535
MAX_SHOWN_CHARS = 80
# Whole numbers of this length fit any arithmetic, also with floating point numbers.
MAX_COUNT_DIGITS = 15


def is_safe_method(method: str) -> bool:
    """Return whether HTTP itself lets requests of a method be repeated."""
    return method in SAFE_METHODS


def is_final_status(status: int) -> bool:
    """Return whether a number is a status that ends a request in HTTP."""
    return status in FINAL_STATUSES


class Address(NamedTuple):
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str, allow_name: bool = False) -> Address:
    """Parse `IP:port`.

    Args:
        text: the text.
        allow_name: whether a host name may take the place of the IP address.  The event
            loop can't look up names, which blocks; a command-line tool can.

    Raises:
        ValueError: the text has no IPv4 address, or no port from 1 to 65535.
    """
    host, sep, port = text.strip().rpartition(":")
    number = parse_count(port)
    if not sep or not host or number is None:
        raise ValueError(f"{text[:MAX_SHOWN_CHARS]!r} is not an IP address and a port")
    address = Address(host, number)
    check_address(address, allow_name)
    return address


def check_address(address: Address, allow_name: bool = False) -> None:
    """Check that it is possible to connect to an address.

    Raises:
        ValueError: it has no IPv4 address, or no port from 1 to 65535.
    """
    if not allow_name:
        parse_ip(address.host)
    if not 0 < address.port <= MAX_PORT:
        raise ValueError(f"port {address.port} is not from 1 to {MAX_PORT}")


# Entries name the same few addresses again and again.
@functools.lru_cache(maxsize=8192)
def parse_ip(text: str) -> ipaddress.IPv4Address:
    """Return the IPv4 address in a text.

    Raises:
        ValueError: the text is no IPv4 address.
    """
    return ipaddress.IPv4Address(text)


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
