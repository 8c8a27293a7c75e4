"""Memory of the responses that a host is receiving."""

from typing import Protocol

__all__ = ["BufferOwner", "ResponseBody", "ResponseBuffers"]

# Small hosts have 200 MB in all, and a response is copied once when it is complete.
MAX_BUFFERED_BYTES = 24 * 1024 * 1024
BLOCK_BYTES = 65536


class ResponseBody:
    """A body that is received in pieces of any size.

    Load pattern: many bodies grow at the same time. Blocks of similar size reuse each
    other's memory; contiguous buffers move as they grow and leave gaps behind.
    """

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []

    def append(self, data: bytes) -> None:
        """Add a piece at the end."""
        if not self._blocks or len(self._blocks[-1]) >= BLOCK_BYTES:
            self._blocks.append(bytearray())
        self._blocks[-1] += data

    def clear(self) -> None:
        """Free the memory of the body."""
        self._blocks = []

    def __bytes__(self) -> bytes:
        """Return the body as a copy."""
        return b"".join(self._blocks)


class BufferOwner(Protocol):
    """Receives a response."""

    def on_buffer_exceeded(self) -> None:
        """Drop the response, as it uses the most memory of all."""


class ResponseBuffers:
    """Bound the memory of all responses together.

    Load pattern: ill instances send bodies without end to several requests at once.
    The largest response is dropped; the others are hardly affected.
    """

    def __init__(self, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._sizes: dict[BufferOwner, int] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Return the size of all responses."""
        return self._total_bytes

    def grow(self, owner: BufferOwner, size: int) -> None:
        """Add a number of bytes to an owner's response, within the limit."""
        self._sizes[owner] = self._sizes.get(owner, 0) + size
        self._total_bytes += size
        if self._total_bytes > self._limit_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.remove(largest)
            largest.on_buffer_exceeded()

    def remove(self, owner: BufferOwner) -> None:
        """Stop counting an owner's response, which is complete or was dropped."""
        self._total_bytes -= self._sizes.pop(owner, 0)
