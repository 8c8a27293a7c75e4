"""Health of instances from this host's own requests, its peers' and zone reports."""

import copy
from collections.abc import Iterable

from .health_estimate import HealthEstimate, Observation
from .instances import Instance

__all__ = ["PATH_FAILURES", "HealthTracker"]

# A network path seldom fails for one host while others reach the instance.
PATH_PRIOR = 0.02
PATH_OBSERVATIONS = frozenset(
    {
        Observation.NO_RESPONSE,
        Observation.UNREACHABLE,
        Observation.BROKEN_RESPONSE,
        Observation.SUCCESS,
    }
)
# A host makes these observations also if its own network paths have failed.
PATH_FAILURES = PATH_OBSERVATIONS - {Observation.SUCCESS}
# A peer may make these observations because its own network path failed.
PATH_DEPENDENT_OBSERVATIONS = frozenset(
    {Observation.NO_RESPONSE, Observation.UNREACHABLE}
)
# How long another zone's report about its instances is used.
ZONE_REPORT_TTL_S = 1.0


class HealthTracker:
    """Health estimates of each instance and of this host's network path to it."""

    def __init__(self) -> None:
        self._estimates: dict[str, HealthEstimate] = {}
        self._path_estimates: dict[str, HealthEstimate] = {}
        # Unhealthy probability and time of receipt, by instance.
        self._zone_reports: dict[str, tuple[float, float]] = {}
        self._replaced: dict[str, Instance] = {}

    def estimate_for(self, instance_id: str, now: float) -> HealthEstimate:
        """Return the estimate of an instance, without the path to it."""
        if instance_id not in self._estimates:
            self._estimates[instance_id] = HealthEstimate(now)
        return self._estimates[instance_id]

    def unhealthy_probability(self, instance_id: str, now: float) -> float:
        """Return the probability that an instance or the path to it is unhealthy.

        A fresh report of the instance's zone replaces an older estimate.
        """
        estimate = self.estimate_for(instance_id, now)
        zone_report = self._zone_reports.get(instance_id)
        if (
            zone_report is not None
            and now - zone_report[1] <= ZONE_REPORT_TTL_S
            and estimate.seen_at < zone_report[1]
        ):
            healthy_probability = 1.0 - zone_report[0]
        else:
            healthy_probability = 1.0 - estimate.unhealthy_probability(now)
        path = self._path_estimates.get(instance_id)
        return 1.0 - healthy_probability * (
            1.0 - (path.unhealthy_probability(now) if path else PATH_PRIOR)
        )

    def has_failed(self, instance_id: str, now: float) -> bool:
        """Return whether the last observation of an instance, or its path, failed."""
        path = self._path_estimates.get(instance_id)
        is_path_lost = path is not None and path.last_failed
        return is_path_lost or self.estimate_for(instance_id, now).last_failed

    def observe(
        self,
        instance_id: str,
        observation: Observation,
        now: float,
        is_path_suspect: bool = False,
    ) -> float:
        """Record an observation of this host and return the new probability.

        Args:
            instance_id: the instance.
            observation: what an attempt showed.
            now: seconds on the monotonic clock.
            is_path_suspect: whether failures may be due to this host's paths; they then
                count against the path alone.
        """
        if observation in PATH_OBSERVATIONS:
            path = self._path_estimates.setdefault(
                instance_id, HealthEstimate(now, PATH_PRIOR)
            )
            path.observe(observation, now)
        if not (is_path_suspect and observation in PATH_FAILURES):
            self.estimate_for(instance_id, now).observe(observation, now)
        return self.unhealthy_probability(instance_id, now)

    def forget_paths(self) -> None:
        """Drop the estimates of this host's paths, which work again."""
        self._path_estimates.clear()

    def add_peer_report(
        self, instance_id: str, observation: Observation, now: float
    ) -> None:
        """Record a peer's observation, which says nothing about this host's path."""
        observation = (
            Observation.PEER_REPORT
            if observation in PATH_DEPENDENT_OBSERVATIONS
            else observation
        )
        self.estimate_for(instance_id, now).observe(observation, now)

    def add_zone_report(self, percentages: dict[str, int], now: float) -> None:
        """Record a zone's report about its instances.

        Args:
            percentages: unhealthy probability in percent, by instance.
            now: seconds on the monotonic clock.
        """
        for instance_id, percent in percentages.items():
            self._zone_reports[instance_id] = (percent / 100, now)

    def record_replaced(self, instance: Instance) -> None:
        """Record that another instance answers at an instance's address.

        The instance is gone, though the store may take some heartbeats to show it.
        A changed entry for it, such as a new address, makes it usable again.
        """
        self._replaced[instance.id] = instance

    def is_replaced(self, instance: Instance) -> bool:
        """Return whether another instance is known to answer at its address."""
        return self._replaced.get(instance.id) == instance

    def unhealthy_percentages(self, names: Iterable[str], now: float) -> dict[str, int]:
        """Return the unhealthy probability of some instances, in percent."""
        return {
            name: round(100 * self.estimate_for(name, now).unhealthy_probability(now))
            for name in names
        }

    def snapshot(self) -> "HealthTracker":
        """Return a copy for reading: a look at an unknown instance is not kept here."""
        copied = copy.copy(self)
        copied._estimates = dict(self._estimates)
        return copied

    def forget(self, gone: Iterable[str]) -> None:
        """Drop all records of instances that are gone."""
        for instance_id in gone:
            self._estimates.pop(instance_id, None)
            self._path_estimates.pop(instance_id, None)
            self._zone_reports.pop(instance_id, None)
            self._replaced.pop(instance_id, None)
