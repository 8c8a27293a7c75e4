"""The keys that a process remembers, bounded by number and by bytes of responses."""

import enum
from collections import deque
from typing import NamedTuple

from .messages import StoredResponse

__all__ = ["KeyEntry", "KeyMemory", "KeyState"]

HEADER_OVERHEAD_BYTES = 100
FORGET_BATCH_KEYS = 64


class KeyState(enum.StrEnum):
    """The state of a key on this host.

    FREE: this host has the right to run the key and has not used it.  ABSENT: this host
    does not have the right.  REQUESTING: it is requesting the right from another host.
    """

    FREE = "free"
    IN_FLIGHT = "in-flight"
    RAN = "ran"
    UNKNOWN = "unknown"
    ABSENT = "absent"
    REQUESTING = "asking"


class KeyEntry(NamedTuple):
    """One key's state.

    Attributes:
        state: the state of the key on this host.
        request_digest: a digest of the request that the key was used for.
        serial: the number of the latest dispatch under the key.
        response: the stored response of a request that ran.
        successor: the incarnation that this host handed the key to, empty if none.
        granted_token: the token of the settle request that was granted the key.
        request_token: the token of this host's own settle requests for the key.
        epoch: the epoch with which the entry is forgotten.
    """

    state: KeyState
    request_digest: bytes
    epoch: int
    serial: int = 0
    response: StoredResponse | None = None
    successor: str = ""
    granted_token: str = ""
    request_token: str = ""


def _size_bytes(response: StoredResponse) -> int:
    """Return the approximate size of a response in bytes."""
    headers = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES
        for name, value in response.headers
    )
    return len(response.body) + headers


class KeyMemory:
    """The entries by key; entries are forgotten by whole epochs.

    Attributes:
        response_bytes: approximate bytes of the stored responses.
        responses_dropped: how many stored responses were dropped for lack of space.
    """

    def __init__(self, max_keys: int, max_response_bytes: int) -> None:
        self._max_keys = max_keys
        self._max_response_bytes = max_response_bytes
        self._entries: dict[str, KeyEntry] = {}
        self._epochs: dict[int, deque[str]] = {}
        self._keys_with_response: deque[str] = deque()
        self.response_bytes = 0
        self.responses_dropped = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def is_full(self) -> bool:
        """Return whether no further key fits."""
        return len(self._entries) >= self._max_keys

    def get(self, key: str) -> KeyEntry | None:
        """Return a key's entry, or None."""
        return self._entries.get(key)

    def add(self, key: str, entry: KeyEntry) -> None:
        """Add a new key, which is remembered until its epoch is forgotten."""
        self._entries[key] = entry
        self._epochs.setdefault(entry.epoch, deque()).append(key)

    def remove(self, key: str) -> None:
        """Forget a key now; safe only where this host never had the right to run it."""
        self._uncount_response(key)
        del self._entries[key]

    def replace(self, key: str, entry: KeyEntry) -> None:
        """Replace the entry of a key that is remembered."""
        self._uncount_response(key)
        self._entries[key] = entry
        if entry.response is None:
            return
        self._keys_with_response.append(key)
        self.response_bytes += _size_bytes(entry.response)
        self._drop_responses()

    def forget_before(self, epoch: int) -> None:
        """Forget keys of epochs before this one, at most FORGET_BATCH_KEYS per call.

        Forgetting a whole epoch at once would block the event loop; remembering a key
        for longer is harmless.
        """
        left = FORGET_BATCH_KEYS
        for old in [known for known in self._epochs if known < epoch]:
            keys = self._epochs[old]
            while keys and left > 0:
                self._forget(keys.popleft(), old)
                left -= 1
            if not keys:
                del self._epochs[old]
        while (
            self._keys_with_response
            and self._keys_with_response[0] not in self._entries
        ):
            self._keys_with_response.popleft()

    def _forget(self, key: str, epoch: int) -> None:
        entry = self._entries.get(key)
        if entry is not None and entry.epoch == epoch:
            self.remove(key)

    def _uncount_response(self, key: str) -> None:
        response = self._entries[key].response
        if response is not None:
            self.response_bytes -= _size_bytes(response)

    def _drop_responses(self) -> None:
        """Drop the oldest responses over the limit of bytes, but never a key."""
        while self.response_bytes > self._max_response_bytes:
            key = self._keys_with_response.popleft()
            entry = self._entries.get(key)
            if entry is None or entry.response is None:
                continue
            self._uncount_response(key)
            self._entries[key] = entry._replace(response=None)
            self.responses_dropped += 1
