"""Placement of requests on instances: selection, queueing, rejection and retries.

The code does no input or output; callers pass in the time and the random numbers.
"""

from .balancing import BalancingSetting, RequestMix
from .body_load import BodyLoad
from .health_estimate import HealthEstimate, Observation
from .health_tracker import PATH_FAILURES, HealthTracker
from .instances import (
    EntryVersion,
    Instance,
    InstanceChange,
    InstanceRegistry,
    check_instance,
    check_name,
)
from .notices import InstanceNotice, InstanceNotices
from .occupancy import Occupancy
from .outcomes import (
    NOT_RUN_OUTCOMES,
    AttemptContext,
    AttemptOutcome,
    NextAction,
    next_action,
    observation_for,
)
from .placer import PlacementRequest, Placer
from .queued_request import QueuedRequest
from .rate_limits import RateAllowance, RateLimitReport, RateLimits
from .reachability import Reachability
from .retry_budget import RetryBudget, RetryRules
from .selection import (
    Candidate,
    Requirements,
    SelectionMode,
    expected_cost,
    select_candidate,
)
from .wait_queue import Capacity, Rejection, WaitQueue

__all__ = [
    "NOT_RUN_OUTCOMES",
    "PATH_FAILURES",
    "AttemptContext",
    "AttemptOutcome",
    "BalancingSetting",
    "BodyLoad",
    "Candidate",
    "Capacity",
    "EntryVersion",
    "HealthEstimate",
    "HealthTracker",
    "Instance",
    "InstanceChange",
    "InstanceNotice",
    "InstanceNotices",
    "InstanceRegistry",
    "NextAction",
    "Observation",
    "Occupancy",
    "PlacementRequest",
    "Placer",
    "QueuedRequest",
    "RateAllowance",
    "RateLimitReport",
    "RateLimits",
    "Reachability",
    "Rejection",
    "RequestMix",
    "Requirements",
    "RetryBudget",
    "RetryRules",
    "SelectionMode",
    "WaitQueue",
    "check_instance",
    "check_name",
    "expected_cost",
    "next_action",
    "observation_for",
    "select_candidate",
]
