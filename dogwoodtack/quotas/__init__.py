"""One rate limit of each organisation, kept by all entry hosts together."""

from .bucket import TokenBucket
from .quotas import Decision, QuotaBounds, Quotas
from .zone_totals import OrganisationTotal, ZoneTotals

__all__ = [
    "Decision",
    "OrganisationTotal",
    "QuotaBounds",
    "Quotas",
    "TokenBucket",
    "ZoneTotals",
]
