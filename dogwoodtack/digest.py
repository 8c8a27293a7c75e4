"""Digests that show two nodes, cheaply, where their tables differ."""

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
    """Return the bucket an entry's key falls into."""
    return hash_entry(key) % BUCKETS


class BucketDigest:
    """The exclusive-or of its entries' hashes, for each bucket and for all.

    An entry is taken in and out by the same call, so an update costs the same
    however many entries there are.
    """

    def __init__(self) -> None:
        self._buckets = [0] * BUCKETS
        self._root = 0

    def toggle(self, bucket: int, value: int) -> None:
        """Take an entry's hash in, or out again."""
        self._buckets[bucket] ^= value
        self._root ^= value

    @property
    def root(self) -> str:
        """Return one text for the whole table."""
        return f"{self._root:x}"

    def buckets(self) -> list[str]:
        """Return one text for each bucket."""
        return [f"{value:x}" for value in self._buckets]

    def differing_buckets(self, others: list[str]) -> list[int]:
        """Return the buckets whose text is not the other table's."""
        mine = self.buckets()
        return [index for index in range(BUCKETS) if mine[index] != others[index]]
