"""What this node believes of each instance, from the outcomes of real requests."""

from typing import Any

from ..catalog import Service
from .messages import Sample, Verdict

__all__ = ["FULL_WEIGHT", "Health"]

FULL_WEIGHT = 1.0


class Health:
    """Weigh instances by the evidence."""

    def record(self, sample: Sample) -> None:
        """Take one attempt's outcome as evidence."""

    def verdicts(self, service: Service) -> list[Verdict]:
        """Return a verdict on each instance of a service, worst first."""
        return []

    def take_evidence(self, service: str) -> Any:
        """Return what was learned of a service since the last call, as JSON.

        None means there is nothing to pass on.
        """
        return None

    def absorb(self, service: str, evidence: Any) -> None:
        """Pool what another entry host's `take_evidence` returned."""

    def begin_probation(self, service: str, instance: str) -> None:
        """Forget the evidence against an instance that comes back on trial."""

    def weight(self, service: str, instance: str) -> float:
        """Return from 0 to 1 how much work an instance should get."""
        return FULL_WEIGHT
