"""Burn rates of the services' error budgets, by what their callers received."""

from .burn import WINDOWS_S, BurnTracker, burn_rate
from .messages import BurnPoint, BurnReport, BurnRow, Objective, RequestResult, is_bad
from .plot import PlotUnavailable, draw_report
from .report import format_report, merge_reports

__all__ = [
    "WINDOWS_S",
    "BurnTracker",
    "BurnPoint",
    "BurnReport",
    "BurnRow",
    "Objective",
    "PlotUnavailable",
    "RequestResult",
    "burn_rate",
    "draw_report",
    "format_report",
    "is_bad",
    "merge_reports",
]
