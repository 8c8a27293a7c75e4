"""The key that a request's headers carry, as a digest."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from ..backends import Header

__all__ = ["Credentials", "canonical_name", "parse_credentials"]

# The standard name (RFC 9110); platforms may use another one.
AUTHORIZATION = b"authorization"
SCHEME = b"bearer"
# Longer ones are no keys, also in the configuration, and need not be hashed.
MAX_KEY_BYTES = 8191


class Credentials(NamedTuple):
    """What a request says of its sender. The key itself is kept nowhere.

    Attributes:
        key_digest: SHA-256 digest of the key in hexadecimal form, empty if no key can
            be read.
        problem: why none can be read, empty if one can; it quotes nothing.
        is_ambiguous: whether there are several Authorization headers.
    """

    key_digest: str = ""
    problem: str = ""
    is_ambiguous: bool = False


def canonical_name(name: bytes) -> bytes:
    """Return a header's name in the form in which names are compared.

    Instances may take an underscore for a dash and ignore case and surrounding spaces,
    so a caller could set a header that the host sets in another spelling.
    """
    return name.strip(b" \t").lower().replace(b"_", b"-")


def parse_credentials(
    headers: Iterable[Header], name: bytes = AUTHORIZATION
) -> Credentials:
    """Return the credentials of a request.

    Args:
        headers: the request's headers.
        name: canonical name of the header that carries the key.
    """
    values = [value for key, value in headers if canonical_name(key) == name]
    if not values:
        return Credentials(problem="no key")
    if len(values) > 1:
        return Credentials(problem="several keys", is_ambiguous=True)
    scheme, _, rest = values[0].strip(b" \t").partition(b" ")
    key = rest.strip(b" \t")
    problem = _key_problem(scheme, key)
    if problem:
        return Credentials(problem=problem)
    return Credentials(hashlib.sha256(key).hexdigest())


def _key_problem(scheme: bytes, key: bytes) -> str:
    """Return why a key is none, or an empty string."""
    if scheme.lower() != SCHEME:
        return "another scheme than Bearer"
    if not key:
        return "empty key"
    if len(key) > MAX_KEY_BYTES:
        return f"key over {MAX_KEY_BYTES} B"
    try:
        key.decode()
    except UnicodeDecodeError:
        return "key is not text"
    return ""
