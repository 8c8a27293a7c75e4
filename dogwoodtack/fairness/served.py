"""How often requests of each kind are served, and which kinds are starved."""

from .ledger import UsageLedger

__all__ = ["ServedShares"]

# A kind whose requests get a slot less often than this share of the mean is starved.
# The requirement is a quarter; the rest covers what a host does not see of the others.
STARVED_SHARE = 0.4
# Recent arrivals from which on the share of a kind is meaningful.
MIN_ARRIVALS = 4.0


class ServedShares:
    """Compare how often each kind of request gets a slot, over the last seconds.

    Load pattern: urgent requests alone use all slots for longer than others can wait.
    """

    def __init__(self) -> None:
        self._arrivals = UsageLedger()
        self._grants = UsageLedger()

    def on_arrival(self, kind: str, now: float) -> None:
        """Count a request that needs a slot."""
        self._arrivals.record(kind, 1.0, now)

    def on_grant(self, kind: str, now: float) -> None:
        """Count a request that got a slot."""
        self._grants.record(kind, 1.0, now)

    def is_starved(self, kind: str, now: float) -> bool:
        """Return whether a kind gets slots far less often than the mean."""
        arrivals = self._arrivals.usage_s(kind, now)
        if arrivals < MIN_ARRIVALS:
            return False
        share = self._grants.usage_s(kind, now) / arrivals
        mean = self._grants.total_usage_s(now) / self._arrivals.total_usage_s(now)
        return share < STARVED_SHARE * mean
