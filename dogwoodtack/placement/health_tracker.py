"""What a host believes of instances: from its own outcomes, its peers' and others'."""

from collections.abc import Iterable

from .health_estimate import HealthEstimate, Observation
from .instances import Instance

__all__ = ["HealthTracker"]

# A host's way to an instance is seldom cut while others reach the instance.
PATH_PRIOR = 0.02
PATH_SIGNS = frozenset(
    {
        Observation.NO_RESPONSE,
        Observation.UNREACHABLE,
        Observation.BROKEN_RESPONSE,
        Observation.SUCCESS,
    }
)
RUMOURS = frozenset({Observation.NO_RESPONSE, Observation.UNREACHABLE})
# Another zone's word about its instances is believed this long.
TOLD_S = 1.0


class HealthTracker:
    """Keep the evidence on each instance, and on this host's way to it."""

    def __init__(self) -> None:
        self._evidence: dict[str, HealthEstimate] = {}
        self._paths: dict[str, HealthEstimate] = {}
        self._told: dict[str, tuple[float, float]] = {}
        self._replaced: dict[str, Instance] = {}

    def estimate_for(self, instance_id: str, now: float) -> HealthEstimate:
        """Return the evidence on an instance."""
        if instance_id not in self._evidence:
            self._evidence[instance_id] = HealthEstimate(now)
        return self._evidence[instance_id]

    def unhealthy_probability(self, instance_id: str, now: float) -> float:
        """Return how likely an instance fails this host: itself or the way to it."""
        belief = self.estimate_for(instance_id, now)
        zone_report = self._told.get(instance_id)
        if (
            zone_report is not None
            and now - zone_report[1] <= TOLD_S
            and belief.seen_at < zone_report[1]
        ):
            sound = 1.0 - zone_report[0]
        else:
            sound = 1.0 - belief.unhealthy_probability(now)
        path = self._paths.get(instance_id)
        return 1.0 - sound * (
            1.0 - (path.unhealthy_probability(now) if path else PATH_PRIOR)
        )

    def observe(self, instance_id: str, sign: Observation, now: float) -> float:
        """Take in an outcome of this host's and return the belief."""
        if sign in PATH_SIGNS:
            path = self._paths.setdefault(instance_id, HealthEstimate(now, PATH_PRIOR))
            path.observe(sign, now)
        self.estimate_for(instance_id, now).observe(sign, now)
        return self.unhealthy_probability(instance_id, now)

    def add_peer_report(self, instance_id: str, sign: Observation, now: float) -> None:
        """Take in an outcome of a peer's; it tells nothing of this host's way."""
        sign = Observation.PEER_REPORT if sign in RUMOURS else sign
        self.estimate_for(instance_id, now).observe(sign, now)

    def add_zone_report(
        self, unhealthy_probability: dict[str, int], now: float
    ) -> None:
        """Take another zone's word: in percent how likely its instances are sick."""
        for instance_id, percent in unhealthy_probability.items():
            self._told[instance_id] = (percent / 100, now)

    def record_replaced(self, instance: Instance) -> None:
        """Note that another instance answers at an instance's address.

        It is gone, though the store may take some heartbeats to say so; another word
        about it, such as a new address, brings it back.
        """
        self._replaced[instance.id] = instance

    def is_replaced(self, instance: Instance) -> bool:
        """Return whether another instance answers at an instance's address."""
        return self._replaced.get(instance.id) == instance

    def unhealthy_percentages(self, names: Iterable[str], now: float) -> dict[str, int]:
        """Return in percent how likely each of some instances is sick."""
        return {
            name: round(100 * self.estimate_for(name, now).unhealthy_probability(now))
            for name in names
        }

    def forget(self, gone: Iterable[str]) -> None:
        """Drop what was believed of instances that are gone."""
        for instance_id in gone:
            self._evidence.pop(instance_id, None)
            self._paths.pop(instance_id, None)
            self._told.pop(instance_id, None)
            self._replaced.pop(instance_id, None)
