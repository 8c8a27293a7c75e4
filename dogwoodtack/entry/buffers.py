"""Memory of the requests and the responses that a host is receiving."""

from typing import Protocol

__all__ = [
    "BufferOwner",
    "RequestBuffers",
    "ResponseBody",
    "ResponseBuffers",
    "request_buffer_bytes",
]

# Small hosts have 200 MB in all, and a response is copied once when it is complete.
MAX_BUFFERED_BYTES = 24 * 1024 * 1024
BLOCK_BYTES = 65536
# Memory of a host at rest, and of its responses with a copy of a complete one.
OTHER_MEMORY_MB = 110
# A body that grows has a margin, and the system holds some of it in socket buffers.
REQUEST_SHARE = 0.7
# Short bodies always have room, also where the memory is small.
MIN_REQUEST_MB = 16
MB = 1_000_000


def request_buffer_bytes(memory_mb: float) -> int:
    """Return how many bytes of bodies a process with so much memory may hold."""
    share_mb = (memory_mb - OTHER_MEMORY_MB) * REQUEST_SHARE
    return int(max(MIN_REQUEST_MB, share_mb) * MB)


class RequestBuffers:
    """Bound the memory of all request bodies together.

    Load pattern: several callers send bodies as long as is allowed, which together
    exceed the memory of the host.  A request whose body has no room is rejected before
    it is read, so that it has not run; the others are not affected.  A single body is
    always accepted.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._sizes: dict[object, int] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Return the size of all bodies, as far as it is known."""
        return self._total_bytes

    def reserve(self, owner: object, size: int) -> bool:
        """Reserve room for an owner's body and return whether there is enough.

        Args:
            owner: the request.
            size: the size of its body, or how much of it has been received.
        """
        known = self._sizes.get(owner, 0)
        others = self._total_bytes - known
        if others and others + size > self._limit_bytes:
            return False
        self._sizes[owner] = max(size, known)
        self._total_bytes = others + max(size, known)
        return True

    def release(self, owner: object) -> None:
        """Free the room of an owner's body."""
        self._total_bytes -= self._sizes.pop(owner, 0)


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
