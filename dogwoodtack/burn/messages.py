"""What the burn report is made of."""

from typing import NamedTuple, TypedDict

from ..errors import ErrorKind, Outcome

__all__ = [
    "BurnPoint",
    "BurnReport",
    "BurnRow",
    "Objective",
    "SeriesKey",
    "RequestResult",
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
    """What a service has promised its callers.

    Attributes:
        good_ratio: share of requests that must be good, below 1.
        slow_s: seconds after which a request counts as bad.
    """

    good_ratio: float
    slow_s: float


class RequestResult(NamedTuple):
    """One request as its caller met it.

    Attributes:
        service: the service's name.
        is_idempotent: the request's class.
        outcome: what the caller was told.
        status: HTTP status.
        latency_s: seconds from the request's head to the answer's head.
        is_complete: whether the complete response was handed over.
        error: why this system itself answered, None for a back end's answer.
        is_caller_gone: whether the caller left before its answer.
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
    """The requests that one line of the report is about."""

    service: str
    is_idempotent: bool


class BurnRow(TypedDict):
    """One service, request class and window.

    `burn` is how many times faster than allowed the error budget was used; 1
    uses it up exactly at the end of the objective's period.
    """

    service: str
    idempotent: bool
    window_s: int
    total: int
    bad: int
    good_ratio: float
    burn: float


class BurnPoint(TypedDict):
    """One stretch of time of a service and class; `age_s` is its age."""

    service: str
    idempotent: bool
    age_s: int
    total: int
    bad: int


class BurnReport(TypedDict):
    """Every row, and the points for a plot."""

    rows: list[BurnRow]
    points: list[BurnPoint]


def is_bad(result: RequestResult, objective: Objective) -> bool:
    """Return whether a request counts against its service's objective."""
    if result.error in CALLER_ERRORS:
        return False
    if result.outcome is not Outcome.RAN or not result.is_complete:
        return True
    return (
        result.status >= FIRST_SERVER_ERROR_STATUS
        or result.latency_s > objective.slow_s
    )
