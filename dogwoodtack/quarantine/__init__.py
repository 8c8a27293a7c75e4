"""Requests that crash the instances that run them, and how they are held back."""

from .digest import request_digest
from .messages import (
    Crash,
    CrashReport,
    crash_record_from_json,
    crash_record_to_json,
    crash_reports_from_json,
    crash_reports_to_json,
)
from .quarantine import Quarantine

__all__ = [
    "Crash",
    "CrashReport",
    "Quarantine",
    "crash_record_from_json",
    "crash_record_to_json",
    "crash_reports_from_json",
    "crash_reports_to_json",
    "request_digest",
]
