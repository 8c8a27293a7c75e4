"""Placement: where work waits, is turned away, runs and is sent again.

Everything here is a pure decision: no sockets, and time and chance are passed in.
"""

from .choice import Candidate, Manner, Want, choose
from .evidence import Evidence, Sign
from .instances import Change, Instance, InstanceBook
from .occupancy import Occupancy
from .outcomes import NOT_RUN, Ending, Step, Turn, next_step, sign_of
from .placer import Ask, Placer
from .retries import RetryBudget, RetryRules
from .waiting import Refusal, Room, Ticket, WaitingRoom

__all__ = [
    "NOT_RUN",
    "Ask",
    "Candidate",
    "Change",
    "Ending",
    "Evidence",
    "Instance",
    "InstanceBook",
    "Manner",
    "Occupancy",
    "Placer",
    "Refusal",
    "RetryBudget",
    "RetryRules",
    "Room",
    "Sign",
    "Step",
    "Ticket",
    "Turn",
    "WaitingRoom",
    "Want",
    "choose",
    "next_step",
    "sign_of",
]
