"""Detection of gray failures by comparing instances with their peers."""

from .evidence import Evidence
from .health import FULL_WEIGHT, Health
from .messages import Explanation, Sample, SampleKind, Signal, Verdict
from .monitor import OnVerdictChange
from .pool import find_unhealthy
from .probes import ProbeAssignment, probe_assignments
from .report import HealthReport
from .scores import score_threshold

__all__ = [
    "Evidence",
    "Explanation",
    "FULL_WEIGHT",
    "Health",
    "HealthReport",
    "OnVerdictChange",
    "ProbeAssignment",
    "Sample",
    "SampleKind",
    "Signal",
    "Verdict",
    "find_unhealthy",
    "probe_assignments",
    "score_threshold",
]
