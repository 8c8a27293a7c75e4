"""Digests for anti-entropy: they show cheaply in which buckets two tables differ."""

import hashlib

__all__ = ["BUCKETS", "BucketDigest", "bucket_for", "hash_entry"]

BUCKETS = 256
HASH_BYTES = 8


def hash_entry(*parts: object) -> int:
    """Return a 64-bit hash of an entry's key and version."""
    text = "\0".join(str(part) for part in parts).encode()
    digest = hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def bucket_for(key: str) -> int:
    """Return the bucket that an entry's key belongs to."""
    return hash_entry(key) % BUCKETS


class BucketDigest:
    """XOR of the entries' hashes, per bucket and over the whole table.

    The same operation adds and removes an entry, so an update takes constant
    time whatever the number of entries.
    """

    def __init__(self) -> None:
        self._buckets = [0] * BUCKETS
        self._root = 0

    def toggle(self, bucket: int, value: int) -> None:
        """Add an entry's hash, or remove it if it was added before."""
        self._buckets[bucket] ^= value
        self._root ^= value

    @property
    def root(self) -> str:
        """Return the digest of the whole table in hexadecimal."""
        return f"{self._root:x}"

    def buckets(self) -> list[str]:
        """Return the digest of each bucket in hexadecimal."""
        return [f"{value:x}" for value in self._buckets]

    def differing_buckets(self, others: list[str]) -> list[int]:
        """Return the buckets whose digest differs from the other table's."""
        own = self.buckets()
        return [index for index in range(BUCKETS) if own[index] != others[index]]
