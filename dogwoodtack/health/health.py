"""What this node believes of each instance, from the outcomes of real requests."""

from .messages import Sample

__all__ = ["FULL_WEIGHT", "Health"]

FULL_WEIGHT = 1.0


class Health:
    """Weigh instances by the evidence."""

    def record(self, sample: Sample) -> None:
        """Take one attempt's outcome as evidence."""

    def weight(self, service: str, instance: str) -> float:
        """Return from 0 to 1 how much work an instance should get."""
        return FULL_WEIGHT
