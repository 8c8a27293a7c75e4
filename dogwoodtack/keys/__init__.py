"""Idempotency keys: a non-idempotent request runs at most once."""

from .asker import PeerAsker
from .messages import (
    Asker,
    KeyDecision,
    KeyRequest,
    KeyResult,
    KeyTicket,
    NotRun,
    Ran,
    Refuse,
    Replay,
    Run,
    SettleAsk,
    SettleReply,
    SettleWord,
    StoredAnswer,
    Unknown,
)
from .table import KeyRules, KeyTable
from .views import key_routes

__all__ = [
    "Asker",
    "KeyDecision",
    "KeyRequest",
    "KeyResult",
    "KeyRules",
    "KeyTable",
    "KeyTicket",
    "NotRun",
    "PeerAsker",
    "Ran",
    "Refuse",
    "Replay",
    "Run",
    "SettleAsk",
    "SettleReply",
    "SettleWord",
    "StoredAnswer",
    "Unknown",
    "key_routes",
]
