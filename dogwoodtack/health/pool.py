"""The pooled evidence on one service, and what it says of each instance."""

import math
from typing import NamedTuple

from .evidence import BUCKETS_PER_OCTAVE
from .holds import Hold
from .learned import SlowMark, Spread
from .messages import Explanation, RequestClass, Signal, Verdict
from .scores import (
    Allowance,
    Share,
    allowed_share,
    dispersion,
    likelihood_ratio,
    peer_shares,
)
from .windows import LENGTHS_S, Counts, Windows

__all__ = ["Pool", "judge"]

CLASSES = (True, False)
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
PROBATION_S = 20.0
PROBATION_WEIGHT = 0.1
SICK_WEIGHT = 0.05
DOUBTFUL = 0.5
WARM_UP_S = 30.0
QUIET_S = 60.0
OUT_OF_WORK_S = 8.0
SOURCE_MEMORY_S = 81.0
MIN_SOURCES = 2
RATE_LEVEL = 2
REPORTED_LATE_LEVELS = 2
CALM_SCORE = 4.0
SPREAD_DOUBT = 2.0
USUAL_SLOW_SHARE = 0.25
LARGEST_USUAL_SLOW_SHARE = 0.5
PAST_STEP = 0.03

ALLOWANCES = {
    Signal.FAILED: Allowance(2.0, 0.002, 0.01, 10.0),
    Signal.SLOW: Allowance(2.0, 0.0, USUAL_SLOW_SHARE, 10.0),
    Signal.LOST: Allowance(3.0, 0.005, 0.01, 10.0),
}


class Track:
    """What is known of one instance."""

    def __init__(self, now: float) -> None:
        self.windows = {is_idempotent: Windows() for is_idempotent in CLASSES}
        self.hold = Hold()
        self.new_since = now
        self.seen_at = -math.inf
        self.probation_at: float | None = None
        self.lowered_until = 0.0
        self.bad_sources: dict[str, float] = {}
        self.usual_slow = dict.fromkeys(CLASSES, USUAL_SLOW_SHARE)
        self.explanation = Explanation()
        self.is_sick = False
        self.was_sick = False

    def is_out(self, now: float) -> bool:
        """Return whether an instance was suspect and gets no work any more."""
        return self.was_sick and now - self.seen_at > OUT_OF_WORK_S

    def begin_probation(self, now: float) -> None:
        """Drop the evidence, not what is usual for the instance."""
        self.windows = {is_idempotent: Windows() for is_idempotent in CLASSES}
        self.bad_sources.clear()
        self.explanation = Explanation()
        self.probation_at = now
        self.lowered_until = 0.0
        self.is_sick = False
        self.was_sick = False
        self.hold.note_return(now)


class _Cell(NamedTuple):
    """One test: a signal in some requests over one window."""

    signal: Signal
    requests: RequestClass
    level: int


def judge(explanations: dict[str, Explanation], limit: float) -> set[str]:
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
            if not _is_seen(signal, counts[requests]):
                continue
            floors: dict[str, float] = {}
            for level in reversed(range(len(LENGTHS_S))):
                cell = _Cell(signal, requests, level)
                shares = _shares(cell, counts[requests])
                if due[level]:
                    values = list(shares.values())
                    self._spreads[requests].learn(signal, level, values)
                floors = self._test(cell, shares, floors, best)
        several = self._recent(self._sources, now) >= MIN_SOURCES
        for name, track in self._tracks.items():
            track.explanation = self._finish(now, track, best[name], several)
            if due[RATE_LEVEL]:
                self._learn_usual(now, track)
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
            sums = [_sum(*pair) for pair in zip(idempotent, others)]
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
        cell: _Cell,
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
        is_longest = cell.level == len(LENGTHS_S) - 1
        allowances = {}
        scored = []
        for name, own, peers in zip(shares, values, peer_shares(values)):
            track = self._tracks[name]
            if own.hits <= 0:
                continue
            allowed = self._allowed(cell, track, peers)
            allowed = max(allowed, floors.get(name, 0.0))
            if not is_longest:
                allowances[name] = allowed
            ratio = likelihood_ratio(own, peers, allowed)
            scored.append((ratio, name, own, allowed))
        spread = self._spreads[cell.requests].value(cell.signal, cell.level)
        worst = max((ratio for ratio, *_ in scored), default=0.0)
        if worst > CALM_SCORE * spread:
            spread = max(spread, self._present_spread(cell, values))
        for ratio, name, own, allowed in scored:
            if ratio / spread > best[name].score:
                best[name] = Explanation(
                    score=ratio / spread,
                    signal=cell.signal,
                    requests=cell.requests,
                    window_s=LENGTHS_S[cell.level],
                    hits=own.hits,
                    total=own.total,
                    peer_share=allowed,
                )
        return allowances

    def _present_spread(self, cell: _Cell, shares: list[Share]) -> float:
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

    def _allowed(self, cell: _Cell, track: Track, peers: Share) -> float:
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
        if track.probation_at is not None and now - track.probation_at > PROBATION_S:
            track.probation_at = None
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

    @staticmethod
    def _learn_usual(now: float, track: Track) -> None:
        """Follow an instance's ordinary share of slow answers while it is calm."""
        if track.explanation.score > CALM_SCORE or now - track.new_since < WARM_UP_S:
            return
        for is_idempotent in CLASSES:
            counts = track.windows[is_idempotent].counts(now)[RATE_LEVEL]
            answered = counts.total - counts.failed
            if answered > 0:
                usual = track.usual_slow[is_idempotent]
                seen = counts.slow / answered
                track.usual_slow[is_idempotent] += PAST_STEP * (seen - usual)

    def weights(self, now: float, limit: float) -> dict[str, float]:
        """Return the weight of each instance that should get less work."""
        weights = {}
        for name, track in self._tracks.items():
            weight = _weight(now, track, limit)
            if weight < 1.0:
                weights[name] = weight
        return weights

    def verdicts(self, now: float, limit: float) -> list[Verdict]:
        """Return a verdict on each instance, worst first.

        Evidence ends with the work: an instance that was ejected some seconds
        ago counts as well, so that it comes back on trial after its hold.
        """
        explanations = self.explain(now)
        sick = judge(explanations, limit)
        sick -= {name for name, track in self._tracks.items() if track.is_out(now)}
        found = [
            Verdict(name, name in sick, one.score) for name, one in explanations.items()
        ]
        return sorted(found, key=lambda one: (not one.is_sick, -one.score))


def _weight(now: float, track: Track, limit: float) -> float:
    """Return from SICK_WEIGHT to 1, falling as the evidence grows."""
    if now < track.lowered_until:
        return SICK_WEIGHT
    doubt = (track.explanation.score / limit - DOUBTFUL) / (1 - DOUBTFUL)
    weight = 1.0 - min(1.0, max(0.0, doubt)) * (1.0 - SICK_WEIGHT)
    if track.probation_at is not None:
        passed = min(1.0, (now - track.probation_at) / PROBATION_S)
        weight = min(weight, PROBATION_WEIGHT + passed * (1.0 - PROBATION_WEIGHT))
    return weight


def _sum(left: Counts, right: Counts) -> Counts:
    return Counts(
        left.total + right.total,
        left.failed + right.failed,
        left.slow + right.slow,
        left.very_slow + right.very_slow,
    )


def _is_seen(signal: Signal, counts: dict[str, list[Counts]]) -> bool:
    """Return whether any instance showed a signal in the longest window."""
    longest = [levels[-1] for levels in counts.values()]
    if signal is Signal.FAILED:
        return any(one.failed for one in longest)
    if signal is Signal.SLOW:
        return any(one.slow for one in longest)
    return any(one.failed or one.very_slow for one in longest)


def _shares(cell: _Cell, counts: dict[str, list[Counts]]) -> dict[str, Share]:
    """Return the counts that one test looks at.

    Entry hosts report bad attempts at once and good ones seconds later, so a
    short window is filled up with the good attempts that are still to come.
    """
    shares = {}
    for name, levels in counts.items():
        one = levels[cell.level]
        total = one.total
        if cell.level < REPORTED_LATE_LEVELS:
            usual = levels[RATE_LEVEL].total / LENGTHS_S[RATE_LEVEL]
            total = max(total, usual * LENGTHS_S[cell.level])
        if cell.signal is Signal.FAILED:
            shares[name] = Share(one.failed, total)
        elif cell.signal is Signal.LOST:
            shares[name] = Share(one.failed + one.very_slow, total)
        else:
            shares[name] = Share(one.slow, one.total - one.failed)
    return shares
