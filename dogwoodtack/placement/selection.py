"""Selection of the instance for a request, by the least expected cost."""

import enum
import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from .balancing import Balancing, InstanceUse, even_cost
from .instances import Instance
from .rate_limits import RateAllowance
from .retests import CALM_INTERVAL_S, is_retest_due

__all__ = [
    "Candidate",
    "Requirements",
    "SelectionMode",
    "expected_cost",
    "reserved_slots",
    "select_candidate",
]

# Costs are in units of one failed request.
# A request to another zone takes longer and uses slots that the zone's hosts count on.
CROSS_ZONE_COST = 0.03
# Traffic between zones is charged by the byte: 250 kB cost about one failed request.
CROSS_ZONE_COST_PER_KB = 0.004
# From this size a response costs more between zones than a short wait.
LARGE_RESPONSE_KB = 25.0
# Non-idempotent requests are packed onto few instances.  Each of these then yields
# observations more often, and idempotent requests find the unhealthy ones among the
# others.
PACKING_BONUS = 0.02
# An instance with all slots but one in use is a little slower than an idle one.
FULL_LOAD_COST = 0.06
WARMUP_COST = 0.10
# A failed idempotent request is retried, which costs time and retry budget.
RETRYABLE_FAILURE_COST = 0.45
# Value of learning an instance's health, for each second since its last observation.
EXPLORATION_BONUS_PER_S = 0.40
EXPLORATION_BONUS_LIMIT_S = 2.0
# A non-idempotent request waits rather than go where it fails more often than not.
MAX_UNHEALTHY_PROBABILITY = 0.45
# Time without an observation after which an exploratory request tries an unhealthy
# instance again.  Before that it waits for other instances: unhealthy ones fail at
# once and have the only free slots under high load.
RECHECK_AFTER_S = 0.8
TIE_BREAK_COST = 0.01
# Load reports of other zones are a quarter of a second old, about one service time.
# When every zone is full, each would see the same slots as free and all would take
# them, so this share of an instance's slots is reserved for its own zone.
RESERVED_SLOTS_SHARE = 0.25
# In even mode the best of so many random instances of other zones is selected.
OTHER_ZONE_CHOICES = 2


class SelectionMode(enum.StrEnum):
    """How an instance is selected.

    Attributes:
        CAUTIOUS: prefer the instance that is least likely unhealthy.
        EXPLORATORY: also prefer instances without a recent observation.
    """

    CAUTIOUS = "careful"
    EXPLORATORY = "scout"


class Requirements(NamedTuple):
    """What a request requires of its instance.

    Attributes:
        mode: CAUTIOUS if a failure is final, EXPLORATORY if the request can be
            retried after a failure.
        response_kb: expected size of the response in kilobytes.
        exclude: ids of the instances that this request was already sent to.
    """

    mode: SelectionMode
    response_kb: float = 1.0
    exclude: frozenset[str] = frozenset()

    @property
    def has_large_response(self) -> bool:
        """Return whether the response is worth a wait for a local instance."""
        return self.response_kb >= LARGE_RESPONSE_KB


class Candidate(NamedTuple):
    """What is known about one instance at the time of selection.

    Attributes:
        instance: the instance.
        in_flight: requests in flight on it, as far as this host knows.
        unhealthy_probability: probability that it or the path to it is unhealthy.
        since_seen_s: seconds since its last observation.
        is_local: whether it is in this host's zone.
        last_succeeded: whether its last observation was a success.
        reserved_slots: slots that are reserved for its own zone's hosts.
        rate_allowance: what this host may send there; None if it is not limited.
        last_failed: whether its or its path's last observation was a failure.
        ended_early: this host's requests there that ended within less than the mean
            service time since they were sent.
        slowness: how much longer its requests take than usual; 1.0 in packed mode.
    """

    instance: Instance
    in_flight: int
    unhealthy_probability: float
    since_seen_s: float
    is_local: bool
    last_succeeded: bool = False
    reserved_slots: int = 0
    rate_allowance: RateAllowance | None = None
    last_failed: bool = False
    ended_early: int = 0
    slowness: float = 1.0

    @property
    def use(self) -> InstanceUse:
        """Return what an even choice knows of it."""
        return InstanceUse(
            self.in_flight + self.ended_early,
            self.instance.slots,
            self.instance.warmup_s > 0,
            self.unhealthy_probability,
            self.last_failed,
            self.since_seen_s,
            self.is_local,
            self.slowness,
        )

    @property
    def may_have_recovered(self) -> bool:
        """Return whether an exploratory request may try it, however unhealthy.

        Load pattern: instances fail for seconds and recover, and all healthy ones
        are full.  After a first success exploratory requests may follow at once, so
        that the recovered slots are soon in use again.
        """
        return self.last_succeeded or self.since_seen_s >= RECHECK_AFTER_S

    @property
    def has_free_slot(self) -> bool:
        """Return whether this host may use a free slot."""
        if self.rate_allowance is not None and not self.rate_allowance.may_send:
            return False
        return self.in_flight < self.instance.slots - self.reserved_slots

    def usable_slots(self, service_time_s: float) -> float:
        """Return its slots, fewer if it is slow or its rate limit leaves some unused.

        Args:
            service_time_s: mean time that a request holds a slot, in seconds.
        """
        if self.rate_allowance is None:
            return self.instance.slots / self.slowness
        slots = self.instance.slots / self.slowness
        return min(slots, self.rate_allowance.per_s * service_time_s)


def reserved_slots(slots: int) -> int:
    """Return how many of an instance's slots are reserved for its own zone's hosts.

    At least one is reserved of two or more slots.  Never are all of them reserved: the
    hosts of another zone may have no other instance.
    """
    return min(slots - 1, math.ceil(RESERVED_SLOTS_SHARE * slots))


def select_candidate(
    candidates: Sequence[Candidate],
    requirements: Requirements,
    rng: random.Random,
    allow_unhealthy: bool = False,
    balancing: Balancing = Balancing.PACKED,
    retest_interval_s: float = CALM_INTERVAL_S,
) -> Candidate | None:
    """Return the candidate with the least expected cost, or None if none is eligible.

    Load pattern: most slots are busy and some instances fail most of their requests.
    Cautious requests go where recent requests succeeded.  Exploratory requests go to
    instances without a recent observation, so that the next cautious request can
    rely on their health.

    Args:
        candidates: the service's instances that accept new requests.
        requirements: what the request requires.
        rng: breaks ties.
        allow_unhealthy: whether to select an unhealthy instance rather than none.
        balancing: how cautious requests are spread over the instances.
        retest_interval_s: with even load, how long an instance is left alone after a
            failure, in seconds.
    """
    eligible = [
        candidate
        for candidate in candidates
        if candidate.has_free_slot and candidate.instance.id not in requirements.exclude
    ]
    is_exploratory = requirements.mode is SelectionMode.EXPLORATORY
    if not allow_unhealthy:
        if balancing is Balancing.EVEN and not is_exploratory:
            due = _due_for_retest(eligible, retest_interval_s)
            if due is not None:
                return due
        eligible = [
            candidate
            for candidate in eligible
            if candidate.unhealthy_probability <= MAX_UNHEALTHY_PROBABILITY
            or (is_exploratory and candidate.may_have_recovered)
        ]
    if not eligible:
        return None
    if balancing is Balancing.EVEN:
        eligible = _sample_other_zones(eligible, rng)
    return min(
        eligible,
        key=lambda candidate: expected_cost(candidate, requirements, balancing)
        + TIE_BREAK_COST * rng.random(),
    )


def _due_for_retest(
    eligible: Sequence[Candidate], interval_s: float
) -> Candidate | None:
    """Return the candidate that has waited longest for its retest, if any is due."""
    due = [
        candidate
        for candidate in eligible
        if is_retest_due(candidate.use, interval_s, MAX_UNHEALTHY_PROBABILITY)
    ]
    return max(due, key=lambda candidate: candidate.since_seen_s, default=None)


def _sample_other_zones(
    eligible: list[Candidate], rng: random.Random
) -> list[Candidate]:
    """Return the local candidates, and a few of the others at random.

    Load pattern: one zone is short, and all hosts of it learn at the same moment which
    instances of other zones were least loaded 250 ms ago.
    """
    local = [candidate for candidate in eligible if candidate.is_local]
    others = [candidate for candidate in eligible if not candidate.is_local]
    return local + rng.sample(others, min(OTHER_ZONE_CHOICES, len(others)))


def expected_cost(
    candidate: Candidate, requirements: Requirements, balancing: Balancing
) -> float:
    """Return what a request at a candidate is expected to cost, before ties are broken.

    The unit is the cost of one failed request.
    """
    cost = 0.0
    if not candidate.is_local:
        cost += CROSS_ZONE_COST_PER_KB * requirements.response_kb
    is_cautious = requirements.mode is SelectionMode.CAUTIOUS
    if is_cautious and balancing is Balancing.EVEN:
        return cost + even_cost(candidate.use)
    if not candidate.is_local:
        cost += CROSS_ZONE_COST
    if candidate.instance.warmup_s > 0:
        cost += WARMUP_COST
    load = candidate.in_flight / max(1, candidate.instance.slots)
    if is_cautious:
        return cost + candidate.unhealthy_probability - PACKING_BONUS * load
    cost += FULL_LOAD_COST * load
    bonus = (
        EXPLORATION_BONUS_PER_S * min(candidate.since_seen_s, EXPLORATION_BONUS_LIMIT_S)
        if candidate.is_local
        else 0
    )
    return cost + RETRYABLE_FAILURE_COST * candidate.unhealthy_probability - bonus
