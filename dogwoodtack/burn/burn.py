"""What callers met, by service and request class."""

from typing import NamedTuple

from ..errors import Outcome

__all__ = ["Burn", "Served"]


class Served(NamedTuple):
    """One request as its caller met it.

    Attributes:
        service: the service's name.
        is_idempotent: the request's class.
        outcome: what the caller was told.
        status: HTTP status.
        latency_s: seconds from the request's head to the answer's end.
        is_whole: whether the whole answer was handed over.
    """

    service: str
    is_idempotent: bool
    outcome: Outcome
    status: int
    latency_s: float
    is_whole: bool


class Burn:
    """Count good and bad requests."""

    def __init__(self) -> None:
        self.served = 0

    def record(self, served: Served) -> None:
        """Take one request that has ended."""
        self.served += 1
