"""Memory of the requests and the responses that a host is receiving."""

from collections import Counter, OrderedDict
from typing import NamedTuple, Protocol

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
# For this long a caller that has sent a body is expected to send another one, and room
# is kept for it. A rejected one comes again after about a second.
CALLER_TTL_S = 10.0
# Bounds the memory of that, where each request has another caller.
MAX_CALLERS = 10_000
# While long bodies fill the memory, there is room beyond the limit, one part in so many
# of it, for callers whose bodies together are small: 470 kB where the limit is 60 MB.
RESERVE_SHARE = 16
SMALL_CALLER_SHARE = 128
MB = 1_000_000


def request_buffer_bytes(memory_mb: float) -> int:
    """Return how many bytes of bodies a process with so much memory may hold."""
    share_mb = (memory_mb - OTHER_MEMORY_MB) * REQUEST_SHARE
    return int(max(MIN_REQUEST_MB, share_mb) * MB)


class _Reservation(NamedTuple):
    """Room of one body.

    Attributes:
        caller: whose share it counts against.
        size: bytes.
        is_beyond: whether it is beyond the limit, in the room for small bodies.
    """

    caller: str
    size: int
    is_beyond: bool


class RequestBuffers:
    """Bound the memory of all request bodies together.

    Load pattern: several callers send bodies as long as is allowed, which together
    exceed the memory of the host.  A request whose body has no room is rejected before
    it is read, so that it has not run; the others are not affected.  A single body is
    always accepted.

    A single caller may send several such bodies, and then no other one would get
    anything.  So while there are other callers, one may hold at most as much as is left
    free ("dynamic threshold", Choudhury and Hahne 1998): the first one gets half, and n
    of them get 1 / (n + 1) each, which leaves as much for one that comes later.  Below
    half of an equal share a caller is not bound, as one that came first may hold more
    until its bodies are sent on.  A caller's only body needs no share, as it could
    never be sent otherwise.

    Args:
        limit_bytes: most bytes of all bodies together.

    Attributes:
        bounds_callers: whether callers have shares, too.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.bounds_callers = False
        self._reservations: dict[object, _Reservation] = {}
        self._held: Counter[str] = Counter()
        self._total_bytes = 0
        self._beyond_bytes = 0
        # When each caller has last sent a part of a body, the latest one last.
        self._callers: OrderedDict[str, float] = OrderedDict()

    @property
    def total_bytes(self) -> int:
        """Return the size of all bodies, as far as it is known."""
        return self._total_bytes

    @property
    def callers(self) -> int:
        """Return how many callers have bodies here."""
        return len(self._held)

    def reserve(
        self, owner: object, size: int, caller: str = "", now: float = 0.0
    ) -> bool:
        """Reserve room for an owner's body and return whether there is enough.

        Args:
            owner: the request.
            size: the size of its body, or how much of it has been received.
            caller: who sends it; the first one that is named for an owner holds.
            now: seconds on the monotonic clock.
        """
        known = self._reservations.get(owner) or _Reservation(caller, 0, False)
        caller = known.caller
        size = max(size, known.size)
        self._note_caller(caller, now)
        others = self._total_bytes - known.size
        held = self._held[caller] - known.size
        has_room = not others or (
            others + size <= self._limit_bytes and self._is_in_share(held, size, others)
        )
        if not has_room and not self._fits_beyond(held, size, known):
            return False
        self.release(owner)
        self._add(owner, _Reservation(caller, size, not has_room))
        return True

    def _note_caller(self, caller: str, now: float) -> None:
        self._callers[caller] = now
        self._callers.move_to_end(caller)
        while (
            now - next(iter(self._callers.values())) > CALLER_TTL_S
            or len(self._callers) > MAX_CALLERS
        ):
            self._callers.popitem(last=False)

    def _has_shares(self) -> bool:
        """Return whether a caller has to leave room for others."""
        return self.bounds_callers and len(self._callers) > 1

    def _is_in_share(self, held: int, size: int, others: int) -> bool:
        """Return whether a caller may hold so many bytes more.

        Args:
            held: bytes of the caller's other bodies.
            size: bytes of the new one.
            others: bytes of all bodies apart from the new one.
        """
        if not held or not self._has_shares():
            return True
        left = self._limit_bytes - others - size
        half_share = self._limit_bytes // (2 * len(self._held) + 1)
        return held + size <= max(left, half_share)

    def _fits_beyond(self, held: int, size: int, known: _Reservation) -> bool:
        """Return whether a small caller's body has room beyond the limit."""
        if not self._has_shares():
            return False
        beyond = self._beyond_bytes - (known.size if known.is_beyond else 0)
        return (
            held + size <= self._limit_bytes // SMALL_CALLER_SHARE
            and beyond + size <= self._limit_bytes // RESERVE_SHARE
        )

    def _add(self, owner: object, reservation: _Reservation) -> None:
        self._reservations[owner] = reservation
        self._held[reservation.caller] += reservation.size
        self._total_bytes += reservation.size
        if reservation.is_beyond:
            self._beyond_bytes += reservation.size

    def release(self, owner: object) -> None:
        """Free the room of an owner's body."""
        reservation = self._reservations.pop(owner, None)
        if reservation is None:
            return
        self._total_bytes -= reservation.size
        if reservation.is_beyond:
            self._beyond_bytes -= reservation.size
        self._held[reservation.caller] -= reservation.size
        if not self._held[reservation.caller]:
            del self._held[reservation.caller]

    def describe(self, caller: str) -> str:
        """Return, for operators, how much a caller and all others hold."""
        return (
            f"{caller} holds {self._held.get(caller, 0)} of {self._total_bytes} B,"
            f" callers {len(self._callers)}, limit {self._limit_bytes} B"
        )


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
