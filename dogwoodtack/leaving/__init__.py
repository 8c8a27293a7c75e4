"""Leaving back ends."""

from .courier import HintSender, LeavingCourier
from .leaving import HOLD_S, Leaving
from .messages import Hint, LeavingSource

__all__ = [
    "HOLD_S",
    "Hint",
    "HintSender",
    "Leaving",
    "LeavingCourier",
    "LeavingSource",
]
