"""Which instance gets a request: careful for work that runs once, curious else."""

import enum
import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from .instances import Instance

__all__ = [
    "Candidate",
    "Requirements",
    "SelectionMode",
    "reserved_slots",
    "select_candidate",
]

# Costs are in units of one failed request.
# A request in another zone pays the way there and takes slots that its hosts count on.
OTHER_ZONE_COST = 0.03
# Bytes between zones are priced: about a failed request for each 250 kB.
OTHER_ZONE_COST_PER_KB = 0.004
# From this size an answer costs more between zones than a short wait.
HEAVY_KB = 25.0
# Work that runs once is packed on few instances: each of them is then heard of more
# often, and those that turn sick unheard are found by look-ups.
PACKING_WORTH = 0.02
# An instance with every slot but one taken is a little slower than an idle one.
BUSY_COST = 0.06
WARMUP_COST = 0.10
# A look-up that fails is sent again, which costs time and a repeat.
REPEATABLE_FAILURE_COST = 0.45
# What a look-up is worth as news about an instance that nobody heard of, a second.
NEWS_WORTH_PER_S = 0.40
NEWS_LIMIT_S = 2.0
# Work that runs once waits rather than going where it fails more often than not.
MOST_SICK = 0.45
# A look-up tries a sick instance again after this time, and waits for others before:
# sick instances fail at once and have the only free slots when load is high.
RECHECK_S = 0.8
TIE_BREAK = 0.01
# Word of other zones' load is a quarter of a second old, about one work time.  When
# every zone is full, each would see the same slots as free and all would take them;
# so this part of an instance's slots is left to its own zone.
KEPT_SLOTS_SHARE = 0.25


class SelectionMode(enum.StrEnum):
    """How an instance is chosen."""

    CAUTIOUS = "careful"
    EXPLORATORY = "scout"


class Requirements(NamedTuple):
    """What a request asks of its instance.

    Attributes:
        manner: whether failure is final, or the request may try the unknown.
        answer_kb: expected size of the answer in kilobytes.
        exclude: instances that had their try at this request.
    """

    mode: SelectionMode
    answer_kb: float = 1.0
    exclude: frozenset[str] = frozenset()

    @property
    def has_large_response(self) -> bool:
        """Return whether the answer is worth a wait for an instance of the zone."""
        return self.answer_kb >= HEAVY_KB


class Candidate(NamedTuple):
    """What is known of one instance at the moment of choice.

    Attributes:
        in_flight: requests on it, as far as this host knows.
        sick: probability that it is sick.
        unheard_s: seconds since its last outcome.
        is_local: whether it is in this host's zone.
        was_good: whether its last outcome was a good one.
        kept_slots: slots that are left to its own zone's hosts.
    """

    instance: Instance
    in_flight: int
    unhealthy_probability: float
    since_seen_s: float
    is_local: bool
    last_succeeded: bool = False
    reserved_slots: int = 0

    @property
    def may_have_recovered(self) -> bool:
        """Return whether a look-up may try it, however sick it is believed to be.

        Load pattern: instances fail for seconds and recover, and all sound ones are
        full.  After a first good answer the next look-ups come at once, so that
        the recovered slots take work again.
        """
        return self.last_succeeded or self.since_seen_s >= RECHECK_S

    @property
    def has_free_slot(self) -> bool:
        """Return whether a slot is free for this host."""
        return self.in_flight < self.instance.slots - self.reserved_slots


def reserved_slots(slots: int) -> int:
    """Return how many of an instance's slots are left to its own zone's hosts.

    One is left where there are two or more, and never all of them: the hosts of
    another zone may have no other instance.
    """
    return min(slots - 1, math.ceil(KEPT_SLOTS_SHARE * slots))


def select_candidate(
    candidates: Sequence[Candidate],
    requirements: Requirements,
    rng: random.Random,
    allow_unhealthy: bool = False,
) -> Candidate | None:
    """Return the instance with the least expected cost, or None where all are full.

    Load pattern: most slots are busy and some instances fail most of their work.
    Unsafe work goes where the last outcomes were good; look-ups go to instances
    that were not heard of, so that the next unsafe request knows them.

    Args:
        candidates: the service's instances that take new work.
        want: what the request asks.
        rng: breaks ties.
        is_last_resort: take a sick instance rather than none.
    """
    fit = [
        one
        for one in candidates
        if one.has_free_slot and one.instance.id not in requirements.exclude
    ]
    if not allow_unhealthy:
        scouts = requirements.mode is SelectionMode.EXPLORATORY
        fit = [
            one
            for one in fit
            if one.unhealthy_probability <= MOST_SICK
            or (scouts and one.may_have_recovered)
        ]
    if not fit:
        return None
    return min(fit, key=lambda one: _cost(one, requirements) + TIE_BREAK * rng.random())


def _cost(one: Candidate, requirements: Requirements) -> float:
    cost = 0.0
    if one.instance.warmup_s > 0:
        cost += WARMUP_COST
    if not one.is_local:
        cost += OTHER_ZONE_COST + OTHER_ZONE_COST_PER_KB * requirements.answer_kb
    load = one.in_flight / max(1, one.instance.slots)
    if requirements.mode is SelectionMode.CAUTIOUS:
        return cost + one.unhealthy_probability - PACKING_WORTH * load
    cost += BUSY_COST * load
    news = NEWS_WORTH_PER_S * min(one.since_seen_s, NEWS_LIMIT_S) if one.is_local else 0
    return cost + REPEATABLE_FAILURE_COST * one.unhealthy_probability - news
