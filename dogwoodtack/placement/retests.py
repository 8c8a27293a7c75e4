"""When a service with even load tests an instance again that has failed.

Load pattern: hardly any request of the service is idempotent, so that only requests
which may run once show whether an instance has recovered.  While many requests fail,
the sound instances are overrun, and each one that recovers is needed at once.
"""

import math

from .balancing import InstanceUse
from .health_estimate import Observation

__all__ = ["CALM_INTERVAL_S", "FailureShares", "is_retest_due"]

# Failures last for 4 to 5 s, so that an earlier test mostly fails.
CALM_INTERVAL_S = 4.0
# An instance that has failed one request counts as sound again after 2 s.  It then has
# to get requests if more than a tenth of the service's requests are not served.
TROUBLED_INTERVAL_S = 1.8
TROUBLED_SHARE = 0.08
# Time constant of the counts, and how many are needed to tell.
DECAY_S = 1.0
MIN_OUTCOMES = 10.0
FAILURES = frozenset(
    {Observation.ERROR, Observation.NO_RESPONSE, Observation.BROKEN_RESPONSE}
)


class FailureShares:
    """The share of each service's recent requests that failed."""

    def __init__(self) -> None:
        # Requests, failed requests and the time of the last one, by service.
        self._counts: dict[str, tuple[float, float, float]] = {}

    def record(self, service: str, observation: Observation, now: float) -> None:
        """Record what a request of this host or of a peer showed."""
        requests, failed = self._decayed(service, now)
        is_failure = observation in FAILURES
        self._counts[service] = (requests + 1.0, failed + is_failure, now)

    def retest_interval_s(self, service: str, now: float) -> float:
        """Return how long an instance is left alone after a failure, in seconds."""
        requests, failed = self._decayed(service, now)
        is_troubled = requests >= MIN_OUTCOMES and failed > TROUBLED_SHARE * requests
        return TROUBLED_INTERVAL_S if is_troubled else CALM_INTERVAL_S

    def _decayed(self, service: str, now: float) -> tuple[float, float]:
        requests, failed, at = self._counts.get(service, (0.0, 0.0, now))
        factor = math.exp(min(0.0, at - now) / DECAY_S)
        return requests * factor, failed * factor


def is_retest_due(use: InstanceUse, interval_s: float, max_probability: float) -> bool:
    """Return whether the next request goes to an instance, however likely it fails.

    Args:
        use: what is known of the instance.
        interval_s: how long it is left alone after a failure, in seconds.
        max_probability: probability from which on it counts as unhealthy.
    """
    is_doubtful = use.last_failed or use.unhealthy_probability > max_probability
    return (
        is_doubtful
        and use.is_local
        and use.load == 0
        and use.since_seen_s >= interval_s
    )
