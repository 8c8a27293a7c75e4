"""The store's era, as its answers and other hosts name it."""

import time
from collections.abc import Callable

from ..backends import Header
from ..errors import EndedEra, StoreError
from ..logs import LimitedLog
from ..position import parse_era
from ..store import ERA_HEADER

__all__ = ["EraReader"]


class EraReader:
    """Read the era of the store's answers and reject those of an ended era.

    Args:
        monotonic: returns the time in seconds; limits the log lines.

    Attributes:
        era: the highest era known; an answer without one belongs to it.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        self._log = LimitedLog(monotonic)
        self.era = 0

    def observe(self, era: int) -> None:
        """Take a known era if it is higher than the one known so far."""
        self.era = max(self.era, era)

    def check(self, headers: list[Header]) -> StoreError | None:
        """Read the era of an answer; return the error if the answer is unusable."""
        values = [value for name, value in headers if name.lower() == ERA_HEADER]
        if not values:
            return None
        try:
            if len(values) > 1:
                raise ValueError(f"{len(values)} eras in one answer")
            era = parse_era(values[0].decode("latin-1").strip())
        except ValueError as exc:
            self._log.warn("store-era-unusable", error=str(exc))
            return StoreError(f"the store's era is unusable: {exc}")
        if era < self.era:
            return EndedEra(f"the answer is of era {era}, before {self.era}")
        self.era = era
        return None
