"""A specification of one key's ownership and hand-over, for `minicheck`.

One owner and two other hosts get copies of one request at any time, and hand the
right to run it to each other.  Messages between them are sets that only grow, so
each may be lost, late, doubled or overtaken.  Every host may die, hosts other
than the owner may forget at any time, the key expires, and the owner forgets it
after that.  A dispatch that outlives its host or its entry stays possible.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Host", "KeyModelState", "Holding", "Variant", "key_model"]

OWNER = "owner"
HOSTS = (OWNER, "left", "right")
MAX_TOKEN = 1
MAX_RUNS = 2


class Variant(enum.StrEnum):
    """The protocol as it is, and ways to break it."""

    SOUND = "sound"
    KEEPS_ITS_RIGHT = "keeps-its-right"
    TWO_SUCCESSORS = "two-successors"
    FORGETS_EARLY = "forgets-early"
    NO_TOKEN = "no-token"
    REUSES_TOKEN = "reuses-token"


class Holding(enum.StrEnum):
    """What one host holds of the key."""

    IDLE = "idle"
    ABSENT = "absent"
    ASKING = "asking"
    FREE = "free"
    FLYING = "flying"
    USED = "used"
    DEAD = "dead"


class Message(NamedTuple):
    """A question, or the grant that answers it."""

    asker: str
    token: int


class Host(NamedTuple):
    """One host.

    Attributes:
        holds: what it holds; IDLE is a key it does not remember.
        token: the token of its questions; above MAX_TOKEN it asks no more.
        successor: the question by which it handed its right over.
    """

    holds: Holding = Holding.IDLE
    token: int = 0
    successor: Message | None = None


class KeyModelState(NamedTuple):
    """One state of the whole system.

    Attributes:
        owner: the host that the key names.
        left: another host.
        right: another host.
        young: whether the owner still takes the key as new.
        asks: every question that was ever sent, to whomever.
        grants: every grant that was ever sent.
        loose: dispatches under way whose host died or forgot.
        runs: how often the request was executed.
    """

    owner: Host = Host()
    left: Host = Host()
    right: Host = Host()
    young: bool = True
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
        steps = [*_expiry_steps(state, variant), *_execution_steps(state)]
        for name in HOSTS:
            if getattr(state, name).holds is not Holding.DEAD:
                steps.extend(_host_steps(state, name, variant))
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
    holding = sum(
        _may_dispatch(state, name) or getattr(state, name).holds is Holding.FLYING
        for name in HOSTS
    )
    return holding + state.loose


def _may_dispatch(state: KeyModelState, name: str) -> bool:
    """Return whether a host may dispatch a copy or hand the key over.

    The owner may use a new key only while it is young; a key that a host
    remembers as not run stays usable after that.
    """
    holds = getattr(state, name).holds
    if holds is Holding.IDLE:
        return name == OWNER and state.young
    return holds is Holding.FREE


def _expiry_steps(state: KeyModelState, variant: Variant) -> Steps:
    if state.young:
        yield "the key grows old", state._replace(young=False)
    if not state.young or variant is Variant.FORGETS_EARLY:
        if state.owner.holds is not Holding.DEAD:
            yield "owner forgets", _forget(state, OWNER)


def _host_steps(state: KeyModelState, name: str, variant: Variant) -> Steps:
    host: Host = getattr(state, name)
    dead = _let_go(state, host)._replace(**{name: Host(Holding.DEAD)})
    yield f"{name} dies", dead
    if name != OWNER and host.holds is not Holding.IDLE:
        yield f"{name} forgets", _forget(state, name)
    if _may_dispatch(state, name):
        flying = host._replace(holds=Holding.FLYING)
        yield f"{name} dispatches a copy", state._replace(**{name: flying})
    if host.holds is Holding.FLYING:
        free = host._replace(holds=Holding.FREE)
        yield f"{name} is refused or shed", state._replace(**{name: free})
    yield from _asking_steps(state, name, variant)
    for ask in state.asks:
        yield from _settle_steps(state, name, ask, variant)


def _asking_steps(state: KeyModelState, name: str, variant: Variant) -> Steps:
    host: Host = getattr(state, name)
    message = Message(name, host.token)
    is_new = host.holds is Holding.IDLE and name != OWNER
    if (is_new or host.holds is Holding.ABSENT) and host.token <= MAX_TOKEN:
        asking = host._replace(holds=Holding.ASKING)
        asked = state._replace(asks=state.asks | {message})
        yield f"{name} asks {host.token}", asked._replace(**{name: asking})
    if host.holds is not Holding.ASKING:
        return
    absent = host._replace(holds=Holding.ABSENT)
    yield f"{name} gets no reply", state._replace(**{name: absent})
    if message in state.grants:
        used = host.token + (variant is not Variant.REUSES_TOKEN)
        taken = Host(Holding.FLYING, used)
        yield f"{name} takes {host.token}", state._replace(**{name: taken})


def _settle_steps(
    state: KeyModelState, name: str, ask: Message, variant: Variant
) -> Steps:
    host: Host = getattr(state, name)
    label = f"{name} grants {ask.asker} {ask.token}"
    granted = state._replace(grants=state.grants | {ask})
    if ask.asker == name:
        return
    if _may_dispatch(state, name):
        if variant is not Variant.KEEPS_ITS_RIGHT:
            given = host._replace(holds=Holding.ABSENT, successor=ask)
            granted = granted._replace(**{name: given})
        yield label, granted
    elif host.successor is not None and _regrants(host.successor, ask, variant):
        yield label, granted


def _regrants(successor: Message, ask: Message, variant: Variant) -> bool:
    """Return whether a key that was given is granted to this question too."""
    if variant is Variant.TWO_SUCCESSORS:
        return True
    if variant is Variant.NO_TOKEN:
        return successor.asker == ask.asker
    return successor == ask


def _forget(state: KeyModelState, name: str) -> KeyModelState:
    host: Host = getattr(state, name)
    token = min(host.token, MAX_TOKEN) + 1
    return _let_go(state, host)._replace(**{name: Host(token=token)})


def _let_go(state: KeyModelState, host: Host) -> KeyModelState:
    """Keep a dispatch possible although its host dies or forgets it."""
    return state._replace(loose=state.loose + (host.holds is Holding.FLYING))


def _execution_steps(state: KeyModelState) -> Steps:
    """Let a back end execute any dispatch that is under way."""
    if state.runs >= MAX_RUNS:
        return
    ran = state._replace(runs=state.runs + 1)
    for name in HOSTS:
        host: Host = getattr(state, name)
        if host.holds is Holding.FLYING:
            used = host._replace(holds=Holding.USED)
            yield f"{name}'s dispatch runs", ran._replace(**{name: used})
    if state.loose:
        yield "a loose dispatch runs", ran._replace(loose=state.loose - 1)
