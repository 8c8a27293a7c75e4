"""The floor protocol as two small models: grants and leases, and drains.

Both have two instances and one permit (N - floor = 1), and two entry hosts that
use grants.  Time advances in ticks; every timer is the number of ticks left, so
that the state space is finite.  Each flaw removes one safeguard.

    python -m lab.models.floor
"""

import enum
import sys
from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple

from minicheck import Protocol, check_safety

__all__ = ["DrainFlaw", "LeaseFlaw", "check_drains", "check_leases", "main"]

TTL = 2
"""Ticks for which a grant may be used, from the handling of its pull."""

PAUSE_THRESHOLD = 1
"""Ticks without a loop iteration after which a holder must confirm its lease."""

PROPAGATION = 1
"""Ticks within which a running process receives a change."""

STABLE = PROPAGATION + 1
"""Ticks without a pause after which a process has received earlier changes."""

FIRST_GRANT_WAIT = PROPAGATION + TTL
CHANGE_GRACE = 2 * PROPAGATION + PAUSE_THRESHOLD + 1
MAX_STATES = 2_000_000
MAX_FLAWED_STATES = 100_000
"""Enough states to find a flaw's counterexample; the others add nothing."""

NOBODY = -1
INSTANCES = (0, 1)


class LeaseFlaw(enum.StrEnum):
    """Ways to break the protocol of grants and leases."""

    NONE = "none"
    EARLY_REUSE = "early-reuse"
    EXPIRY_FROM_RECEIPT = "expiry-from-receipt"
    NO_CLAIM_WAIT = "no-claim-wait"
    NO_PAUSE_CHECK = "no-pause-check"
    LONG_PAUSES_ONLY = "long-pauses-only"


class DrainFlaw(enum.StrEnum):
    """Ways to break the protocol of drains."""

    NONE = "none"
    ADMIT_AT_ONCE = "admit-at-once"
    NO_GRACE = "no-linger"
    ADMIT_ANY_VERSION = "admit-any-version"
    KEEP_DRAINS_AFTER_PAUSE = "no-doubt"
    SHORT_GRACE = "short-linger"


class Grant(NamedTuple):
    """A grant in use or in transit: an instance and the ticks left."""

    instance: int
    left: int


NO_GRANT = Grant(NOBODY, 0)


class User(NamedTuple):
    """An entry host that uses grants, and one response in transit to it."""

    in_use: Grant = NO_GRANT
    answer: Grant = NO_GRANT


class HolderState(NamedTuple):
    """A holder's state: the instance it ejects, and the ticks left of its permits."""

    ejected: int = NOBODY
    outstanding: tuple[int, int] = (0, 0)


class LeaseState(NamedTuple):
    """Host a holds the lease at first; host b may take it over.

    Attributes:
        owner: the holder according to the store, `a` or `b`.
        a, b: the state of each host as a holder.
        a_paused: whether a is paused.
        a_gap: ticks since a's last loop iteration.
        a_stable: ticks since a's last pause, up to STABLE.
        a_believes: whether a believes that it holds the lease.
        update_age: consecutive ticks in which a was running and could have received
            the loss of its lease.
        b_wait: ticks until b may grant.
        users: the entry hosts that use grants.
    """

    owner: str = "a"
    a: HolderState = HolderState()
    b: HolderState = HolderState()
    a_paused: bool = False
    a_gap: int = 0
    a_stable: int = STABLE
    a_believes: bool = True
    update_age: int = 0
    b_wait: int = 0
    users: tuple[User, User] = (User(), User())


Step = tuple[str, NamedTuple]


def _grant_after_tick(grant: Grant, keep: bool = False) -> Grant:
    """Return a grant one tick later; with `keep` an expired grant is kept."""
    if grant.instance == NOBODY or (grant.left <= 1 and not keep):
        return NO_GRANT
    return Grant(grant.instance, max(0, grant.left - 1))


def _holder_after_tick(holder: HolderState) -> HolderState:
    outstanding = tuple(max(0, left - 1) for left in holder.outstanding)
    return holder._replace(outstanding=outstanding)


def _with_item(items: tuple, index: int, item: object) -> tuple:
    return items[:index] + (item,) + items[index + 1 :]


def lease_steps(flaw: LeaseFlaw, state: LeaseState) -> list[Step]:
    """Return every possible step from a state."""
    steps = list(_lease_time(flaw, state))
    steps += _lease_changes(flaw, state)
    steps += _lease_grants("a", state.a, _a_may_grant(flaw, state), state, flaw)
    b_may = state.owner == "b" and state.b_wait == 0
    steps += _lease_grants("b", state.b, b_may, state, flaw)
    steps += _lease_answers(flaw, state)
    return steps


def _a_may_grant(flaw: LeaseFlaw, state: LeaseState) -> bool:
    if state.a_paused or not state.a_believes:
        return False
    if flaw is LeaseFlaw.NO_PAUSE_CHECK:
        return True
    is_stable = state.a_stable == STABLE or flaw is LeaseFlaw.LONG_PAUSES_ONLY
    return state.a_gap == 0 and is_stable


def _lease_time(flaw: LeaseFlaw, state: LeaseState) -> Iterator[Step]:
    """Advance time, unless a running process is overdue for an iteration or update."""
    lost = state.owner == "b" and state.a_believes
    running = not state.a_paused
    if running and (state.a_gap > 0 or (lost and state.update_age >= PROPAGATION)):
        return
    keep = flaw is LeaseFlaw.EXPIRY_FROM_RECEIPT
    users = tuple(
        User(_grant_after_tick(one.in_use), _grant_after_tick(one.answer, keep))
        for one in state.users
    )
    yield "tick", state._replace(
        a=_holder_after_tick(state.a),
        b=_holder_after_tick(state.b),
        a_gap=min(PAUSE_THRESHOLD + 1, state.a_gap + 1) if state.a_paused else 0,
        a_stable=0 if state.a_paused else min(STABLE, state.a_stable + 1),
        update_age=state.update_age + 1 if lost and running else 0,
        b_wait=max(0, state.b_wait - 1),
        users=users,
    )


def _lease_changes(flaw: LeaseFlaw, state: LeaseState) -> Iterator[Step]:
    """Pause and resume a, transfer the lease, and deliver the update to a."""
    if state.a_paused:
        yield "a resumes", state._replace(a_paused=False)
    else:
        yield "a pauses", state._replace(a_paused=True)
    if state.owner == "a":
        wait = 0 if flaw is LeaseFlaw.NO_CLAIM_WAIT else FIRST_GRANT_WAIT
        yield "b claims", state._replace(owner="b", b_wait=wait)
    if not state.a_paused and state.owner == "b" and state.a_believes:
        yield "a receives update", state._replace(
            a_believes=False, a_gap=0, update_age=0
        )
    if not state.a_paused and state.a_gap > 0:
        in_time = state.a_gap <= PAUSE_THRESHOLD or flaw is LeaseFlaw.NO_PAUSE_CHECK
        if in_time or state.owner == "a":
            yield "a iterates", state._replace(a_gap=0)
        else:
            yield "a is refused", state._replace(
                a_believes=False, a_gap=0, update_age=0
            )


def _lease_grants(
    name: str, holder: HolderState, may: bool, state: LeaseState, flaw: LeaseFlaw
) -> Iterator[Step]:
    """Eject, end an ejection, and respond to a pull."""
    if not may:
        return
    if holder.ejected != NOBODY:
        ended = holder._replace(ejected=NOBODY)
        yield f"{name} ends", state._replace(**{name: ended})
        yield from _lease_pulls(name, holder, state)
        return
    for instance in INSTANCES:
        is_free = holder.outstanding[1 - instance] == 0
        if is_free or flaw is LeaseFlaw.EARLY_REUSE:
            begun = holder._replace(ejected=instance)
            yield f"{name} ejects {instance}", state._replace(**{name: begun})


def _lease_pulls(name: str, holder: HolderState, state: LeaseState) -> Iterator[Step]:
    instance = holder.ejected
    granted = holder._replace(outstanding=_with_item(holder.outstanding, instance, TTL))
    for number, user in enumerate(state.users):
        if user.answer != NO_GRANT:
            continue
        asked = user._replace(answer=Grant(instance, TTL))
        users = _with_item(state.users, number, asked)
        yield f"{name} answers {number}", state._replace(users=users, **{name: granted})


def _lease_answers(flaw: LeaseFlaw, state: LeaseState) -> Iterator[Step]:
    """Deliver a response, at any later time or never."""
    for number, user in enumerate(state.users):
        if user.answer == NO_GRANT:
            continue
        grant = user.answer
        if flaw is LeaseFlaw.EXPIRY_FROM_RECEIPT:
            grant = grant._replace(left=TTL)
        users = _with_item(state.users, number, User(grant, NO_GRANT))
        yield f"{number} receives", state._replace(users=users)


class DrainUser(NamedTuple):
    """An entry host: the service's version it knows, its drain and its grant.

    `admits` is the version that a response in transit admits, NOBODY for none, and
    `admits_left` the ticks until that response expires.
    """

    version: int = 0
    drained: bool = False
    in_use: Grant = NO_GRANT
    admits: int = NOBODY
    admits_left: int = 0


class Pauses(NamedTuple):
    """The pauses of one entry host.

    Attributes:
        is_paused: whether it is paused now.
        gap: ticks without a loop iteration, up to PAUSE_THRESHOLD + 1.
        stable: ticks with iterations since the last gap, up to STABLE.
        unstable: ticks since the first of several gaps close together, up to
            PAUSE_THRESHOLD + 1.
    """

    is_paused: bool = False
    gap: int = 0
    stable: int = STABLE
    unstable: int = 0

    @property
    def is_acting(self) -> bool:
        """Return whether the host is running and has detected its last gap."""
        return not self.is_paused and self.gap == 0


def _pauses_after_tick(pauses: Pauses) -> Pauses:
    max_ticks = PAUSE_THRESHOLD + 1
    if pauses.is_paused:
        return pauses._replace(
            gap=min(max_ticks, pauses.gap + 1),
            unstable=min(max_ticks, pauses.unstable + 1),
        )
    stable = min(STABLE, pauses.stable + 1)
    unstable = 0 if stable == STABLE else min(max_ticks, pauses.unstable + 1)
    return pauses._replace(stable=stable, unstable=unstable)


class DrainState(NamedTuple):
    """Version 0 has no drain, version 1 drains instance 0, version 2 ends it.

    Attributes:
        version: the service's version in the store.
        age: ticks since it changed, up to PROPAGATION.
        holder_version: the version the holder knows.
        grace: ticks for which an ended drain still counts for the holder.
        holder: the instance that the holder ejects, and its permits in use.
        users: the entry hosts that use grants; the first one may be paused.
        pauses: the pauses of the first user.
    """

    version: int = 0
    age: int = 0
    holder_version: int = 0
    grace: int = 0
    holder: HolderState = HolderState()
    users: tuple[DrainUser, DrainUser] = (DrainUser(), DrainUser())
    pauses: Pauses = Pauses()


DRAIN_VERSION = 1
LAST_VERSION = 2


def drain_steps(flaw: DrainFlaw, state: DrainState) -> list[Step]:
    """Return every possible step from a state."""
    steps = list(_drain_time(state))
    steps += _drain_pauses(flaw, state)
    steps += _drain_updates(flaw, state)
    steps += _drain_decisions(state)
    steps += _drain_pulls(flaw, state)
    steps += _drain_answers(flaw, state)
    return steps


def _is_acting(state: DrainState, number: int) -> bool:
    return number != 0 or state.pauses.is_acting


def _is_overdue(state: DrainState) -> bool:
    """Return whether time must wait for a process to detect a gap or get an update."""
    pauses = state.pauses
    if not pauses.is_paused and pauses.gap > 0:
        return True
    if state.age < PROPAGATION:
        return False
    first, second = state.users
    is_behind = pauses.is_acting and pauses.stable >= PROPAGATION
    versions = [state.holder_version, second.version]
    versions += [first.version] if is_behind else []
    return min(versions) < state.version


def _drain_time(state: DrainState) -> Iterator[Step]:
    if _is_overdue(state):
        return
    users = tuple(_user_after_tick(one) for one in state.users)
    yield "tick", state._replace(
        age=min(PROPAGATION, state.age + 1),
        grace=max(0, state.grace - 1),
        holder=_holder_after_tick(state.holder),
        users=users,
        pauses=_pauses_after_tick(state.pauses),
    )


def _drain_pauses(flaw: DrainFlaw, state: DrainState) -> Iterator[Step]:
    """Pause and resume the first user; after long instability it discards drains."""
    pauses = state.pauses
    if pauses.is_paused:
        yield "0 resumes", state._replace(pauses=pauses._replace(is_paused=False))
        return
    if pauses.gap == 0:
        yield "0 pauses", state._replace(pauses=pauses._replace(is_paused=True))
        return
    checked = state._replace(pauses=pauses._replace(gap=0, stable=0))
    if (
        pauses.unstable > PAUSE_THRESHOLD
        and flaw is not DrainFlaw.KEEP_DRAINS_AFTER_PAUSE
    ):
        without_drain = state.users[0]._replace(drained=False)
        checked = checked._replace(users=_with_item(state.users, 0, without_drain))
    yield "0 iterates", checked


def _user_after_tick(user: DrainUser) -> DrainUser:
    left = max(0, user.admits_left - 1)
    admits = user.admits if left else NOBODY
    return user._replace(
        in_use=_grant_after_tick(user.in_use), admits=admits, admits_left=left
    )


def _drain_updates(flaw: DrainFlaw, state: DrainState) -> Iterator[Step]:
    """Change the service, and deliver the change to each process."""
    versions = [state.users[1].version, state.holder_version]
    if state.version < LAST_VERSION and min(versions) == state.version:
        yield "plan confirmed", state._replace(version=state.version + 1, age=0)
    if state.holder_version < state.version:
        updated = state._replace(holder_version=state.version)
        if state.holder_version == DRAIN_VERSION:
            updated = updated._replace(grace=_grace(flaw))
        if state.version == DRAIN_VERSION:
            updated = updated._replace(holder=state.holder._replace(ejected=NOBODY))
        yield "holder receives update", updated
    for number, user in enumerate(state.users):
        if user.version < state.version and _is_acting(state, number):
            drained = user.drained and state.version == DRAIN_VERSION
            updated_user = user._replace(version=state.version, drained=drained)
            users = _with_item(state.users, number, updated_user)
            yield f"{number} receives update", state._replace(users=users)


def _grace(flaw: DrainFlaw) -> int:
    """Return for how many ticks the holder counts a drain that ended."""
    if flaw is DrainFlaw.NO_GRACE:
        return 0
    return PROPAGATION if flaw is DrainFlaw.SHORT_GRACE else CHANGE_GRACE


def _is_occupied(state: DrainState) -> bool:
    """Return whether the holder counts instance 0 as removed without a grant."""
    return state.holder_version == DRAIN_VERSION or state.grace > 0


def _drain_decisions(state: DrainState) -> Iterator[Step]:
    holder = state.holder
    if holder.ejected != NOBODY:
        yield "ends", state._replace(holder=holder._replace(ejected=NOBODY))
        return
    for instance in INSTANCES:
        taken = holder.outstanding[1 - instance] > 0 or _is_occupied(state)
        if not taken:
            begun = holder._replace(ejected=instance)
            yield f"ejects {instance}", state._replace(holder=begun)


def _drain_pulls(flaw: DrainFlaw, state: DrainState) -> Iterator[Step]:
    """Respond to pulls: grants are delivered at once, admissions late or never."""
    holder = state.holder
    settled = holder.outstanding == (0, 0) and holder.ejected == NOBODY
    may_admit = settled or flaw is DrainFlaw.ADMIT_AT_ONCE
    for number, user in enumerate(state.users):
        if holder.ejected != NOBODY:
            outstanding = _with_item(holder.outstanding, holder.ejected, TTL)
            granted = user._replace(in_use=Grant(holder.ejected, TTL))
            users = _with_item(state.users, number, granted)
            yield f"grants {number}", state._replace(
                holder=holder._replace(outstanding=outstanding), users=users
            )
        if may_admit and user.admits == NOBODY:
            updated = user._replace(admits=state.holder_version, admits_left=TTL)
            yield f"admits {number}", state._replace(
                users=_with_item(state.users, number, updated)
            )


def _drain_answers(flaw: DrainFlaw, state: DrainState) -> Iterator[Step]:
    for number, user in enumerate(state.users):
        if user.admits == NOBODY or not _is_acting(state, number):
            continue
        updated = user._replace(admits=NOBODY, admits_left=0)
        fits = user.admits == user.version or flaw is DrainFlaw.ADMIT_ANY_VERSION
        if fits and user.version == DRAIN_VERSION:
            updated = updated._replace(drained=True)
        users = _with_item(state.users, number, updated)
        yield f"{number} receives", state._replace(users=users)


def _lease_invariant(state: dict) -> bool:
    """Return whether the hosts treat at most one instance as removed."""
    used = {one.in_use.instance for one in state["users"]}
    return len(used - {NOBODY}) <= 1


def _drain_invariant(state: dict) -> bool:
    """Return whether the acting hosts treat at most one instance as removed."""
    users = state["users"] if state["pauses"].is_acting else state["users"][1:]
    used = {one.in_use.instance for one in users}
    used |= {0 for one in users if one.drained}
    return len(used - {NOBODY}) <= 1


def check_leases(flaw: LeaseFlaw) -> dict:
    """Check the model of grants and leases."""
    max_states = MAX_STATES if flaw is LeaseFlaw.NONE else MAX_FLAWED_STATES
    steps = partial(lease_steps, flaw)
    return check_safety(
        _protocol("titles", LeaseState(), steps, _lease_invariant), max_states
    )


def check_drains(flaw: DrainFlaw) -> dict:
    """Check the model of drains."""
    max_states = MAX_STATES if flaw is DrainFlaw.NONE else MAX_FLAWED_STATES
    steps = partial(drain_steps, flaw)
    return check_safety(
        _protocol("drains", DrainState(), steps, _drain_invariant), max_states
    )


def _protocol(
    name: str,
    initial: NamedTuple,
    steps: Callable[[NamedTuple], list[Step]],
    invariant: Callable[[dict], bool],
) -> Protocol:
    return Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=steps,
        invariants={"floor": invariant},
    )


def main() -> int:
    """Print the result of each variant of both models."""
    for flaw in LeaseFlaw:
        _print("titles", flaw, check_leases(flaw))
    for flaw in DrainFlaw:
        _print("drains", flaw, check_drains(flaw))
    return 0


def _print(model: str, flaw: str, result: dict) -> None:
    found = result["properties"]["floor"]
    line = f"{model} flaw={flaw} states={result['reachable_states']} "
    line += f"exhaustive={result['exhaustive']} holds={found['holds']}"
    print(line)
    if found["holds"] is False:
        labels = [step["label"] or "start" for step in found["counterexample"]]
        print("  " + ", ".join(labels))


if __name__ == "__main__":
    sys.exit(main())
