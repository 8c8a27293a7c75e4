"""What is learned from attempts at instances, and what is concluded."""

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
    """What an instance may do more often than its peers.

    FAILED is any failed attempt; SLOW is an answer slower than three in four
    answers of the service; LOST is a failed attempt or one several times slower
    than that.
    """

    FAILED = "failed"
    SLOW = "slow"
    LOST = "lost"


class RequestClass(enum.StrEnum):
    """Which requests a test looks at."""

    ALL = "all"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


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


class Explanation(NamedTuple):
    """The strongest evidence against one instance, for operators.

    Attributes:
        score: the log-likelihood ratio in nats.
        signal: which test is the strongest.
        requests: which requests it was seen in.
        window_s: seconds of evidence that it covers.
        hits: how many attempts in the window showed the signal.
        total: how many attempts there were, those not yet reported included.
        peer_share: the share of its peers' attempts that the test allows.
        sources: how many entry hosts reported failed or very slow attempts.
        on_probation: whether the instance is back on trial.
        in_work: whether it still gets attempts, or got some moments ago.
        strikes: how many earlier ejections still lengthen the next one.
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
