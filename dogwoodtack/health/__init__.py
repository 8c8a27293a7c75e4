"""Detection of gray failures."""

from .health import FULL_WEIGHT, Health
from .messages import Sample, SampleKind, Verdict

__all__ = ["FULL_WEIGHT", "Health", "Sample", "SampleKind", "Verdict"]
