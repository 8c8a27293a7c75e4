"""A model of one key's ownership and hand-over, for `minicheck`.

One owner and two other hosts receive copies of one request at any time, and hand the
right to run it over to each other.  The messages between them are sets that only
grow, so each message may be lost, delayed, duplicated or reordered.  Every host may
die, hosts other than the owner may forget the key at any time, the key expires, and
the owner forgets it after that.  A dispatch whose host has died or forgotten the key
may still run.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

__all__ = ["Host", "HostKeyState", "KeyModelState", "Variant", "key_model"]

OWNER = "owner"
HOSTS = (OWNER, "left", "right")
MAX_TOKEN = 1
MAX_RUNS = 2


class Variant(enum.StrEnum):
    """The correct protocol, and ways to break it."""

    CORRECT = "sound"
    KEEPS_ITS_RIGHT = "keeps-its-right"
    TWO_SUCCESSORS = "two-successors"
    FORGETS_EARLY = "forgets-early"
    NO_TOKEN = "no-token"
    REUSES_TOKEN = "reuses-token"


class HostKeyState(enum.StrEnum):
    """The state of the key on one host."""

    IDLE = "idle"
    ABSENT = "absent"
    REQUESTING = "asking"
    FREE = "free"
    IN_FLIGHT = "flying"
    USED = "used"
    DEAD = "dead"


class Message(NamedTuple):
    """A request for the key, or the grant that replies to it."""

    requester: str
    token: int


class Host(NamedTuple):
    """One host.

    Attributes:
        key_state: the state of the key; IDLE if it does not remember the key.
        token: the token of its requests; above MAX_TOKEN it sends no more.
        successor: the request with whose grant it handed its right over.
    """

    key_state: HostKeyState = HostKeyState.IDLE
    token: int = 0
    successor: Message | None = None


class KeyModelState(NamedTuple):
    """One state of the whole system.

    Attributes:
        owner: the host that the key names.
        left: another host.
        right: another host.
        young: whether the owner still accepts the key as new.
        asks: every request that was ever sent, to any host.
        grants: every grant that was ever sent.
        loose: dispatches in flight whose host died or forgot the key.
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


def key_model(variant: Variant = Variant.CORRECT) -> Protocol:
    """Return the model of the correct protocol or of a broken variant."""

    def transitions(values: tuple) -> list[Step]:
        state = KeyModelState(*values)
        steps = [*_expiry_steps(state, variant), *_execution_steps(state)]
        for name in HOSTS:
            if getattr(state, name).key_state is not HostKeyState.DEAD:
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
    """Return how many dispatches are in flight or may still start."""
    holding = sum(
        _may_dispatch(state, name)
        or getattr(state, name).key_state is HostKeyState.IN_FLIGHT
        for name in HOSTS
    )
    return holding + state.loose


def _may_dispatch(state: KeyModelState, name: str) -> bool:
    """Return whether a host may dispatch a copy or hand the key over.

    The owner may use a new key only while it is accepted as new; a key that a host
    remembers as not run stays usable after that.
    """
    key_state = getattr(state, name).key_state
    if key_state is HostKeyState.IDLE:
        return name == OWNER and state.young
    return key_state is HostKeyState.FREE


def _expiry_steps(state: KeyModelState, variant: Variant) -> Steps:
    if state.young:
        yield "the key expires", state._replace(young=False)
    if not state.young or variant is Variant.FORGETS_EARLY:
        if state.owner.key_state is not HostKeyState.DEAD:
            yield "owner forgets", _forget(state, OWNER)


def _host_steps(state: KeyModelState, name: str, variant: Variant) -> Steps:
    host: Host = getattr(state, name)
    dead = _with_loose_dispatch(state, host)._replace(**{name: Host(HostKeyState.DEAD)})
    yield f"{name} dies", dead
    if name != OWNER and host.key_state is not HostKeyState.IDLE:
        yield f"{name} forgets", _forget(state, name)
    if _may_dispatch(state, name):
        in_flight = host._replace(key_state=HostKeyState.IN_FLIGHT)
        yield f"{name} dispatches a copy", state._replace(**{name: in_flight})
    if host.key_state is HostKeyState.IN_FLIGHT:
        free = host._replace(key_state=HostKeyState.FREE)
        yield f"{name} is refused or shed", state._replace(**{name: free})
    yield from _request_steps(state, name, variant)
    for request in state.asks:
        yield from _grant_steps(state, name, request, variant)


def _request_steps(state: KeyModelState, name: str, variant: Variant) -> Steps:
    host: Host = getattr(state, name)
    message = Message(name, host.token)
    is_new = host.key_state is HostKeyState.IDLE and name != OWNER
    if (is_new or host.key_state is HostKeyState.ABSENT) and host.token <= MAX_TOKEN:
        requesting = host._replace(key_state=HostKeyState.REQUESTING)
        sent = state._replace(asks=state.asks | {message})
        yield f"{name} asks {host.token}", sent._replace(**{name: requesting})
    if host.key_state is not HostKeyState.REQUESTING:
        return
    absent = host._replace(key_state=HostKeyState.ABSENT)
    yield f"{name} gets no reply", state._replace(**{name: absent})
    if message in state.grants:
        used = host.token + (variant is not Variant.REUSES_TOKEN)
        taken = Host(HostKeyState.IN_FLIGHT, used)
        yield f"{name} receives grant {host.token}", state._replace(**{name: taken})


def _grant_steps(
    state: KeyModelState, name: str, request: Message, variant: Variant
) -> Steps:
    host: Host = getattr(state, name)
    label = f"{name} grants {request.requester} {request.token}"
    granted = state._replace(grants=state.grants | {request})
    if request.requester == name:
        return
    if _may_dispatch(state, name):
        if variant is not Variant.KEEPS_ITS_RIGHT:
            handed_over = host._replace(
                key_state=HostKeyState.ABSENT, successor=request
            )
            granted = granted._replace(**{name: handed_over})
        yield label, granted
    elif host.successor is not None and _regrants(host.successor, request, variant):
        yield label, granted


def _regrants(successor: Message, request: Message, variant: Variant) -> bool:
    """Return whether a key that was handed over is granted to this request too."""
    if variant is Variant.TWO_SUCCESSORS:
        return True
    if variant is Variant.NO_TOKEN:
        return successor.requester == request.requester
    return successor == request


def _forget(state: KeyModelState, name: str) -> KeyModelState:
    host: Host = getattr(state, name)
    token = min(host.token, MAX_TOKEN) + 1
    return _with_loose_dispatch(state, host)._replace(**{name: Host(token=token)})


def _with_loose_dispatch(state: KeyModelState, host: Host) -> KeyModelState:
    """Keep a dispatch in flight when its host dies or forgets the key."""
    return state._replace(
        loose=state.loose + (host.key_state is HostKeyState.IN_FLIGHT)
    )


def _execution_steps(state: KeyModelState) -> Steps:
    """Let a back end execute any dispatch that is in flight."""
    if state.runs >= MAX_RUNS:
        return
    ran = state._replace(runs=state.runs + 1)
    for name in HOSTS:
        host: Host = getattr(state, name)
        if host.key_state is HostKeyState.IN_FLIGHT:
            used = host._replace(key_state=HostKeyState.USED)
            yield f"{name}'s dispatch runs", ran._replace(**{name: used})
    if state.loose:
        yield "a loose dispatch runs", ran._replace(loose=state.loose - 1)
