"""Bounded counters of the requests of each organisation."""

from collections import Counter
from collections.abc import Iterator

__all__ = ["OTHER", "OrganisationCounts"]

# Organisations with counters of their own.
MAX_NAMED = 100
# Organisations whose totals are kept, to see which ones are the largest.
MAX_TRACKED = 1000
# An organisation gets the counters of a named one when it has sent so many times as
# many requests; organisations of equal size don't keep replacing each other.
REPLACEMENT_FACTOR = 2
OTHER = "other"


class OrganisationCounts:
    """Count requests by organisation, with counters for the largest ones.

    Load pattern: thousands of organisations, each of which would make a time series of
    its own.  Requests of the smaller ones are counted together.  The sum of all
    counters is the number of requests.

    Args:
        max_named: how many organisations have counters of their own.
        max_tracked: how many organisations' totals are kept.
    """

    def __init__(
        self, max_named: int = MAX_NAMED, max_tracked: int = MAX_TRACKED
    ) -> None:
        self._max_named = max_named
        self._max_tracked = max_tracked
        self._named: dict[str, Counter[str]] = {}
        self._other: Counter[str] = Counter()
        self._totals: dict[str, int] = {}

    def record(self, organisation: str, result: str) -> None:
        """Count one request.

        Args:
            organisation: the organisation that sent it.
            result: how it ended, one of few words.
        """
        self._totals[organisation] = self._totals.get(organisation, 0) + 1
        if organisation not in self._named and organisation != OTHER:
            self._make_room(organisation)
        self._named.get(organisation, self._other)[result] += 1

    def _make_room(self, organisation: str) -> None:
        """Give an organisation counters of its own if it is among the largest."""
        if len(self._named) < self._max_named:
            self._named[organisation] = Counter()
            return
        smallest = min(self._named, key=self._totals.__getitem__)
        if self._totals[organisation] > REPLACEMENT_FACTOR * self._totals[smallest]:
            self._other += self._named.pop(smallest)
            self._named[organisation] = Counter()
        elif len(self._totals) > self._max_tracked:
            self._totals = {name: self._totals[name] for name in self._named}

    def rows(self) -> Iterator[tuple[str, str, int]]:
        """Yield organisation, result and number of requests for each counter."""
        for name, counts in [*self._named.items(), (OTHER, self._other)]:
            for result, count in counts.items():
                yield name, result, count
