"""Fair shares of instances' time among organisations and kinds of request."""

from .ledger import UsageLedger
from .scope import fair_services
from .served import ServedShares

__all__ = ["ServedShares", "UsageLedger", "fair_services"]
