"""The pooled evidence on one service, and what it says of each instance."""

import math
from typing import NamedTuple

from .baseline import SlowMark, Spread
from .comparisons import Cell, is_seen, shares_of, sum_counts
from .evidence import BUCKETS_PER_OCTAVE
from .instance import CALM_SCORE, CLASSES, USUAL_SLOW_SHARE, WARM_UP_S, Track
from .messages import Explanation, RequestClass, Signal, Verdict
from .scores import (
    Allowance,
    Share,
    allowed_share,
    dispersion,
    likelihood_ratio,
    peer_shares,
)
from .windows import LENGTHS_S, RATE_LEVEL, Counts

__all__ = ["Pool", "find_unhealthy"]

TESTS = (
    (Signal.FAILED, RequestClass.ALL),
    (Signal.FAILED, RequestClass.NON_IDEMPOTENT),
    (Signal.LOST, RequestClass.ALL),
    (Signal.LOST, RequestClass.NON_IDEMPOTENT),
    (Signal.SLOW, RequestClass.IDEMPOTENT),
    (Signal.SLOW, RequestClass.NON_IDEMPOTENT),
)
MOST_SICK_SHARE = 0.5
PROBATION_NATS = 3.0
QUIET_S = 60.0
SOURCE_MEMORY_S = 81.0
MIN_SOURCES = 2
SPREAD_DOUBT = 2.0
LARGEST_USUAL_SLOW_SHARE = 0.5

ALLOWANCES = {
    Signal.FAILED: Allowance(2.0, 0.002, 0.01, 10.0),
    Signal.SLOW: Allowance(2.0, 0.0, USUAL_SLOW_SHARE, 10.0),
    Signal.LOST: Allowance(3.0, 0.005, 0.01, 10.0),
}


class _Scored(NamedTuple):
    """The evidence of one test against one instance."""

    name: str
    own: Share
    allowed: float
    ratio: float


def find_unhealthy(explanations: dict[str, Explanation], limit: float) -> set[str]:
    """Return the instances whose evidence reaches a threshold in nats.

    Failures that a single entry host sees point to its path, not to the
    instance.  When more than half of the instances stand out, the comparison
    with peers has lost its ground and none is called sick.
    """
    sick = {
        name
        for name, one in explanations.items()
        if one.score + (PROBATION_NATS if one.on_probation else 0.0) >= limit
        and one.score > 0
        and one.sources >= MIN_SOURCES
    }
    if len(sick) > MOST_SICK_SHARE * len(explanations):
        return set()
    return sick


class Pool:
    """Collect counts of one service's instances and test them."""

    def __init__(self, now: float) -> None:
        self._began_at = now
        self._tracks: dict[str, Track] = {}
        self._sources: dict[str, float] = {}
        self._marks = {one: SlowMark(BUCKETS_PER_OCTAVE) for one in CLASSES}
        self._spreads = {one: Spread() for one in RequestClass}
        self._learned_at = [now] * len(LENGTHS_S)

    def track(self, instance: str, now: float) -> Track:
        """Return an instance's track, made anew where there is none."""
        track = self._tracks.get(instance)
        if track is None:
            track = self._tracks[instance] = Track(now)
        return track

    def tracks(self) -> dict[str, Track]:
        """Return every track by its instance's name."""
        return self._tracks

    def keep_only(self, instances: set[str]) -> None:
        """Drop instances that the service has no more."""
        for name in self._tracks.keys() - instances:
            del self._tracks[name]

    def add(
        self,
        now: float,
        source: str,
        instance: str,
        is_idempotent: bool,
        failed: int,
        latencies: dict[int, int],
    ) -> bool:
        """Add what one entry host saw; return whether any of it was bad."""
        track = self.track(instance, now)
        if track.is_out(now):
            track.begin_probation(now)
        if now - track.seen_at > QUIET_S:
            track.new_since = now
        track.seen_at = now
        slow = very_slow = 0
        if not self._is_warming(track, now):
            slow, very_slow = self._count_slow(is_idempotent, latencies)
        total = sum(latencies.values()) + failed
        counts = Counts(total, failed, slow, very_slow)
        track.windows[is_idempotent].add(now, counts)
        self._sources[source] = now
        is_bad = failed + very_slow > 0
        if is_bad:
            track.bad_sources[source] = now
        return is_bad

    def _count_slow(
        self, is_idempotent: bool, latencies: dict[int, int]
    ) -> tuple[int, int]:
        """Return how many good answers were slow, and very slow."""
        slow = very_slow = 0
        mark = self._marks[is_idempotent]
        for bucket, count in latencies.items():
            mark.learn(bucket, count)
            if bucket > mark.slow:
                slow += count
                if bucket > mark.very_slow:
                    very_slow += count
        return slow, very_slow

    def explain(self, now: float) -> dict[str, Explanation]:
        """Test every instance and return the strongest evidence on each."""
        best = {name: Explanation() for name in self._tracks}
        due = self._due(now)
        counts = self._counts(now)
        for signal, requests in TESTS:
            if not is_seen(signal, counts[requests]):
                continue
            floors: dict[str, float] = {}
            for level in reversed(range(len(LENGTHS_S))):
                cell = Cell(signal, requests, level)
                shares = shares_of(cell, counts[requests])
                if due[level]:
                    values = list(shares.values())
                    self._spreads[requests].learn(signal, level, values)
                floors = self._test(cell, shares, floors, best)
        several = self._recent(self._sources, now) >= MIN_SOURCES
        for name, track in self._tracks.items():
            track.explanation = self._finish(now, track, best[name], several)
            if due[RATE_LEVEL]:
                track.learn_usual(now)
        if due[RATE_LEVEL]:
            for mark in self._marks.values():
                mark.follow()
        return {name: track.explanation for name, track in self._tracks.items()}

    def _counts(self, now: float) -> dict[RequestClass, dict[str, list[Counts]]]:
        """Return the counts of every instance in every window."""
        counts: dict[RequestClass, dict[str, list[Counts]]] = {
            one: {} for one in RequestClass
        }
        for name, track in self._tracks.items():
            idempotent, others = (track.windows[one].counts(now) for one in CLASSES)
            counts[RequestClass.IDEMPOTENT][name] = idempotent
            counts[RequestClass.NON_IDEMPOTENT][name] = others
            sums = [sum_counts(*pair) for pair in zip(idempotent, others)]
            counts[RequestClass.ALL][name] = sums
        return counts

    def _due(self, now: float) -> list[bool]:
        """Return for each window whether it holds wholly new counts."""
        due = []
        for level, length_s in enumerate(LENGTHS_S):
            due.append(now - self._learned_at[level] >= length_s)
            if due[level]:
                self._learned_at[level] = now
        return due

    def _test(
        self,
        cell: Cell,
        shares: dict[str, Share],
        floors: dict[str, float],
        best: dict[str, Explanation],
    ) -> dict[str, float]:
        """Test every instance in one window and return what was allowed.

        Few attempts of the peers fit into a short window: what the next longer
        one allowed is allowed as well, lest their chance good luck counts
        against an instance.
        """
        values = list(shares.values())
        if not any(share.hits for share in values):
            return floors
        scored = self._score(cell, shares, floors)
        spread = self._spreads[cell.requests].value(cell.signal, cell.level)
        worst = max(one.ratio for one in scored)
        if worst > CALM_SCORE * spread:
            spread = max(spread, self._present_spread(cell, values))
        for one in scored:
            if one.ratio / spread > best[one.name].score:
                best[one.name] = Explanation(
                    score=one.ratio / spread,
                    signal=cell.signal,
                    requests=cell.requests,
                    window_s=LENGTHS_S[cell.level],
                    hits=one.own.hits,
                    total=one.own.total,
                    peer_share=one.allowed,
                )
        if cell.level == len(LENGTHS_S) - 1:
            return {}
        return {one.name: one.allowed for one in scored}

    def _score(
        self, cell: Cell, shares: dict[str, Share], floors: dict[str, float]
    ) -> list[_Scored]:
        """Return the evidence against each instance that showed the signal."""
        scored = []
        peers = peer_shares(list(shares.values()))
        for (name, own), others in zip(shares.items(), peers):
            if own.hits <= 0:
                continue
            allowed = self._allowed(cell, self._tracks[name], others)
            allowed = max(allowed, floors.get(name, 0.0))
            ratio = likelihood_ratio(own, others, allowed)
            scored.append(_Scored(name, own, allowed, ratio))
        return scored

    def _present_spread(self, cell: Cell, shares: list[Share]) -> float:
        """Return how much instances differ by chance now, estimated cautiously.

        Queues make slow answers come in long runs as soon as the whole service
        slows down, before the learned value follows; an estimate from few
        instances may be far too low.
        """
        present = dispersion(shares) or 1.0
        if cell.signal is Signal.FAILED:
            return present
        present *= max(mark.strain for mark in self._marks.values())
        if cell.signal is Signal.LOST:
            return present
        return present * (1 + SPREAD_DOUBT / math.sqrt(len(shares)))

    def _is_warming(self, track: Track, now: float) -> bool:
        """Return whether an instance that came later is still in its cold start.

        Its slow answers are no evidence then; its failures are.
        """
        is_later = track.new_since - self._began_at > WARM_UP_S
        return is_later and now - track.new_since < WARM_UP_S

    def _allowed(self, cell: Cell, track: Track, peers: Share) -> float:
        """Return the share allowed by the peers' present and the own past."""
        allowance = ALLOWANCES[cell.signal]
        allowed = allowed_share(peers, allowance)
        if cell.signal is Signal.SLOW:
            is_idempotent = cell.requests is RequestClass.IDEMPOTENT
            usual = min(track.usual_slow[is_idempotent], LARGEST_USUAL_SLOW_SHARE)
            past = Share(usual * allowance.prior_total, allowance.prior_total)
            allowed = max(allowed, allowed_share(past, allowance))
        return allowed

    def _finish(
        self, now: float, track: Track, found: Explanation, several: bool
    ) -> Explanation:
        sources = self._recent(track.bad_sources, now)
        if not several or found.signal is Signal.SLOW:
            sources = max(sources, MIN_SOURCES)
        track.end_probation(now)
        return found._replace(
            sources=sources,
            on_probation=track.probation_at is not None,
            in_work=not track.is_out(now),
            strikes=round(track.hold.strikes(now)),
        )

    @staticmethod
    def _recent(sources: dict[str, float], now: float) -> int:
        """Forget entry hosts not heard of lately and count the others."""
        stale = [one for one, at in sources.items() if now - at > SOURCE_MEMORY_S]
        for one in stale:
            del sources[one]
        return len(sources)

    def weights(self, now: float, limit: float) -> dict[str, float]:
        """Return the weight of each instance that should get less work."""
        weights = {}
        for name, track in self._tracks.items():
            weight = track.weight(now, limit)
            if weight < 1.0:
                weights[name] = weight
        return weights

    def verdicts(self, now: float, limit: float) -> list[Verdict]:
        """Return a verdict on each instance, worst first.

        Evidence ends with the work: an instance that was ejected some seconds
        ago counts as well, so that it comes back on trial after its hold.
        """
        explanations = self.explain(now)
        sick = find_unhealthy(explanations, limit)
        sick -= {name for name, track in self._tracks.items() if track.is_out(now)}
        found = [
            Verdict(name, name in sick, one.score) for name, one in explanations.items()
        ]
        return sorted(found, key=lambda one: (not one.is_sick, -one.score))
