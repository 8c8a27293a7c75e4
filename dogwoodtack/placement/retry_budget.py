"""The share of a service's retry budget that one host may spend."""

import math
from collections import deque
from typing import NamedTuple

__all__ = ["RetryBudget", "RetryRules"]

# Other hosts' counts are not known exactly, so a part of the budget is kept back.
RATIO_SHARE = 0.85
SLACK_SHARE = 0.6
# The last part of the budget is for requests that can only be sent again where they
# were turned away unexecuted: they are the urgent ones, and have no other help.
KEPT_SHARE = 0.25


class RetryRules(NamedTuple):
    """The budget that all hosts share, for each service.

    Attributes:
        ratio: repeats allowed for each request in the window.
        window_s: length of the sliding window.
        slack: repeats allowed besides, summed over all hosts.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 56.0


class RetryBudget:
    """Count requests and repeats of one service over a sliding window.

    Load pattern: when many instances fail at once, every request would be
    repeated and the repeats alone would overload what is left.
    """

    def __init__(self, rules: RetryRules) -> None:
        self._rules = rules
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Note a request of the service."""
        self._requests.append(now)

    def remaining(self, now: float, hosts: int, is_idempotent: bool = False) -> int:
        """Return how many repeats this host may still send.

        Args:
            now: seconds on the monotonic clock.
            hosts: how many hosts share the slack; 0 if this host has no part in it.
            is_idempotent: whether they are of requests that may run more than once.
        """
        self._trim(now)
        allowed = RATIO_SHARE * self._rules.ratio * len(self._requests)
        if hosts:
            allowed += SLACK_SHARE * self._rules.slack / hosts
        if is_idempotent:
            allowed *= 1.0 - KEPT_SHARE
        return math.floor(allowed) - len(self._repeats)

    def try_spend(self, now: float, hosts: int, is_idempotent: bool = False) -> bool:
        """Spend one repeat if there is one left."""
        if self.remaining(now, hosts, is_idempotent) <= 0:
            return False
        self._repeats.append(now)
        return True

    def _trim(self, now: float) -> None:
        start = now - self._rules.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < start:
                times.popleft()
