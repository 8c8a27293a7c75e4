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
    SettleReply,
    SettleRequest,
    SettleSender,
    SettleStatus,
    StoredResponse,
    Unknown,
)
from .sender import PeerSettleSender
from .table import KeyRules, KeyTable
from .views import key_routes

__all__ = [
    "KeyDecision",
    "KeyRequest",
    "KeyResult",
    "KeyRules",
    "KeyTable",
    "KeyTicket",
    "NotRun",
    "PeerSettleSender",
    "Ran",
    "Refuse",
    "Replay",
    "Run",
    "SettleReply",
    "SettleRequest",
    "SettleSender",
    "SettleStatus",
    "StoredResponse",
    "Unknown",
    "key_routes",
]
