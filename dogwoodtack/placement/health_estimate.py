"""Estimate of how likely an instance is unhealthy, from the outcomes of requests.

An instance is modelled as a hidden Markov process with two states, healthy and
unhealthy.  Each observation updates the probability by Bayes' rule.  Without
observations it decays towards the instance's baseline, its past share of unhealthy
time, because gray failures recur at the same instances.
"""

import enum
import math

__all__ = ["HealthEstimate", "Observation"]

# Gray failures and the healthy periods between them last for seconds.
MEAN_UNHEALTHY_S = 4.0
MEAN_HEALTHY_S = 25.0
DECAY_RATE_PER_S = 1.0 / MEAN_UNHEALTHY_S + 1.0 / MEAN_HEALTHY_S
PRIOR = (1.0 / MEAN_HEALTHY_S) / DECAY_RATE_PER_S
# Time constant with which an instance's own baseline replaces the prior.
BASELINE_TIME_CONSTANT_S = 20.0
MIN_BASELINE = 0.01
MAX_BASELINE = 0.6
# Bounds on the probability, so that new observations can always reverse it.
MAX_PROBABILITY = 0.995
MIN_PROBABILITY = 0.005


class Observation(enum.StrEnum):
    """What one attempt showed about its instance.

    Attributes:
        SUCCESS: a complete response that reports no failure.
        ERROR: a complete response that reports a failure.
        SHED: the instance did not execute the request.
        NO_RESPONSE: no complete response in time.
        BROKEN_RESPONSE: the connection ended early, or the response was malformed.
        UNREACHABLE: the request was not sent, or another instance has the address.
        PEER_REPORT: another host got no response or did not reach the instance.
    """

    SUCCESS = "good"
    ERROR = "error"
    SHED = "shed"
    NO_RESPONSE = "silent"
    BROKEN_RESPONSE = "broken"
    UNREACHABLE = "unreachable"
    PEER_REPORT = "rumour"


# Probability of each observation at an unhealthy and at a healthy instance.
LIKELIHOODS: dict[Observation, tuple[float, float]] = {
    Observation.SUCCESS: (0.30, 0.97),
    Observation.ERROR: (0.60, 0.02),
    # A shed request did not run and can go to another instance, so shedding is only
    # weak evidence of a failure.
    Observation.SHED: (0.10, 0.08),
    Observation.NO_RESPONSE: (0.30, 0.01),
    Observation.BROKEN_RESPONSE: (0.30, 0.01),
    Observation.UNREACHABLE: (0.50, 0.004),
    # The network path from the reporting host may have failed, not the instance.
    Observation.PEER_REPORT: (0.25, 0.06),
}


# A shed request has not run, so it is no failure.
NO_FAILURES = frozenset({Observation.SUCCESS, Observation.SHED})


class HealthEstimate:
    """Unhealthy probability of an instance, or of the network path to it."""

    __slots__ = (
        "_updated_at",
        "_baseline",
        "_unhealthy_probability",
        "seen_at",
        "last_succeeded",
        "last_failed",
    )

    def __init__(self, now: float, prior: float = PRIOR) -> None:
        self._baseline = prior
        self._unhealthy_probability = prior
        self._updated_at = now
        self.seen_at = -math.inf
        self.last_succeeded = False
        self.last_failed = False

    def unhealthy_probability(self, now: float) -> float:
        """Return the probability that the instance is unhealthy at a time."""
        age_s = max(0.0, now - self._updated_at)
        decay = math.exp(-DECAY_RATE_PER_S * age_s)
        return self._baseline + (self._unhealthy_probability - self._baseline) * decay

    def observe(self, observation: Observation, now: float) -> float:
        """Update the probability with an observation and return it."""
        prior = self.unhealthy_probability(now)
        self._update_baseline((prior + self._unhealthy_probability) / 2, now)
        if_unhealthy, if_healthy = LIKELIHOODS[observation]
        evidence = prior * if_unhealthy + (1.0 - prior) * if_healthy
        self._unhealthy_probability = min(
            MAX_PROBABILITY, max(MIN_PROBABILITY, prior * if_unhealthy / evidence)
        )
        self._updated_at = max(now, self._updated_at)
        self.seen_at = self._updated_at
        self.last_succeeded = observation is Observation.SUCCESS
        self.last_failed = observation not in NO_FAILURES
        return self._unhealthy_probability

    def _update_baseline(self, mean_probability: float, now: float) -> None:
        """Move the baseline towards the mean probability since the last update."""
        elapsed_s = max(0.0, now - self._updated_at)
        weight = 1.0 - math.exp(-elapsed_s / BASELINE_TIME_CONSTANT_S)
        baseline = self._baseline + weight * (mean_probability - self._baseline)
        self._baseline = min(MAX_BASELINE, max(MIN_BASELINE, baseline))
