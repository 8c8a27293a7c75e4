"""How likely an instance is to fail, as its answers show.

An instance is taken for a hidden Markov process with two states, sound and
sick.  Each outcome of a request moves the belief by Bayes' rule, and time moves
it back towards how often this instance was sick before: gray failures come back
to the same instances.
"""

import enum
import math

__all__ = ["HealthEstimate", "Observation"]

# Fault lengths and pauses of gray failures, in the order of seconds.
SICK_MEAN_S = 4.0
SOUND_MEAN_S = 25.0
RELAX_RATE = 1.0 / SICK_MEAN_S + 1.0 / SOUND_MEAN_S
PRIOR = (1.0 / SOUND_MEAN_S) / RELAX_RATE
# Over this time an instance's own past replaces the general prior.
HABIT_S = 20.0
LEAST_HABIT = 0.01
MOST_HABIT = 0.6
# Never be surer than this, so that a belief can always be turned.
MOST_SURE = 0.995
SURE_SOUND = 0.005


class Observation(enum.StrEnum):
    """What one request showed of its instance."""

    SUCCESS = "good"
    ERROR = "error"
    SHED = "shed"
    NO_RESPONSE = "silent"
    BROKEN_RESPONSE = "broken"
    UNREACHABLE = "unreachable"
    PEER_REPORT = "rumour"


# Chance of each sign at a sick and at a sound instance.
LIKELIHOODS: dict[Observation, tuple[float, float]] = {
    Observation.SUCCESS: (0.30, 0.97),
    Observation.ERROR: (0.60, 0.02),
    # What was shed did not run and can go elsewhere: hardly a sign of failure.
    Observation.SHED: (0.10, 0.08),
    Observation.NO_RESPONSE: (0.30, 0.01),
    Observation.BROKEN_RESPONSE: (0.30, 0.01),
    Observation.UNREACHABLE: (0.50, 0.004),
    # Another host got no answer: its own way to the instance may be cut instead.
    Observation.PEER_REPORT: (0.25, 0.06),
}


class HealthEstimate:
    """The belief about one instance, or about one host's way to it."""

    __slots__ = ("_at", "_habit", "_unhealthy_probability", "seen_at", "last_succeeded")

    def __init__(self, now: float, prior: float = PRIOR) -> None:
        self._habit = prior
        self._unhealthy_probability = prior
        self._at = now
        self.seen_at = -math.inf
        self.last_succeeded = False

    def unhealthy_probability(self, now: float) -> float:
        """Return the probability that the instance is sick at a moment."""
        age = max(0.0, now - self._at)
        decay = math.exp(-RELAX_RATE * age)
        return self._habit + (self._unhealthy_probability - self._habit) * decay

    def observe(self, sign: Observation, now: float) -> float:
        """Take one outcome in and return the new probability."""
        prior = self.unhealthy_probability(now)
        self._learn_habit((prior + self._unhealthy_probability) / 2, now)
        if_sick, if_sound = LIKELIHOODS[sign]
        both = prior * if_sick + (1.0 - prior) * if_sound
        self._unhealthy_probability = min(
            MOST_SURE, max(SURE_SOUND, prior * if_sick / both)
        )
        self._at = max(now, self._at)
        self.seen_at = self._at
        self.last_succeeded = sign is Observation.SUCCESS
        return self._unhealthy_probability

    def _learn_habit(self, mean_sick: float, now: float) -> None:
        """Move the share of time that the instance is sick towards what was seen."""
        span_s = max(0.0, now - self._at)
        weight = 1.0 - math.exp(-span_s / HABIT_S)
        habit = self._habit + weight * (mean_sick - self._habit)
        self._habit = min(MOST_HABIT, max(LEAST_HABIT, habit))
