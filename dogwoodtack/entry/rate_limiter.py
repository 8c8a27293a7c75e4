"""Rate limits of organisations, as requests meet them."""

from ..clock import Clock
from ..logs import log_event
from ..quotas import Quotas
from ..routing import Organisation

__all__ = ["RateLimiter"]

# An organisation far above its limit is refused hundreds of times a second.
LINES_PER_S = 3


class RateLimiter:
    """Admit requests within the limits, and log some of those that are refused.

    Args:
        clock: the clock.
        quotas: the limits.
    """

    def __init__(self, clock: Clock, quotas: Quotas) -> None:
        self._clock = clock
        self._quotas = quotas
        self._current_second = 0
        self._lines_this_second = 0

    def try_admit(self, organisation: Organisation) -> float | None:
        """Admit a request, or return after how many seconds it may come again."""
        now = self._clock.monotonic()
        retry_after_s = self._quotas.try_admit(organisation.name, now)
        if retry_after_s is not None and self._may_log(now):
            self._log_rejected(organisation, retry_after_s, now)
        return retry_after_s

    def _log_rejected(
        self, organisation: Organisation, retry_after_s: float, now: float
    ) -> None:
        decision = self._quotas.decision(organisation.name, now)
        inputs = decision._asdict() if decision is not None else {}
        log_event(
            "rate-limit-rejected",
            organisation=organisation.name,
            limit_per_s=organisation.rate_per_s,
            burst=organisation.burst,
            retry_after_s=round(retry_after_s, 2),
            **{name: round(value, 3) for name, value in inputs.items()},
            refused=self._quotas.refused,
        )

    def refund(self, organisation: Organisation) -> None:
        """Return the allowance of an admitted request that ran at no instance."""
        self._quotas.refund(organisation.name, self._clock.monotonic())

    def _may_log(self, now: float) -> bool:
        second = int(now)
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        return self._lines_this_second <= LINES_PER_S
