"""Operators' intents, and the plans they confirm before a change takes effect."""

from .draft import ENTRY_HOST_KIND, SERVICE_KIND
from .intents import Intents
from .messages import Intent, IntentKind, Plan, PlanStep, Receipt

__all__ = [
    "ENTRY_HOST_KIND",
    "SERVICE_KIND",
    "Intent",
    "IntentKind",
    "Intents",
    "Plan",
    "PlanStep",
    "Receipt",
]
