"""Rate limits of organisations, which every host applies on its own.

Load pattern: callers of an organisation use few hosts at a time and move between them,
so a fixed part of the limit for each host would refuse requests far below the limit.
Each host keeps the whole allowance in a token bucket, and charges to it what it admits
itself and what other hosts and zones report.
"""

import copy
import math
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..routing import Organisation
from .bucket import TokenBucket
from .recent_counts import RECENT_S, RecentCounts

__all__ = ["Decision", "QuotaBounds", "Quotas"]

# Part of a bound's slack that is added to an organisation's burst.  Random arrivals
# below the limit exceed a burst of few requests.  The rest of the slack is for what
# hosts admit before they hear of each other.
BURST_SLACK_RATIO = 0.4
# Part of the capacity that a process has at its start, and one request: others may
# have used up the rest just before.
START_RATIO = 0.1
START_TOKENS = 1.0
# Admissions elsewhere are extrapolated for this time.  Then the source counts as silent
# and is left its own part of the limit instead.
MAX_EXTRAPOLATION_S = 0.6
# Where requests surge, they probably do so at other hosts and zones too, in proportion
# to what these admitted before.  They are taken to admit at most as many as are
# admitted here: callers may have moved here instead.
MAX_RATIO = 1.0
# A surge exceeds what random arrivals at the usual rate explain, in deviations.
SURGE_DEVIATIONS = 2.0
# What a source admits during a longer silence is not charged: it was kept to its own
# part of the limit meanwhile.
MAX_CHARGED_GAP_S = 2.5
# Debt that is made up for, in multiples of the margin of the bound.
MAX_DEBT_MARGINS = 2.0
# Callers are not told to stay away for longer than the limit's window is wide.
MAX_RETRY_AFTER_S = 5.0


class QuotaBounds(NamedTuple):
    """How far all hosts together may exceed a limit.

    In any window, (rate x window + burst) x (1 + over) + slack requests may run.

    Attributes:
        window_s: width of the window in seconds.
        over: share of the limit by which it may be exceeded.
        slack: further requests.
    """

    window_s: float = 5.0
    over: float = 0.1
    slack: float = 20.0

    def margin(self, organisation: Organisation) -> float:
        """Return by how many requests an organisation may exceed its limit."""
        limit = organisation.rate_per_s * self.window_s + organisation.burst
        return self.over * limit + self.slack

    def capacity(self, organisation: Organisation) -> float:
        """Return how many requests may run at once after a pause."""
        return max(1.0, organisation.burst + BURST_SLACK_RATIO * self.slack)


class Decision(NamedTuple):
    """The inputs of a decision, for the log.

    Attributes:
        tokens: the tokens in the bucket.
        extrapolated: requests that others are thought to have admitted since they last
            reported.
        per_s: this host's part of the rate, with that of all hosts that it hears.
        reach: that part as a share of the rate.
    """

    tokens: float
    extrapolated: float
    per_s: float
    reach: float


class _Source:
    """The totals of one host or zone, and what it has admitted recently."""

    __slots__ = (
        "totals",
        "recent",
        "marks",
        "settled",
        "at",
        "is_complete",
        "is_zone",
    )

    def __init__(self, now: float, is_zone: bool) -> None:
        self.totals: dict[str, int] = {}
        self.recent = RecentCounts()
        # What this host, or its zone, had admitted when the source last reported: all
        # of it, and recently.
        self.marks: dict[str, tuple[int, float]] = {}
        # What has been charged for it already, as it has not reported for too long.
        self.settled: dict[str, float] = {}
        self.at = now
        self.is_complete = False
        self.is_zone = is_zone

    def expected(self, organisation: str, own: "_OwnCounts", now: float) -> float:
        """Return the requests that were probably admitted since the last report.

        They come at the last rate, and more of them if more than before come here.

        Args:
            organisation: the organisation.
            own: what was admitted here.
            now: seconds on the monotonic clock.
        """
        recent = self.recent.count(organisation, self.at)
        if not recent:
            return 0.0
        elapsed_s = min(MAX_EXTRAPOLATION_S, max(0.0, now - self.at))
        own_total, own_recent = self.marks.get(organisation, (0, 0.0))
        usual = own_recent / RECENT_S * elapsed_s
        since = own.totals.get(organisation, 0) - own_total
        excess = max(0.0, since - usual - SURGE_DEVIATIONS * math.sqrt(usual))
        # Where hardly any came before, they have rather moved here from elsewhere.
        ratio = min(MAX_RATIO, recent / max(1.0, own_recent)) * min(1.0, own_recent)
        return recent / RECENT_S * elapsed_s + ratio * excess


class _OwnCounts:
    """What was admitted here: by this host, or by its zone as far as it is known."""

    __slots__ = ("totals", "recent")

    def __init__(self) -> None:
        self.totals: dict[str, int] = {}
        self.recent = RecentCounts()

    def add(self, organisation: str, requests: int, now: float) -> None:
        """Add admitted requests."""
        self.totals[organisation] = self.totals.get(organisation, 0) + requests
        self.recent.add(organisation, requests, now)


class _Limit:
    """The limit of one organisation and its bucket."""

    __slots__ = ("organisation", "bucket", "booked_until")

    def __init__(self, organisation: Organisation, bucket: TokenBucket) -> None:
        self.organisation = organisation
        self.bucket = bucket
        # Until when the allowance to come is promised to requests that were refused.
        self.booked_until = 0.0


class Quotas:
    """Admit requests of organisations within their limits.

    Args:
        rng: spreads the times after which refused requests may come again, and rounds
            allowances below one request.
        bounds: how far the hosts together may exceed a limit.

    Attributes:
        bounds: as above; may be replaced at any time.
        admitted: requests that were admitted since the start and not refunded.
        refused: requests that were refused since the start.
        refunded: requests that were refunded since the start.
    """

    def __init__(self, rng: random.Random, bounds: QuotaBounds = QuotaBounds()) -> None:
        self.bounds = bounds
        self.admitted = 0
        self.refused = 0
        self.refunded = 0
        self._rng = rng
        self._limits: dict[str, _Limit] = {}
        self._is_started = False
        self._reach = 1.0
        self._own = _OwnCounts()
        self._own_zone = _OwnCounts()
        # Refunds that lower no total: a lower one would look like an outdated report.
        self._credits: dict[str, int] = {}
        self._sources: dict[str, _Source] = {}

    @property
    def has_limits(self) -> bool:
        """Return whether any organisation has a limit."""
        return bool(self._limits)

    @property
    def limited_count(self) -> int:
        """Return how many organisations have a limit."""
        return len(self._limits)

    @property
    def reach(self) -> float:
        """Return the share of each limit that this host uses with those it hears."""
        return self._reach

    def set_limits(
        self, organisations: Iterable[Organisation] | None, now: float
    ) -> None:
        """Set the limits of a new configuration.

        Args:
            organisations: the organisations; None if there are none.
            now: seconds on the monotonic clock.
        """
        limited = {one.name: one for one in organisations or () if one.rate_per_s > 0.0}
        for name in self._limits.keys() - limited.keys():
            del self._limits[name]
        for name, organisation in limited.items():
            limit = self._limits.get(name)
            if limit is None:
                self._limits[name] = self._new_limit(organisation, now)
            elif limit.organisation != organisation:
                self._change_limit(limit, organisation, now)
        self._is_started = True

    def _new_limit(self, organisation: Organisation, now: float) -> _Limit:
        full = self.bounds.capacity(organisation)
        is_new = self._is_started
        tokens = full if is_new else min(full, START_RATIO * full + START_TOKENS)
        bucket = TokenBucket(0.0, full, tokens * self._reach, now)
        limit = _Limit(organisation, bucket)
        self._set_rate(limit, now)
        return limit

    def _change_limit(
        self, limit: _Limit, organisation: Organisation, now: float
    ) -> None:
        before = self.bounds.capacity(limit.organisation)
        limit.bucket.scale(self.bounds.capacity(organisation) / before, now)
        limit.organisation = organisation
        limit.booked_until = now
        self._set_rate(limit, now)

    def _set_rate(self, limit: _Limit, now: float) -> None:
        organisation = limit.organisation
        limit.bucket.set_rate(
            organisation.rate_per_s * self._reach,
            self.bounds.capacity(organisation) * self._reach,
            self.bounds.margin(organisation) * MAX_DEBT_MARGINS,
            now,
        )

    def set_reach(self, share: float, now: float) -> None:
        """Set the share of the fleet that this host hears, with itself.

        A smaller share leaves as much of the unused allowance; the hosts that are not
        heard have the rest.

        Args:
            share: above 0 and up to 1.
            now: seconds on the monotonic clock.
        """
        if share == self._reach:
            return
        factor = min(1.0, share / self._reach)
        self._reach = share
        for limit in self._limits.values():
            limit.bucket.scale(factor, now)
            self._set_rate(limit, now)

    def try_admit(self, organisation: str, now: float) -> float | None:
        """Admit a request, or return after how many seconds it may come again.

        Args:
            organisation: name of the organisation.
            now: seconds on the monotonic clock.
        """
        limit = self._limits.get(organisation)
        if limit is not None and not self._take(limit, now):
            self.refused += 1
            return self._retry_after_s(limit, now)
        self.admitted += 1
        if self._credits.get(organisation):
            self._credits[organisation] -= 1
        else:
            self._own.add(organisation, 1, now)
            self._own_zone.add(organisation, 1, now)
        return None

    def _take(self, limit: _Limit, now: float) -> bool:
        owed = self._extrapolated(limit.organisation.name, now)
        available = limit.bucket.tokens(now, owed) - owed
        if limit.bucket.capacity >= 1.0:
            if available < 1.0:
                return False
            limit.bucket.charge(1.0, now, owed)
            return True
        # A host that is cut off may have less than one request.  A whole one for each
        # such host would exceed the limit, so chance decides who may send it.
        if available <= 0.0:
            return False
        limit.bucket.charge(available, now, owed)
        return self._rng.random() < available

    def _available(self, limit: _Limit, now: float) -> float:
        owed = self._extrapolated(limit.organisation.name, now)
        return limit.bucket.tokens(now, owed) - owed

    def _extrapolated(self, organisation: str, now: float) -> float:
        expected = 0.0
        for source in self._sources.values():
            if now - source.at > MAX_EXTRAPOLATION_S:
                self._settle(source, now)
            else:
                expected += self._expected(source, organisation, now)
        return expected

    def _settle(self, source: _Source, now: float) -> None:
        """Charge what a source that does not report has probably admitted."""
        if not source.recent:
            return
        expected = {
            name: self._expected(source, name, now) for name in source.recent.names(now)
        }
        source.recent = RecentCounts()
        source.settled = expected
        for name, requests in expected.items():
            limit = self._limits.get(name)
            if limit is not None:
                limit.bucket.charge(requests, now, requests)

    def _expected(self, source: _Source, organisation: str, now: float) -> float:
        return source.expected(organisation, self._own_counts(source), now)

    def _own_counts(self, source: _Source) -> _OwnCounts:
        """Return what is comparable with a source: a host or a zone."""
        return self._own_zone if source.is_zone else self._own

    def _retry_after_s(self, limit: _Limit, now: float) -> float:
        """Return when there is allowance that no other refused request waits for."""
        per_s = limit.bucket.per_s * self._own_part(limit.organisation.name, now)
        per_s = max(per_s, 1.0 / MAX_RETRY_AFTER_S)
        missing = max(0.0, 1.0 - self._available(limit, now))
        limit.booked_until = max(limit.booked_until, now + missing / per_s)
        limit.booked_until += self._rng.uniform(0.5, 1.5) / per_s
        wait_s = limit.booked_until - now
        if wait_s > MAX_RETRY_AFTER_S:
            limit.booked_until = now + MAX_RETRY_AFTER_S
            return self._rng.uniform(0.5, 1.0) * MAX_RETRY_AFTER_S
        return wait_s

    def _own_part(self, organisation: str, now: float) -> float:
        """Return which part of an organisation's requests comes to this host."""
        recent = self._own_zone.recent.count(organisation, now)
        for source in self._sources.values():
            if source.is_zone:
                recent += source.recent.count(organisation, now)
        own = self._own.recent.count(organisation, now)
        return own / recent if recent else 1.0

    def refund(self, organisation: str, now: float) -> None:
        """Return the allowance of an admitted request that ran at no instance."""
        self.refunded += 1
        self.admitted -= 1
        self._credits[organisation] = self._credits.get(organisation, 0) + 1
        limit = self._limits.get(organisation)
        if limit is not None:
            limit.bucket.charge(-1.0, now, self._extrapolated(organisation, now))

    def decision(self, organisation: str, now: float) -> Decision | None:
        """Return the inputs of a decision; None without a limit.

        Nothing is charged, not even what silent sources have probably admitted.
        """
        limit = self._limits.get(organisation)
        if limit is None:
            return None
        bucket = copy.copy(limit.bucket)
        owed = 0.0
        for source in self._sources.values():
            expected = self._expected(source, organisation, now)
            if now - source.at <= MAX_EXTRAPOLATION_S:
                owed += expected
            elif source.recent:
                bucket.charge(expected, now, expected)
        return Decision(bucket.tokens(now, owed), owed, bucket.per_s, self._reach)

    def admission_chance(self, organisation: str, now: float) -> float:
        """Return how likely a request would be admitted now, without a charge."""
        decision = self.decision(organisation, now)
        if decision is None:
            return 1.0
        available = decision.tokens - decision.extrapolated
        if self._limits[organisation].bucket.capacity >= 1.0:
            return float(available >= 1.0)
        return min(1.0, max(0.0, available))

    def totals(self, now: float) -> dict[str, int]:
        """Return how many requests this host has admitted since its start."""
        return dict(self._own.totals)

    def on_usage(
        self,
        source: str,
        totals: Mapping[str, int],
        now: float,
        is_complete: bool = True,
        is_zone: bool = False,
    ) -> None:
        """Charge what another host or zone has admitted since its last report.

        Args:
            source: the reporting process; one that restarts is another source.
            totals: requests by organisation, since the source's start.
            now: seconds on the monotonic clock.
            is_complete: whether organisations that are left out have none.
            is_zone: whether it reports for a zone.
        """
        known = self._sources.get(source)
        if known is None or now - known.at > MAX_CHARGED_GAP_S:
            known = self._sources[source] = _Source(now, is_zone)
        for name, total in totals.items():
            self._on_total(known, name, total, now)
        known.is_complete = known.is_complete or is_complete
        known.at = now
        known.settled = {}
        own = self._own_counts(known)
        known.marks = {
            name: (own.totals.get(name, 0), own.recent.count(name, now))
            for name in known.recent.names(now)
        }

    def _on_total(self, source: _Source, name: str, total: int, now: float) -> None:
        before = source.totals.get(name, 0 if source.is_complete else total)
        source.totals[name] = max(before, total)
        grown = max(0, total - before)
        if not grown:
            return
        limit = self._limits.get(name)
        if limit is not None:
            charge = max(0.0, grown - source.settled.get(name, 0.0))
            limit.bucket.charge(charge, now, self._extrapolated(name, now))
        source.recent.add(name, grown, now)
        if not source.is_zone:
            self._own_zone.add(name, grown, now)

    def drop_source(self, source: str, now: float) -> None:
        """Forget a source that has ended.

        What it has probably admitted since its last report stays charged.
        """
        known = self._sources.pop(source, None)
        if known is not None:
            self._settle(known, now)

    def replace_source(self, source: str, successor: str, now: float) -> None:
        """Let another process report for a zone.

        The totals of the two can't be compared.  What the zone has probably admitted
        meanwhile stays charged, and it is taken to go on as before.
        """
        known = self._sources.pop(source, None)
        if known is None:
            return
        recent = known.recent
        self._settle(known, now)
        for name, requests in known.settled.items():
            recent.add(name, requests, now)
        found = self._sources[successor] = _Source(now, known.is_zone)
        found.recent = recent
