"""Which keys this entry host owns, and what became of each."""

import enum
from collections.abc import Callable
from typing import NamedTuple

from ..clock import Clock
from ..errors import ErrorKind
from .messages import (
    KeyDecision,
    KeyRequest,
    KeyResult,
    KeyTicket,
    NotRun,
    Ran,
    Refuse,
    Replay,
    Run,
    StoredAnswer,
)

__all__ = ["KeyTable"]


class KeyState(enum.StrEnum):
    """What is known of a key."""

    IN_FLIGHT = "in-flight"
    RAN = "ran"
    UNKNOWN = "unknown"


class KeyEntry(NamedTuple):
    """One key's state."""

    state: KeyState
    fingerprint: str
    serial: int
    answer: StoredAnswer | None = None


class KeyTable:
    """Decide for keys that this incarnation owns."""

    def __init__(self, incarnation: str, clock: Clock) -> None:
        self.incarnation = incarnation
        self._clock = clock
        self._entries: dict[str, KeyEntry] = {}
        self._serial = 0

    @property
    def prefix(self) -> str:
        """Return what a caller's new keys begin with."""
        return f"{self.incarnation}/"

    def begin(
        self, req: KeyRequest, on_decision: Callable[[KeyDecision], None]
    ) -> None:
        """Decide whether a request may run."""
        on_decision(self._decide(req))

    def _decide(self, req: KeyRequest) -> KeyDecision:
        if not req.key.startswith(self.prefix):
            return Refuse(ErrorKind.OWNER_UNREACHABLE)
        entry = self._entries.get(req.key)
        if entry is None:
            return self._open(req)
        if entry.fingerprint != req.fingerprint:
            return Refuse(ErrorKind.KEY_REUSED)
        if entry.state is KeyState.IN_FLIGHT:
            return Refuse(ErrorKind.KEY_IN_FLIGHT)
        if entry.answer is not None:
            return Replay(entry.answer)
        return Refuse(ErrorKind.KEY_OUTCOME_LOST)

    def _open(self, req: KeyRequest) -> Run:
        self._serial += 1
        entry = KeyEntry(KeyState.IN_FLIGHT, req.fingerprint, self._serial)
        self._entries[req.key] = entry
        return Run(KeyTicket(req.key, self._serial))

    def finish(self, ticket: KeyTicket, result: KeyResult) -> None:
        """Note what became of a dispatched request."""
        entry = self._entries.get(ticket.key)
        if entry is None or entry.serial != ticket.serial:
            return
        if isinstance(result, NotRun):
            del self._entries[ticket.key]
            return
        answer = result.answer if isinstance(result, Ran) else None
        state = KeyState.RAN if isinstance(result, Ran) else KeyState.UNKNOWN
        self._entries[ticket.key] = entry._replace(state=state, answer=answer)
