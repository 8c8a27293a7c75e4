"""Attempt outcomes, and the conclusions drawn from them."""

import enum
from typing import NamedTuple

__all__ = ["Explanation", "RequestClass", "Sample", "SampleKind", "Signal", "Verdict"]


class SampleKind(enum.StrEnum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    CUT = "cut"
    MALFORMED = "malformed"
    SHED = "shed"


class Signal(enum.StrEnum):
    """A symptom that an unhealthy instance shows more often than its peers.

    FAILED is any failed attempt.  SLOW is a response slower than three in four
    responses of the service.  LOST is a failed attempt or a response several times
    slower than that.
    """

    FAILED = "failed"
    SLOW = "slow"
    LOST = "lost"


class RequestClass(enum.StrEnum):
    """Which requests a test covers."""

    ALL = "all"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class Sample(NamedTuple):
    """One attempt's outcome.

    Attributes:
        service: the service's name.
        instance: the instance's name.
        is_idempotent: whether the request is idempotent.
        kind: how the attempt ended.
        latency_s: seconds from dispatch to the response headers, or to the failure.
        at: monotonic time in seconds.
    """

    service: str
    instance: str
    is_idempotent: bool
    kind: SampleKind
    latency_s: float
    at: float


class Verdict(NamedTuple):
    """The result of the tests for one instance.

    Attributes:
        instance: the instance's name.
        is_sick: whether the instance is unhealthy: its evidence reached the service's
            threshold.
        score: how strong the evidence is; higher is more likely unhealthy.
    """

    instance: str
    is_sick: bool
    score: float


class Explanation(NamedTuple):
    """The strongest evidence against one instance, for operators.

    Attributes:
        score: the log-likelihood ratio in nats.
        signal: the signal of the strongest test.
        requests: the requests that the test covers.
        window_s: length of the test's window in seconds.
        hits: number of attempts in the window that showed the signal.
        total: number of attempts in the window, with an estimate of those not yet
            reported.
        peer_share: the largest share of hits that the test allows, derived from the
            instance's peers.
        sources: number of entry hosts that reported failed or very slow attempts.
        on_probation: whether the instance is on probation after an ejection.
        in_work: whether it is in rotation: it gets attempts, or got some seconds ago.
        strikes: number of earlier ejections that still lengthen the next one.
    """

    score: float = 0.0
    signal: Signal = Signal.FAILED
    requests: RequestClass = RequestClass.ALL
    window_s: float = 0.0
    hits: float = 0.0
    total: float = 0.0
    peer_share: float = 0.0
    sources: int = 0
    on_probation: bool = False
    in_work: bool = True
    strikes: int = 0
