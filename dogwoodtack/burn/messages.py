"""Requests, objectives and the burn report."""

from typing import NamedTuple, TypedDict

from ..errors import ErrorKind, Outcome

__all__ = [
    "BurnPoint",
    "BurnReport",
    "BurnRow",
    "Objective",
    "RequestResult",
    "SeriesKey",
    "is_bad",
]

FIRST_SERVER_ERROR_STATUS = 500
CALLER_ERRORS = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.HEADERS_TOO_LARGE,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.CALLER_TIMEOUT,
        ErrorKind.VERSION_UNSUPPORTED,
        ErrorKind.NO_ROUTE,
        ErrorKind.KEY_MALFORMED,
        ErrorKind.KEY_MISSING,
        ErrorKind.KEY_REUSED,
        ErrorKind.KEY_IN_FLIGHT,
    }
)


class Objective(NamedTuple):
    """The service level objective of a service.

    Attributes:
        good_ratio: the share of requests that must be good, below 1.
        slow_s: seconds after which a request counts as bad.
    """

    good_ratio: float
    slow_s: float


class RequestResult(NamedTuple):
    """The result of one request as its caller saw it.

    Attributes:
        service: the service's name.
        is_idempotent: whether the request may run more than once.
        outcome: whether the request ran, as reported to the caller.
        status: HTTP status.
        latency_s: seconds from the request's head to the response's head.
        is_complete: whether the complete response was handed over.
        error: why the entry host itself responded, None if a backend server did.
        is_caller_gone: whether the caller disconnected before its response.
    """

    service: str
    is_idempotent: bool
    outcome: Outcome
    status: int
    latency_s: float
    is_complete: bool
    error: ErrorKind | None = None
    is_caller_gone: bool = False


class SeriesKey(NamedTuple):
    """What the requests of one series have in common."""

    service: str
    is_idempotent: bool


class BurnRow(TypedDict):
    """Counts of one service, idempotency and window.

    `burn` is how many times faster than allowed the error budget is spent; 1
    spends it exactly by the end of the objective's period.
    """

    service: str
    idempotent: bool
    window_s: int
    total: int
    bad: int
    good_ratio: float
    burn: float


class BurnPoint(TypedDict):
    """Counts of one time bucket of a service and idempotency.

    `age_s` is the age of the bucket in seconds.
    """

    service: str
    idempotent: bool
    age_s: int
    total: int
    bad: int


class BurnReport(TypedDict):
    """The rows of the table and the points for a plot."""

    rows: list[BurnRow]
    points: list[BurnPoint]


def is_bad(result: RequestResult, objective: Objective) -> bool:
    """Return whether a request spends its service's error budget."""
    if result.error in CALLER_ERRORS:
        return False
    if result.outcome is not Outcome.RAN or not result.is_complete:
        return True
    return (
        result.status >= FIRST_SERVER_ERROR_STATUS
        or result.latency_s > objective.slow_s
    )
