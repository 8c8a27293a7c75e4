"""Idempotency keys: a non-idempotent request runs at most once."""

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
    Unknown,
)
from .table import KeyTable

__all__ = [
    "KeyDecision",
    "KeyRequest",
    "KeyResult",
    "KeyTable",
    "KeyTicket",
    "NotRun",
    "Ran",
    "Refuse",
    "Replay",
    "Run",
    "StoredAnswer",
    "Unknown",
]
