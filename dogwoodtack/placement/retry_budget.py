"""Retry budget of a service, and the share of it that one host may spend."""

import math
from collections import deque
from typing import NamedTuple

__all__ = ["RetryBudget", "RetryRules"]

# The counts of other hosts are not known exactly, so a part of the budget stays unused.
USABLE_RATIO_SHARE = 0.85
USABLE_SLACK_SHARE = 0.6
# Share of the budget that is reserved for non-idempotent requests.  They can only be
# retried if an instance did not execute them; they are the urgent ones, and nothing
# else helps them.
NON_IDEMPOTENT_SHARE = 0.25


class RetryRules(NamedTuple):
    """Limits of the retry budget that all hosts share for each service.

    Attributes:
        ratio: retries allowed for each request in the window.
        window_s: length of the sliding window in seconds.
        slack: further retries allowed in the window, summed over all hosts.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 56.0


class RetryBudget:
    """Limits the retries of one service over a sliding window.

    Load pattern: when many instances fail at once, every request would be
    retried, and the retries alone would overload the remaining instances.
    """

    def __init__(self, rules: RetryRules) -> None:
        self._rules = rules
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Record a request of the service."""
        self._requests.append(now)

    def remaining(self, now: float, hosts: int, is_idempotent: bool = False) -> int:
        """Return how many retries this host may still send.

        Args:
            now: seconds on the monotonic clock.
            hosts: how many hosts share the slack; 0 if this host has no part in it.
            is_idempotent: whether the retries are of idempotent requests.
        """
        self._drop_old(now)
        allowed = USABLE_RATIO_SHARE * self._rules.ratio * len(self._requests)
        if hosts:
            allowed += USABLE_SLACK_SHARE * self._rules.slack / hosts
        if is_idempotent:
            allowed *= 1.0 - NON_IDEMPOTENT_SHARE
        return math.floor(allowed) - len(self._retries)

    def try_spend(self, now: float, hosts: int, is_idempotent: bool = False) -> bool:
        """Spend one retry if one is left, and return whether it was."""
        if self.remaining(now, hosts, is_idempotent) <= 0:
            return False
        self._retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        start = now - self._rules.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()
