"""Digests of organisations' keys."""

import hashlib

__all__ = ["digest_key"]


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal form.

    Keys are compared by digest, so that neither memory nor messages between hosts have
    a key in plain text.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
