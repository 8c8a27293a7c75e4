"""Draining instances: which ones get no new requests, and notices between hosts."""

from .instances import FIRST_PROBE_DELAY_S, DrainingInstances
from .messages import DrainNotice, DrainSource
from .notifier import DrainNoticeSender, DrainNotifier

__all__ = [
    "FIRST_PROBE_DELAY_S",
    "DrainNotice",
    "DrainNoticeSender",
    "DrainingInstances",
    "DrainNotifier",
    "DrainSource",
]
