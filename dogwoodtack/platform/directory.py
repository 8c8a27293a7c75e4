"""Encoding of the address and readiness queries of callers and the platform."""

import json
from urllib.parse import parse_qs, urlsplit

from ..entry import AddressQuery, DirectoryQuery, ReadinessQuery
from ..misc import Address

__all__ = ["parse_query", "encode_addresses"]

READY_PATH = "/dogwoodtack/ready"
RESOLVE_PATH = "/dogwoodtack/resolve"


def parse_query(method: str, target: str) -> DirectoryQuery | None:
    """Return the query of a request, or None for an unknown request."""
    parts = urlsplit(target)
    if method != "GET":
        return None
    if parts.path == READY_PATH:
        return ReadinessQuery()
    if parts.path == RESOLVE_PATH:
        query = parse_qs(parts.query)
        return AddressQuery(_first(query, "name"), _first(query, "zone"))
    return None


def _first(query: dict[str, list[str]], name: str) -> str:
    return query.get(name, [""])[0]


def encode_addresses(addresses: list[Address], ttl_s: float) -> bytes:
    """Return the response body for an address query.

    Args:
        addresses: the hosts' caller addresses.
        ttl_s: how long the caller may cache them, in seconds.
    """
    texts = [str(address) for address in addresses]
    return json.dumps({"addresses": texts, "ttlS": ttl_s}).encode()
