"""Detection of gray failures."""

from .evidence import Evidence
from .health import FULL_WEIGHT, Health
from .messages import Explanation, Sample, SampleKind, Signal, Verdict
from .pool import judge
from .probes import ProbeDuty, probe_duties
from .report import HealthReport
from .scores import threshold
from .watch import OnChange

__all__ = [
    "Evidence",
    "Explanation",
    "FULL_WEIGHT",
    "Health",
    "HealthReport",
    "OnChange",
    "ProbeDuty",
    "Sample",
    "SampleKind",
    "Signal",
    "Verdict",
    "judge",
    "probe_duties",
    "threshold",
]
