"""Rate limits that instances name for all hosts together.

Load pattern: an instance in need names a limit far below what its slots carry, while
requests wait at the hosts of every zone.  A limiter in each host would allow a multiple
of the limit, and so would one that counts the sends of distant hosts, which it learns
of too late.  So few hosts of one zone use a limited instance, and each of them charges
the sends of the others, which are reported at once, to its own token bucket.
"""

import functools
import hashlib
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from ..quotas import TokenBucket
from .instances import Instance

__all__ = ["RateAllowance", "RateLimitReport", "RateLimits"]

# Hosts of a zone that use one limited instance.  Each more could send in the moment
# before it learns that another one has.
MAX_SENDERS = 3
# Unused allowance of this time may be sent at once, and always one request.
BURST_S = 0.5
MIN_BURST = 1.0
# Sends beyond the limit are made up for by a pause of this time at most.
MAX_DEBT_S = 4.0
# A limit counts for this long after it was last named, and for this many requests at
# the limited rate.  Without any response nobody knows whether it has ended.
TTL_S = 10.0
TTL_REQUESTS = 3.0
MIN_TTL_RATE_PER_S = 0.1


class RateLimitReport(NamedTuple):
    """What a host knows of an instance's limit, and its own sends under it.

    Attributes:
        instance_id: the instance.
        per_s: requests per second that the instance takes from all hosts together;
            None if it has ceased to name a limit.
        age_s: seconds since that was last seen in a response.
        sent: requests that the host has sent there since it has known a limit.
    """

    instance_id: str
    per_s: float | None
    age_s: float
    sent: int


class RateAllowance(NamedTuple):
    """What a host may send to a limited instance.

    Attributes:
        per_s: requests per second that the host shares with few others; 0 if it is
            not among the senders.
        may_send: whether it may send a request now.
    """

    per_s: float
    may_send: bool


class _Limit:
    """The limit of one instance, and a token bucket of the zone's sends under it."""

    __slots__ = (
        "per_s",
        "seen_at",
        "sent",
        "_bucket",
        "_peer_sent",
    )

    def __init__(self, per_s: float | None, seen_at: float, now: float) -> None:
        self.per_s = per_s
        self.seen_at = seen_at
        self.sent = 0
        # Requests sent before the limit was known are still at the instance.
        self._bucket = TokenBucket(0.0, MIN_BURST, 0.0, now)
        self.set_zone_rate(per_s or 0.0, now)
        self._peer_sent: dict[str, int] = {}

    def is_expired(self, now: float) -> bool:
        """Return whether the limit was not named for too long to be relied on."""
        rate = max(self.per_s or 0.0, MIN_TTL_RATE_PER_S)
        return now - self.seen_at > TTL_S + TTL_REQUESTS / rate

    def set_zone_rate(self, per_s: float, now: float) -> None:
        """Set the zone's share of the limit, in requests per second."""
        burst = max(MIN_BURST, BURST_S * per_s)
        self._bucket.set_rate(per_s, burst, MIN_BURST + MAX_DEBT_S * per_s, now)

    def has_token(self, now: float) -> bool:
        """Return whether the zone may send one more request."""
        return self._bucket.tokens(now) >= 1.0

    def charge(self, requests: int, now: float) -> None:
        """Take a number of sends from the bucket, which may go into debt."""
        self._bucket.charge(requests, now)

    def charge_peer(self, host: str, sent: int, is_new: bool, now: float) -> None:
        """Charge what a peer has sent since its last report.

        Args:
            host: the peer's name.
            sent: its count of sends, which starts again if the peer restarts.
            is_new: whether the limit became known by this report.
            now: seconds on the monotonic clock.
        """
        known = self._peer_sent.get(host)
        self._peer_sent[host] = sent
        if is_new:
            return
        if known is None or sent < known:
            # The peer has restarted, or its reports have overtaken each other.
            self.charge(min(sent, 1), now)
        else:
            self.charge(sent - known, now)


class RateLimits:
    """The rate limits of instances, and this host's part in keeping to them.

    Args:
        local_zone: zone of this host.
    """

    def __init__(self, local_zone: str) -> None:
        self._limits: dict[str, _Limit] = {}
        self._local_name = ""
        self._local_zone = local_zone
        self._serving: tuple[str, ...] = ()
        self._zones: frozenset[str] = frozenset()

    def set_hosts(
        self, local_name: str, serving: Sequence[str], zones: Collection[str]
    ) -> None:
        """Set which hosts may send to limited instances.

        Args:
            local_name: name of this host.
            serving: names of the serving hosts of its zone; without any, this host is
                taken to be the only one.
            zones: the zones that have hosts.
        """
        self._local_name = local_name
        self._serving = tuple(serving)
        self._zones = frozenset(zones)

    def count(self, now: float) -> int:
        """Return how many instances are limited."""
        return sum(1 for one in list(self._limits) if self.is_limited(one, now))

    def is_limited(self, instance_id: str, now: float) -> bool:
        """Return whether an instance names a limit."""
        limit = self._current(instance_id, now)
        return limit is not None and limit.per_s is not None

    def _current(self, instance_id: str, now: float) -> _Limit | None:
        limit = self._limits.get(instance_id)
        if limit is not None and limit.is_expired(now):
            del self._limits[instance_id]
            return None
        return limit

    def allowance(
        self, instance: Instance, service_zones: Collection[str], now: float
    ) -> RateAllowance | None:
        """Return what this host may send to an instance, None if it is not limited.

        Args:
            instance: the instance.
            service_zones: zones that have instances of the same service.
            now: seconds on the monotonic clock.
        """
        limit = self._current(instance.id, now)
        if limit is None or limit.per_s is None:
            return None
        per_s = limit.per_s * self._zone_share(instance.zone, service_zones)
        limit.set_zone_rate(per_s, now)
        if not self._is_sender(instance.id):
            return RateAllowance(0.0, False)
        return RateAllowance(per_s, per_s > 0.0 and limit.has_token(now))

    def _zone_share(self, zone: str, service_zones: Collection[str]) -> float:
        """Return the share of an instance's limit that the local zone may use.

        A limited instance serves its own zone; zones without an instance of the
        service have equal shares.
        """
        dependent = (self._zones | {self._local_zone}).difference(service_zones)
        if self._local_zone != zone and self._local_zone not in dependent:
            return 0.0
        return 1.0 / len(dependent | {zone})

    def _is_sender(self, instance_id: str) -> bool:
        if not self._serving:
            return True
        return self._local_name in _senders(instance_id, self._serving)

    def record_send(self, instance_id: str, now: float) -> None:
        """Charge a request that this host sends."""
        limit = self._current(instance_id, now)
        if limit is not None:
            limit.sent += 1
            limit.charge(1, now)

    def on_response(
        self, instance_id: str, per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Record what a response says and return whether the limit has changed.

        Args:
            instance_id: the instance that responded.
            per_s: the limit that the response names, None if it names none.
            sent_at: when the request was sent.
            now: seconds on the monotonic clock.
        """
        limit = self._current(instance_id, now)
        # A response to a request from before may be older than the limit.
        if per_s is None and (limit is None or sent_at <= limit.seen_at):
            return False
        return self._update(instance_id, per_s, now, now)

    def _update(
        self, instance_id: str, per_s: float | None, seen_at: float, now: float
    ) -> bool:
        """Set what was last seen of a limit; return whether it differs from before."""
        limit = self._current(instance_id, now)
        if limit is None:
            self._limits[instance_id] = _Limit(per_s, seen_at, now)
            return per_s is not None
        if seen_at < limit.seen_at:
            return False
        is_changed = limit.per_s != per_s
        limit.per_s = per_s
        limit.seen_at = seen_at
        return is_changed

    def on_reports(
        self, host: str | None, reports: Iterable[RateLimitReport], now: float
    ) -> list[RateLimitReport]:
        """Apply reports of another host and return those that changed a limit.

        Args:
            host: name of the reporting host; None for a host of another zone, whose
                sends are charged to its own zone.
            reports: what it knows.
            now: seconds on the monotonic clock.
        """
        changes = []
        for report in reports:
            is_new = self._current(report.instance_id, now) is None
            seen_at = now - report.age_s
            if self._update(report.instance_id, report.per_s, seen_at, now):
                changes.append(report)
            if host is not None:
                limit = self._limits[report.instance_id]
                limit.charge_peer(host, report.sent, is_new, now)
        return changes

    def reports(
        self, now: float, instance_ids: Iterable[str] | None = None
    ) -> list[RateLimitReport]:
        """Return what this host knows of some instances' limits, or of all."""
        found = []
        for name in list(self._limits if instance_ids is None else instance_ids):
            limit = self._current(name, now)
            if limit is not None:
                age_s = max(0.0, now - limit.seen_at)
                found.append(RateLimitReport(name, limit.per_s, age_s, limit.sent))
        return found


@functools.lru_cache(maxsize=1024)
def _senders(instance_id: str, hosts: tuple[str, ...]) -> frozenset[str]:
    """Return the hosts that use a limited instance, by rendezvous hashing."""

    def weight(host: str) -> str:
        return hashlib.sha256(f"{host} {instance_id}".encode()).hexdigest()

    return frozenset(sorted(hosts, key=weight)[:MAX_SENDERS])
