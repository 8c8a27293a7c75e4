"""What is learned from one attempt at one instance."""

import enum
from typing import NamedTuple

__all__ = ["Sample", "SampleKind", "Verdict"]


class SampleKind(enum.StrEnum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    CUT = "cut"
    MALFORMED = "malformed"
    SHED = "shed"


class Sample(NamedTuple):
    """One attempt's outcome.

    Attributes:
        service: the service's name.
        instance: the instance's name.
        is_idempotent: the request's class.
        kind: how the attempt ended.
        latency_s: seconds from dispatch to the answer's head, or to the failure.
        at: monotonic time in seconds.
    """

    service: str
    instance: str
    is_idempotent: bool
    kind: SampleKind
    latency_s: float
    at: float


class Verdict(NamedTuple):
    """What the evidence says of one instance.

    Attributes:
        instance: the instance's name.
        is_sick: whether the evidence passed the service's threshold.
        score: how strong the evidence is; higher is more surely sick.
    """

    instance: str
    is_sick: bool
    score: float
