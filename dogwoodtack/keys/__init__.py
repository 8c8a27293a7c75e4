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
from .wire import SETTLE_PATH, parse_ask, reply_form

__all__ = [
    "SETTLE_PATH",
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
    "parse_ask",
    "reply_form",
]
