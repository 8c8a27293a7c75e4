"""Leaving back ends."""

from .instances import HOLD_S, Leaving
from .messages import Hint, LeavingSource
from .notifier import HintSender, LeavingCourier

__all__ = [
    "HOLD_S",
    "Hint",
    "HintSender",
    "Leaving",
    "LeavingCourier",
    "LeavingSource",
]
