"""What makes two requests the same to the instances that run them."""

import hashlib
from collections.abc import Iterable

from ..backends import Header

__all__ = ["request_digest"]

DIGEST_BYTES = 12
# Headers that say what is asked for, and by whom.  Others, such as ids and deadlines,
# differ between repeats of one request.
IDENTIFYING_HEADERS = frozenset(
    {b"authorization", b"content-type", b"cookie", b"host", b"x-customer"}
)


def request_digest(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes | bytearray
) -> str:
    """Return a digest that repeats of a request share, and hardly any other request.

    Args:
        method: the method.
        target: path and query.
        headers: headers with names in lower case.
        body: the complete body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    identifying = sorted(pair for pair in headers if pair[0] in IDENTIFYING_HEADERS)
    parts = [method, target, *(part for pair in identifying for part in pair), body]
    for part in parts:
        # Lengths keep parts apart that would be equal when joined.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
