"""Service-level burn: what callers met against what was promised."""

from .burn import WINDOWS_S, Burn, burn_rate
from .messages import BurnPoint, BurnReport, BurnRow, Objective, Served, is_bad
from .plot import PlotUnavailable, draw_report
from .report import join_reports, report_text

__all__ = [
    "WINDOWS_S",
    "Burn",
    "BurnPoint",
    "BurnReport",
    "BurnRow",
    "Objective",
    "PlotUnavailable",
    "Served",
    "burn_rate",
    "draw_report",
    "is_bad",
    "join_reports",
    "report_text",
]
