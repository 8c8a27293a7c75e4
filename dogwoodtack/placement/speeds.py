"""Speeds of instances, learned from the times that their responses take.

Load that this answers: instances of a service differ in speed, and some are slow for a
while after their start.  A slow one holds each of its slots for longer, so that its
slots are worth less.
"""

from typing import NamedTuple

__all__ = ["Speeds"]

# Means over about 30 responses to a kind of request, and 7 of an instance, as a warming
# instance becomes faster within seconds.
KIND_EWMA_WEIGHT = 0.03
INSTANCE_EWMA_WEIGHT = 0.15
# With fewer responses the time of single requests decides.
MIN_RESPONSES = 5
# Beyond these an instance is stuck rather than slow, or the kind of request is mixed.
MIN_SLOWNESS = 0.7
MAX_SLOWNESS = 3.0


class InstanceSpeed(NamedTuple):
    """What is known of one instance.

    Attributes:
        ratio: its times divided by the usual ones of the same kind of request.
        responses: how many responses that rests on.
    """

    ratio: float = 1.0
    responses: int = 0


class Speeds:
    """Learned speeds of instances."""

    def __init__(self) -> None:
        # Mean time of a kind of request, in seconds, by service and kind.
        self._means_s: dict[tuple[str, str], float] = {}
        self._instances: dict[str, InstanceSpeed] = {}

    def record(self, service: str, kind: str, instance_id: str, seconds: float) -> None:
        """Record how long an instance took for one request.

        Args:
            service: its service.
            kind: what the time usually depends on, such as the request's route.
            instance_id: the instance.
            seconds: time from the start of the attempt to its complete response.
        """
        mean_s = self._means_s.get((service, kind), seconds)
        self._means_s[service, kind] = mean_s + KIND_EWMA_WEIGHT * (seconds - mean_s)
        if mean_s <= 0.0:
            return
        known = self._instances.get(instance_id, InstanceSpeed())
        # One long response says no more than that the instance is at the limit.
        ratio = min(seconds / mean_s, 2.0 * MAX_SLOWNESS)
        weight = max(INSTANCE_EWMA_WEIGHT, 1.0 / (known.responses + 1))
        self._instances[instance_id] = InstanceSpeed(
            known.ratio + weight * (ratio - known.ratio), known.responses + 1
        )

    def slowness(self, instance_id: str) -> float:
        """Return how much longer an instance takes than usual, 1.0 if unknown."""
        known = self._instances.get(instance_id, InstanceSpeed())
        if known.responses < MIN_RESPONSES:
            return 1.0
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, known.ratio))

    def forget(self, instance_id: str) -> None:
        """Drop what is known of an instance that is gone."""
        self._instances.pop(instance_id, None)
