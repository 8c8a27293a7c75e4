"""The combined evidence of all entry hosts on one service, and its tests."""

import math
from typing import NamedTuple

from .baseline import Dispersion, SlowThreshold
from .comparisons import Comparison, is_signal_present, shares_for, sum_counts
from .evidence import BUCKETS_PER_OCTAVE
from .instance import (
    IDEMPOTENCY_CLASSES,
    NOISE_SCORE_NATS,
    PRIOR_SLOW_SHARE,
    WARM_UP_S,
    InstanceHealth,
)
from .messages import Explanation, RequestClass, Signal, Verdict
from .scores import (
    Allowance,
    Share,
    allowed_share,
    dispersion,
    likelihood_ratio,
    peer_shares,
)
from .windows import RATE_WINDOW, WINDOW_LENGTHS_S, Counts

__all__ = ["EvidencePool", "find_unhealthy"]

TESTED_SIGNALS = (
    (Signal.FAILED, RequestClass.ALL),
    (Signal.FAILED, RequestClass.NON_IDEMPOTENT),
    (Signal.LOST, RequestClass.ALL),
    (Signal.LOST, RequestClass.NON_IDEMPOTENT),
    (Signal.SLOW, RequestClass.IDEMPOTENT),
    (Signal.SLOW, RequestClass.NON_IDEMPOTENT),
)
MAX_UNHEALTHY_SHARE = 0.5
PROBATION_BONUS_NATS = 3.0
INACTIVE_S = 60.0
SOURCE_TTL_S = 81.0
MIN_SOURCES = 2
DISPERSION_MARGIN = 2.0
MAX_BASELINE_SLOW_SHARE = 0.5

ALLOWANCES = {
    Signal.FAILED: Allowance(2.0, 0.002, 0.01, 10.0),
    Signal.SLOW: Allowance(2.0, 0.0, PRIOR_SLOW_SHARE, 10.0),
    Signal.LOST: Allowance(3.0, 0.005, 0.01, 10.0),
}


class _TestResult(NamedTuple):
    """The result of one test for one instance."""

    name: str
    own: Share
    allowed: float
    ratio: float


def find_unhealthy(explanations: dict[str, Explanation], threshold: float) -> set[str]:
    """Return the instances whose evidence reaches a threshold in nats.

    Failures that only one entry host reports point to its network path, not to the
    instance.  When more than half of the instances stand out, the comparison with
    peers is meaningless and none is returned.
    """
    unhealthy = {
        name
        for name, one in explanations.items()
        if one.score + (PROBATION_BONUS_NATS if one.on_probation else 0.0) >= threshold
        and one.score > 0
        and one.sources >= MIN_SOURCES
    }
    if len(unhealthy) > MAX_UNHEALTHY_SHARE * len(explanations):
        return set()
    return unhealthy


class EvidencePool:
    """Collect the attempt counts of one service's instances and test them."""

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._instances: dict[str, InstanceHealth] = {}
        self._sources: dict[str, float] = {}
        self._slow_thresholds = {
            one: SlowThreshold(BUCKETS_PER_OCTAVE) for one in IDEMPOTENCY_CLASSES
        }
        self._dispersions = {one: Dispersion() for one in RequestClass}
        self._learned_at = [now] * len(WINDOW_LENGTHS_S)

    def instance(self, instance: str, now: float) -> InstanceHealth:
        """Return an instance's state, created if there is none."""
        state = self._instances.get(instance)
        if state is None:
            state = self._instances[instance] = InstanceHealth(now)
        return state

    def instances(self) -> dict[str, InstanceHealth]:
        """Return the state of every instance by its name."""
        return self._instances

    def retain(self, instances: set[str]) -> None:
        """Drop all instances but the given ones."""
        for name in self._instances.keys() - instances:
            del self._instances[name]

    def add(
        self,
        now: float,
        source: str,
        instance: str,
        is_idempotent: bool,
        failed: int,
        latencies: dict[int, int],
    ) -> bool:
        """Add one entry host's counts for one instance and request class.

        Args:
            now: monotonic time in seconds.
            source: the entry host that counted.
            instance: the instance's name.
            is_idempotent: the request class.
            failed: number of failed attempts.
            latencies: number of successful attempts by latency bucket.

        Returns:
            Whether any attempt failed or was very slow.
        """
        state = self.instance(instance, now)
        if state.is_out_of_rotation(now):
            state.begin_probation(now)
        if now - state.seen_at > INACTIVE_S:
            state.active_since = now
        state.seen_at = now
        slow = very_slow = 0
        if not self._is_warming_up(state, now):
            slow, very_slow = self._count_slow(is_idempotent, latencies)
        total = sum(latencies.values()) + failed
        counts = Counts(total, failed, slow, very_slow)
        state.windows[is_idempotent].add(now, counts)
        self._sources[source] = now
        is_bad = failed + very_slow > 0
        if is_bad:
            state.failure_sources[source] = now
        return is_bad

    def _count_slow(
        self, is_idempotent: bool, latencies: dict[int, int]
    ) -> tuple[int, int]:
        """Return how many successful responses were slow, and very slow."""
        slow = very_slow = 0
        slow_threshold = self._slow_thresholds[is_idempotent]
        for bucket, count in latencies.items():
            slow_threshold.observe(bucket, count)
            if bucket > slow_threshold.slow_bucket:
                slow += count
                if bucket > slow_threshold.very_slow_bucket:
                    very_slow += count
        return slow, very_slow

    def evaluate(self, now: float) -> dict[str, Explanation]:
        """Test every instance and return the strongest evidence against each."""
        best = {name: Explanation() for name in self._instances}
        due = self._due_windows(now)
        counts = self._counts(now)
        for signal, requests in TESTED_SIGNALS:
            if not is_signal_present(signal, counts[requests]):
                continue
            min_allowed: dict[str, float] = {}
            for window_index in reversed(range(len(WINDOW_LENGTHS_S))):
                comparison = Comparison(signal, requests, window_index)
                shares = shares_for(comparison, counts[requests])
                if due[window_index]:
                    values = list(shares.values())
                    self._dispersions[requests].observe(signal, window_index, values)
                min_allowed = self._test_window(comparison, shares, min_allowed, best)
        has_several_sources = self._count_recent(self._sources, now) >= MIN_SOURCES
        for name, state in self._instances.items():
            state.explanation = self._complete(
                now, state, best[name], has_several_sources
            )
            if due[RATE_WINDOW]:
                state.update_baseline(now)
        if due[RATE_WINDOW]:
            for slow_threshold in self._slow_thresholds.values():
                slow_threshold.update_baseline()
        return {name: state.explanation for name, state in self._instances.items()}

    def _counts(self, now: float) -> dict[RequestClass, dict[str, list[Counts]]]:
        """Return the counts of every instance in every window."""
        counts: dict[RequestClass, dict[str, list[Counts]]] = {
            one: {} for one in RequestClass
        }
        for name, state in self._instances.items():
            idempotent, others = (
                state.windows[one].counts(now) for one in IDEMPOTENCY_CLASSES
            )
            counts[RequestClass.IDEMPOTENT][name] = idempotent
            counts[RequestClass.NON_IDEMPOTENT][name] = others
            sums = [sum_counts(*pair) for pair in zip(idempotent, others)]
            counts[RequestClass.ALL][name] = sums
        return counts

    def _due_windows(self, now: float) -> list[bool]:
        """Return for each window whether its length passed since it was last due.

        Dispersions and baselines are learned from counts that do not overlap.
        """
        due = []
        for window_index, length_s in enumerate(WINDOW_LENGTHS_S):
            due.append(now - self._learned_at[window_index] >= length_s)
            if due[window_index]:
                self._learned_at[window_index] = now
        return due

    def _test_window(
        self,
        comparison: Comparison,
        shares: dict[str, Share],
        min_allowed: dict[str, float],
        best: dict[str, Explanation],
    ) -> dict[str, float]:
        """Test every instance in one window and return the shares allowed.

        A short window holds few attempts of the peers, which may all have succeeded
        by chance: the share allowed in the next longer window is allowed here too.

        Args:
            comparison: the signal, requests and window to test.
            shares: each instance's share in the window.
            min_allowed: the shares allowed in the next longer window.
            best: the strongest evidence by instance so far, updated in place.
        """
        values = list(shares.values())
        if not any(share.hits for share in values):
            return min_allowed
        results = self._test_instances(comparison, shares, min_allowed)
        overdispersion = self._dispersions[comparison.requests].value(
            comparison.signal, comparison.window_index
        )
        max_ratio = max(one.ratio for one in results)
        if max_ratio > NOISE_SCORE_NATS * overdispersion:
            overdispersion = max(
                overdispersion, self._current_dispersion(comparison, values)
            )
        for one in results:
            if one.ratio / overdispersion > best[one.name].score:
                best[one.name] = Explanation(
                    score=one.ratio / overdispersion,
                    signal=comparison.signal,
                    requests=comparison.requests,
                    window_s=WINDOW_LENGTHS_S[comparison.window_index],
                    hits=one.own.hits,
                    total=one.own.total,
                    peer_share=one.allowed,
                )
        if comparison.window_index == len(WINDOW_LENGTHS_S) - 1:
            return {}
        return {one.name: one.allowed for one in results}

    def _test_instances(
        self,
        comparison: Comparison,
        shares: dict[str, Share],
        min_allowed: dict[str, float],
    ) -> list[_TestResult]:
        """Return the test result of each instance that showed the signal."""
        results = []
        peers = peer_shares(list(shares.values()))
        for (name, own), peer_share in zip(shares.items(), peers):
            if own.hits <= 0:
                continue
            allowed = self._allowed_share(comparison, self._instances[name], peer_share)
            allowed = max(allowed, min_allowed.get(name, 0.0))
            ratio = likelihood_ratio(own, peer_share, allowed)
            results.append(_TestResult(name, own, allowed, ratio))
        return results

    def _current_dispersion(self, comparison: Comparison, shares: list[Share]) -> float:
        """Return a conservative estimate of the current dispersion.

        Queues make slow responses come in long runs as soon as the whole service
        slows down, before the learned value adapts.  An estimate from few instances
        may be far too low.
        """
        current = dispersion(shares) or 1.0
        if comparison.signal is Signal.FAILED:
            return current
        current *= max(one.slowdown_factor for one in self._slow_thresholds.values())
        if comparison.signal is Signal.LOST:
            return current
        return current * (1 + DISPERSION_MARGIN / math.sqrt(len(shares)))

    def _is_warming_up(self, state: InstanceHealth, now: float) -> bool:
        """Return whether an instance that was added later is still warming up.

        Meanwhile its slow responses are not counted; its failures are.
        """
        is_later = state.active_since - self._started_at > WARM_UP_S
        return is_later and now - state.active_since < WARM_UP_S

    def _allowed_share(
        self, comparison: Comparison, state: InstanceHealth, peers: Share
    ) -> float:
        """Return the larger of the shares allowed by the peers and by the baseline."""
        allowance = ALLOWANCES[comparison.signal]
        allowed = allowed_share(peers, allowance)
        if comparison.signal is Signal.SLOW:
            is_idempotent = comparison.requests is RequestClass.IDEMPOTENT
            baseline = min(
                state.baseline_slow_shares[is_idempotent], MAX_BASELINE_SLOW_SHARE
            )
            expected = Share(baseline * allowance.prior_total, allowance.prior_total)
            allowed = max(allowed, allowed_share(expected, allowance))
        return allowed

    def _complete(
        self,
        now: float,
        state: InstanceHealth,
        explanation: Explanation,
        has_several_sources: bool,
    ) -> Explanation:
        sources = self._count_recent(state.failure_sources, now)
        if not has_several_sources or explanation.signal is Signal.SLOW:
            sources = max(sources, MIN_SOURCES)
        state.end_probation(now)
        return explanation._replace(
            sources=sources,
            on_probation=state.probation_started_at is not None,
            in_work=not state.is_out_of_rotation(now),
            strikes=round(state.ejection_backoff.strikes(now)),
        )

    @staticmethod
    def _count_recent(sources: dict[str, float], now: float) -> int:
        """Remove entry hosts without recent reports and count the others."""
        stale = [one for one, at in sources.items() if now - at > SOURCE_TTL_S]
        for one in stale:
            del sources[one]
        return len(sources)

    def weights(self, now: float, threshold: float) -> dict[str, float]:
        """Return the weight of each instance whose weight is below 1."""
        weights = {}
        for name, state in self._instances.items():
            weight = state.weight(now, threshold)
            if weight < 1.0:
                weights[name] = weight
        return weights

    def verdicts(self, now: float, threshold: float) -> list[Verdict]:
        """Return a verdict on each instance, worst first.

        An instance without attempts yields no evidence: one that was taken out of
        rotation some seconds ago counts as healthy, so that it can return on
        probation when its ejection time has passed.
        """
        explanations = self.evaluate(now)
        unhealthy = find_unhealthy(explanations, threshold)
        unhealthy -= {
            name
            for name, state in self._instances.items()
            if state.is_out_of_rotation(now)
        }
        verdicts = [
            Verdict(name, name in unhealthy, one.score)
            for name, one in explanations.items()
        ]
        return sorted(verdicts, key=lambda one: (not one.is_sick, -one.score))
