"""Sums over the hosts of a zone of what each host reports of its organisations."""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["OrganisationTotal", "ZoneTotals"]


class OrganisationTotal(NamedTuple):
    """What a host or a zone has done for an organisation since it began to count.

    Attributes:
        organisation: name of the organisation.
        admitted: requests that were admitted and not refunded.
        work_ms: time in milliseconds that they took of instances' slots.
    """

    organisation: str
    admitted: int
    work_ms: int


class ZoneTotals:
    """Sum up the totals of the local zone's other hosts.

    A sum never falls: the total of a host that has restarted is added to what it had
    reported before.
    """

    def __init__(self) -> None:
        self._latest: dict[str, dict[str, OrganisationTotal]] = {}
        self._sums: dict[str, OrganisationTotal] = {}

    def add(self, source: str, totals: Iterable[OrganisationTotal]) -> None:
        """Add what has grown since the source's last totals.

        Args:
            source: the reporting process; one that restarts is another source.
            totals: its totals.  Those that are lower than before are outdated.
        """
        latest = self._latest.setdefault(source, {})
        for total in totals:
            name = total.organisation
            known = latest.get(name, OrganisationTotal(name, 0, 0))
            admitted = max(known.admitted, total.admitted)
            work_ms = max(known.work_ms, total.work_ms)
            latest[name] = OrganisationTotal(name, admitted, work_ms)
            grown = admitted - known.admitted, work_ms - known.work_ms
            self._sums[name] = _plus(self._sums.get(name), name, *grown)

    def drop(self, source: str) -> None:
        """Forget a source that has ended; its part of the sums stays."""
        self._latest.pop(source, None)

    def sums(self, own: Iterable[OrganisationTotal]) -> list[OrganisationTotal]:
        """Return the zone's sums, with the local host's own totals."""
        sums = dict(self._sums)
        for total in own:
            name = total.organisation
            sums[name] = _plus(sums.get(name), name, total.admitted, total.work_ms)
        return list(sums.values())


def _plus(
    sum_: OrganisationTotal | None, name: str, admitted: int, work_ms: int
) -> OrganisationTotal:
    if sum_ is None:
        return OrganisationTotal(name, admitted, work_ms)
    return OrganisationTotal(name, sum_.admitted + admitted, sum_.work_ms + work_ms)
