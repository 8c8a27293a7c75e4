"""A specification of one key's ownership and hand-over, for `minicheck`.

One owner and two askers get copies of one request at any time.  Messages between
them are sets that only grow, so each may be lost, late, doubled or overtaken.
Every host may die, every asker may forget, the key expires and the owner forgets
it after that.  A dispatch that outlives its host or its entry stays possible.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Host", "KeyModelState", "Variant", "key_model"]

ASKERS = ("left", "right")
MAX_TOKEN = 1
MAX_RUNS = 2


class Variant(enum.StrEnum):
    """The protocol as it is, and ways to break it."""

    SOUND = "sound"
    KEEPS_ITS_RIGHT = "keeps-its-right"
    TWO_SUCCESSORS = "two-successors"
    FORGETS_EARLY = "forgets-early"
    NO_TOKEN = "no-token"


class Host(enum.StrEnum):
    """What one host holds of the key."""

    IDLE = "idle"
    ASKING = "asking"
    UNANSWERED = "unanswered"
    FREE = "free"
    FLYING = "flying"
    USED = "used"
    GIVEN = "given"
    DEAD = "dead"


class Message(NamedTuple):
    """A question, or the grant that answers it."""

    asker: str
    token: int


class KeyModelState(NamedTuple):
    """One state of the whole system.

    Attributes:
        owner: what the owner holds; IDLE is a key it has never seen.
        successor: whom the owner gave the key to.
        young: whether the owner still takes the key as new.
        left: what the first asker holds.
        left_token: the token it uses for its questions.
        right: what the second asker holds.
        right_token: the token it uses for its questions.
        asks: every question that was ever sent.
        grants: every grant that was ever sent.
        loose: dispatches under way whose host died or forgot.
        runs: how often the request was executed.
    """

    owner: Host = Host.IDLE
    successor: Message | None = None
    young: bool = True
    left: Host = Host.IDLE
    left_token: int = 0
    right: Host = Host.IDLE
    right_token: int = 0
    asks: frozenset[Message] = frozenset()
    grants: frozenset[Message] = frozenset()
    loose: int = 0
    runs: int = 0


Step = tuple[str, KeyModelState]
Steps = Iterator[Step]


def key_model(variant: Variant = Variant.SOUND) -> Protocol:
    """Return the specification, or one of its broken variants."""

    def transitions(values: tuple) -> list[Step]:
        state = KeyModelState(*values)
        steps = [*_owner_steps(state, variant), *_execution_steps(state)]
        for asker in ASKERS:
            steps.extend(_asker_steps(state, asker))
        return steps

    return Protocol(
        name=f"key-{variant}",
        candidate=False,
        fields=KeyModelState._fields,
        initial=KeyModelState(),
        transitions=transitions,
        invariants={
            "runs_at_most_once": lambda seen: seen["runs"] <= 1,
            "one_holder": lambda seen: _holders(KeyModelState(**seen)) <= 1,
        },
    )


def _holders(state: KeyModelState) -> int:
    """Return how many hosts may dispatch or have a dispatch under way."""
    owner_holds = state.owner is Host.FLYING or _may_use(state)
    askers = (state.left, state.right)
    holding = sum(host in (Host.FREE, Host.FLYING) for host in askers)
    return int(owner_holds) + holding + state.loose


def _may_use(state: KeyModelState) -> bool:
    """Return whether the owner may dispatch a copy or hand the key over.

    A key that it remembers as not run stays usable after new ones are refused.
    """
    if state.owner is Host.IDLE:
        return state.young
    return state.owner is Host.FREE


def _owner_steps(state: KeyModelState, variant: Variant) -> Steps:
    if state.young:
        yield "the key grows old", state._replace(young=False)
    if state.owner is Host.DEAD:
        return
    yield "owner dies", _let_go(state, state.owner)._replace(owner=Host.DEAD)
    if not state.young or variant is Variant.FORGETS_EARLY:
        forgot = _let_go(state, state.owner)
        yield "owner forgets", forgot._replace(owner=Host.IDLE, successor=None)
    if _may_use(state):
        yield "owner dispatches a copy", state._replace(owner=Host.FLYING)
    if state.owner is Host.FLYING:
        yield "owner is refused or shed", state._replace(owner=Host.FREE)
    for ask in state.asks:
        yield from _settle_steps(state, ask, variant)


def _settle_steps(state: KeyModelState, ask: Message, variant: Variant) -> Steps:
    label = f"owner grants {ask.asker} {ask.token}"
    granted = state._replace(grants=state.grants | {ask})
    if _may_use(state):
        if variant is Variant.KEEPS_ITS_RIGHT:
            yield label, granted
        else:
            yield label, granted._replace(owner=Host.GIVEN, successor=ask)
    elif state.owner is Host.GIVEN and _regrants(state.successor, ask, variant):
        yield label, granted


def _regrants(successor: Message, ask: Message, variant: Variant) -> bool:
    """Return whether a key that was given is granted to this question too."""
    if variant is Variant.TWO_SUCCESSORS:
        return True
    if variant is Variant.NO_TOKEN:
        return successor.asker == ask.asker
    return successor == ask


def _let_go(state: KeyModelState, host: Host) -> KeyModelState:
    """Keep a dispatch possible although its host dies or forgets it."""
    return state._replace(loose=state.loose + (host is Host.FLYING))


def _asker_steps(state: KeyModelState, asker: str) -> Steps:
    host = getattr(state, asker)
    if host is Host.DEAD:
        return
    token = getattr(state, f"{asker}_token")
    yield f"{asker} dies", _let_go(state, host)._replace(**{asker: Host.DEAD})
    message = Message(asker, token)
    if host in (Host.IDLE, Host.UNANSWERED):
        asked = state._replace(asks=state.asks | {message})
        yield f"{asker} asks", asked._replace(**{asker: Host.ASKING})
    if host is Host.ASKING:
        yield f"{asker} gets no reply", state._replace(**{asker: Host.UNANSWERED})
        if message in state.grants:
            yield f"{asker} dispatches", state._replace(**{asker: Host.FLYING})
    if host is Host.FREE:
        yield f"{asker} dispatches again", state._replace(**{asker: Host.FLYING})
    if host is Host.FLYING:
        yield f"{asker} is refused or shed", state._replace(**{asker: Host.FREE})
    if host is not Host.IDLE and token < MAX_TOKEN:
        fresh = {asker: Host.IDLE, f"{asker}_token": token + 1}
        yield f"{asker} forgets", _let_go(state, host)._replace(**fresh)


def _execution_steps(state: KeyModelState) -> Steps:
    """Let a back end execute any dispatch that is under way."""
    if state.runs >= MAX_RUNS:
        return
    ran = state._replace(runs=state.runs + 1)
    for name in ("owner", *ASKERS):
        if getattr(state, name) is Host.FLYING:
            yield f"{name}'s dispatch runs", ran._replace(**{name: Host.USED})
    if state.loose:
        yield "a loose dispatch runs", ran._replace(loose=state.loose - 1)
