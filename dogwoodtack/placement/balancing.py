"""Even load: when a service's requests are spread evenly, and what a choice costs.

Load that this answers: hardly any of a service's requests are idempotent.  Packing then
leaves most instances without a request for seconds, because nothing else tests them,
and fills the others.  What hosts know of an instance's load is 10 to 250 ms old.
"""

import enum
import math
from collections import deque
from collections.abc import Collection, Iterable
from typing import NamedTuple

__all__ = [
    "Balancing",
    "BalancingChange",
    "BalancingModes",
    "BalancingSetting",
    "InstanceUse",
    "RecentSends",
    "RequestMix",
    "even_cost",
    "is_last_slot",
]

# Below the first share of idempotent requests load becomes even, above the second one
# it is packed again.  Mixed services have at least 0.24.
EVEN_BELOW_SHARE = 0.15
PACKED_ABOVE_SHARE = 0.20
# Time constant of the counts that the share is taken of.
MIX_TIME_CONSTANT_S = 30.0
# With so many requests a true share of 0.24 seldom looks like 0.15 (3.6 standard
# deviations).
MIN_MIX_REQUESTS = 300.0
# How long the share has to stay beyond a limit before the mode changes.
MODE_HOLD_S = 5.0
# Peers without a heartbeat for this long, three of a reserve host, don't count.
PEER_MIX_TTL_S = 6.4
# Counts are decayed at most this often, as it takes a loop over all services.
DECAY_INTERVAL_S = 0.5

# Cost of an instance with all slots in use, in units of one failed request.  One
# request more at one of four slots costs as much as 0.04 more risk of a failure.  With
# twice the cost a fifth more of the requests failed in the replay of publisher.
FULL_EVEN_LOAD_COST = 0.15
# A request to another zone costs as much as half a request more at one of four slots.
EVEN_CROSS_ZONE_COST = 0.015
# What other zones' hosts have sent to an instance since their last report.
OTHER_ZONE_UNSEEN_LOAD = 1
# Among equally loaded instances the one that was unused for longest comes first.
IDLE_BONUS_PER_S = 0.015
IDLE_BONUS_LIMIT_S = 2.0
# A warming instance is slow, so a request there counts as this many.
WARMUP_LOAD_FACTOR = 2.0
# An instance counts as sound 6 s after a disturbance and then has to get requests.
# Its risk fades until then, as only these requests can show that it has recovered.
FAILURE_MEMORY_S = 6.0
# After a success the estimate rises only because nothing is known.
SUCCESS_MEMORY_S = 1.5


class Balancing(enum.StrEnum):
    """How non-idempotent requests are spread over a service's instances.

    Attributes:
        PACKED: onto few instances; idempotent requests test the others.
        EVEN: evenly by load.
    """

    PACKED = "packed"
    EVEN = "even"


class BalancingSetting(enum.StrEnum):
    """How the mode of each service is determined.

    Attributes:
        PACKED: all services are packed.
        EVEN: all services are even.
        AUTO: by the share of idempotent requests.
    """

    PACKED = "packed"
    EVEN = "even"
    AUTO = "auto"


class RequestMix(NamedTuple):
    """Recent requests of a service, older ones counting less.

    Attributes:
        service: the service.
        requests: all requests.
        idempotent: those of them that are idempotent.
    """

    service: str
    requests: float
    idempotent: float


class BalancingChange(NamedTuple):
    """A service's mode has changed.

    Attributes:
        service: the service.
        mode: its mode from now on.
        idempotent_share: the share of idempotent requests, 0 to 1.
    """

    service: str
    mode: Balancing
    idempotent_share: float


class BalancingModes:
    """The mode of each service, by the requests of this host and its peers.

    Attributes:
        setting: how modes are determined.
    """

    def __init__(self) -> None:
        self.setting = BalancingSetting.AUTO
        self._own: dict[str, RequestMix] = {}
        self._peers: dict[str, tuple[dict[str, RequestMix], float]] = {}
        self._decayed_at = -math.inf
        self._modes: dict[str, Balancing] = {}
        # Since when a service's share has called for the other mode.
        self._differs_since: dict[str, float] = {}
        self._shares: dict[str, float] = {}
        self._announced: dict[str, Balancing] = {}

    def mode(self, service: str) -> Balancing:
        """Return how a service's requests are spread."""
        if self.setting is not BalancingSetting.AUTO:
            return Balancing(self.setting)
        return self._modes.get(service, Balancing.PACKED)

    def on_routes(self, services: Iterable[str], idempotent: Collection[str]) -> None:
        """Begin with even load for new services without an idempotent route.

        Args:
            services: all services of the configuration in force.
            idempotent: those that a route of idempotent requests leads to.
        """
        for service in services:
            is_packed = service in idempotent
            initial = Balancing.PACKED if is_packed else Balancing.EVEN
            self._modes.setdefault(service, initial)

    def record_request(self, service: str, is_idempotent: bool, now: float) -> None:
        """Count a request of this host, once for all of its attempts."""
        self._decay(now)
        known = self._own.get(service, RequestMix(service, 0.0, 0.0))
        self._own[service] = RequestMix(
            service, known.requests + 1.0, known.idempotent + is_idempotent
        )
        self._update_mode(service, now)

    def on_peer_mixes(self, host: str, mixes: Iterable[RequestMix], now: float) -> None:
        """Replace what a peer reports of its recent requests."""
        self._peers[host] = ({mix.service: mix for mix in mixes}, now)

    def own_mixes(self, now: float) -> tuple[RequestMix, ...]:
        """Return this host's recent requests by service, for its peers."""
        self._decay(now)
        return tuple(
            RequestMix(mix.service, round(mix.requests, 1), round(mix.idempotent, 1))
            for mix in self._own.values()
        )

    def pop_changes(self) -> list[BalancingChange]:
        """Return how modes have changed since the last call; all begin as packed."""
        changes = []
        for service in self._modes:
            mode = self.mode(service)
            if mode is not self._announced.get(service, Balancing.PACKED):
                self._announced[service] = mode
                share = round(self._shares.get(service, 0.0), 3)
                changes.append(BalancingChange(service, mode, share))
        return changes

    def even_count(self) -> int:
        """Return how many services have had recent requests and are even."""
        return sum(1 for name in self._own if self.mode(name) is Balancing.EVEN)

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s < DECAY_INTERVAL_S:
            return
        factor = math.exp(-elapsed_s / MIX_TIME_CONSTANT_S)
        self._decayed_at = now
        self._own = {
            name: RequestMix(name, mix.requests * factor, mix.idempotent * factor)
            for name, mix in self._own.items()
            if mix.requests * factor >= 0.5
        }
        self._peers = {
            host: (mixes, at)
            for host, (mixes, at) in self._peers.items()
            if now - at <= PEER_MIX_TTL_S
        }

    def _update_mode(self, service: str, now: float) -> None:
        known_mixes = [self._own] + [mixes for mixes, _ in self._peers.values()]
        mixes = [one[service] for one in known_mixes if service in one]
        requests = sum(mix.requests for mix in mixes)
        if requests < MIN_MIX_REQUESTS:
            return
        share = sum(mix.idempotent for mix in mixes) / requests
        self._shares[service] = share
        known = self._modes.setdefault(service, Balancing.PACKED)
        wanted = known
        if share < EVEN_BELOW_SHARE:
            wanted = Balancing.EVEN
        elif share > PACKED_ABOVE_SHARE:
            wanted = Balancing.PACKED
        if wanted is known:
            self._differs_since.pop(service, None)
        elif now - self._differs_since.setdefault(service, now) >= MODE_HOLD_S:
            del self._differs_since[service]
            self._modes[service] = wanted


class RecentSends:
    """Times of this host's latest sends to each instance.

    Load that this answers: an instance that fails or sheds its requests at once has
    few of them in flight, so that a choice by load alone sends it the most.
    """

    def __init__(self) -> None:
        self._sent_at: dict[str, deque[float]] = {}

    def record(self, instance_id: str, now: float, window_s: float) -> None:
        """Record a send, and drop what is older than a window of seconds."""
        times = self._sent_at.setdefault(instance_id, deque())
        times.append(now)
        while times[0] < now - window_s:
            times.popleft()

    def count(self, instance_id: str, since: float) -> int:
        """Return how many requests were sent to an instance since a time."""
        times = self._sent_at.get(instance_id, ())
        return sum(1 for at in times if at >= since)

    def forget(self, instance_id: str) -> None:
        """Drop the records of an instance that is gone."""
        self._sent_at.pop(instance_id, None)


class InstanceUse(NamedTuple):
    """What an even choice knows of an instance.

    Attributes:
        load: requests in flight there, and those sent recently that ended early.
        slots: its slots.
        is_warming: whether it is slow after its start.
        unhealthy_probability: probability that it is unhealthy.
        last_failed: whether its or its path's last observation was a failure.
        since_seen_s: seconds since that, infinite if there was none.
        is_local: whether it is in this host's zone.
        slowness: how much longer its requests take than usual, 1.0 if as usual.
    """

    load: int
    slots: int
    is_warming: bool
    unhealthy_probability: float
    last_failed: bool
    since_seen_s: float
    is_local: bool
    slowness: float = 1.0


def even_cost(use: InstanceUse) -> float:
    """Return the cost of an instance in even mode, in units of one failed request."""
    unseen = 0 if use.is_local else OTHER_ZONE_UNSEEN_LOAD
    factor = max(WARMUP_LOAD_FACTOR if use.is_warming else 0.0, use.slowness)
    # An idle instance costs the same however slow it is, so that it gets requests.
    load = (factor * (use.load + unseen) + 1.0) / max(1, use.slots)
    cost = FULL_EVEN_LOAD_COST * load + _risk(use)
    if not use.is_local:
        return cost + EVEN_CROSS_ZONE_COST
    return cost - IDLE_BONUS_PER_S * min(use.since_seen_s, IDLE_BONUS_LIMIT_S)


def _risk(use: InstanceUse) -> float:
    """Return the probability of a failure, which fades while nothing is observed.

    Hosts observe only their own zone's instances; what other zones report is current.
    """
    if not use.is_local:
        return use.unhealthy_probability
    memory_s = FAILURE_MEMORY_S if use.last_failed else SUCCESS_MEMORY_S
    return use.unhealthy_probability * max(0.0, 1.0 - use.since_seen_s / memory_s)


def is_last_slot(use: InstanceUse) -> bool:
    """Return whether at most one slot is free, for which other hosts compete.

    Load pattern: a zone is short.  Its hosts all see the slot that has just become
    free, and most of their requests are refused there, while other zones have room.
    """
    return use.load >= use.slots - 1
