"""The calls that callers and the platform make: addresses and readiness."""

import json
from urllib.parse import parse_qs, urlsplit

from ..entry import AddressQuery, DirectoryQuery, ReadinessQuery
from ..misc import Address

__all__ = ["parse_query", "encode_addresses"]

READY_PATH = "/dogwoodtack/ready"
RESOLVE_PATH = "/dogwoodtack/resolve"


def parse_query(method: str, target: str) -> DirectoryQuery | None:
    """Return what a call asks, or None for a call that is not known."""
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
    """Return the body of an answer with addresses and how long they hold."""
    texts = [str(address) for address in addresses]
    return json.dumps({"addresses": texts, "ttlS": ttl_s}).encode()
