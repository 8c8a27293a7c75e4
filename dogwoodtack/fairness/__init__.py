"""Fair shares of instances' time among organisations."""

from .ledger import UsageLedger

__all__ = ["UsageLedger"]
