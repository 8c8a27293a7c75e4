"""Drafts of the change that an intent makes to the current configuration."""

from functools import singledispatch
from typing import Any, NamedTuple

from ..catalog import Service, is_removed, parse_service
from ..errors import ErrorKind, RequestError
from ..fields import invalid_intent
from ..membership import Membership
from ..replication import ConfigState
from .messages import (
    DefineService,
    DrainBackEnd,
    DrainEntryHost,
    PlanStep,
    RemoveService,
    SetCustomerShare,
    SetFloor,
)

__all__ = ["ENTRY_HOST_KIND", "SERVICE_KIND", "Draft", "FleetView", "draft_for"]

SERVICE_KIND = "service"
ENTRY_HOST_KIND = "entry-host"


class FleetView(NamedTuple):
    """The configuration and the fleet as this node sees them."""

    state: ConfigState
    membership: Membership


class Draft(NamedTuple):
    """The change that an intent would make.

    Attributes:
        kind: the kind of the object to write.
        name: the object's name.
        value: the object's new value, without marks.
        steps: what happens, in order.
        refusal: why the intent is refused, None if it is allowed.
        detail: one sentence for the operator on the refusal.
    """

    kind: str
    name: str
    value: dict[str, Any]
    steps: list[PlanStep]
    refusal: ErrorKind | None = None
    detail: str = ""


@singledispatch
def draft_for(intent: Any, view: FleetView) -> Draft:
    """Return the change that an intent would make.

    Raises:
        RequestError: the intent names something that does not exist.
    """
    raise invalid_intent(f"no such intent: {type(intent).__name__}")


@draft_for.register
def _(intent: DefineService, view: FleetView) -> Draft:
    for key in ("drains", "marks", "removed"):
        if key in intent.value:
            raise invalid_intent(
                f"service {intent.service}: {key} is not set by this intent"
            )
    old_value = _current_value(view, intent.service)
    value = dict(intent.value)
    new = parse_service(intent.service, value)
    if any(one.is_draining for one in new.instances):
        raise invalid_intent("instances: leaving is set by the drain-back-end intent")
    if old_value is None:
        return _with_floor_check(
            Draft(SERVICE_KIND, intent.service, value, []), None, new
        )
    old = parse_service(intent.service, old_value)
    names = {one.name for one in new.instances}
    value["drains"] = [name for name in old.drains if name in names]
    new = parse_service(intent.service, value)
    draft = Draft(SERVICE_KIND, intent.service, value, [])
    removed = _removed_undrained(old, new)
    if removed and old.floor:
        detail = f"drain these first, or set the floor to 0: {', '.join(removed)}"
        return draft._replace(refusal=ErrorKind.BELOW_FLOOR, detail=detail)
    return _with_floor_check(draft, old, new)


@draft_for.register
def _(intent: RemoveService, view: FleetView) -> Draft:
    old = parse_service(intent.service, _existing_value(view, intent.service))
    draft = Draft(SERVICE_KIND, intent.service, {"removed": True}, [])
    if old.floor:
        detail = f"{old.name} has a floor of {old.floor}; set it to 0 first"
        return draft._replace(refusal=ErrorKind.BELOW_FLOOR, detail=detail)
    step = _step("The service's routes and instances are forgotten.", 0, 0)
    return draft._replace(steps=[step])


@draft_for.register
def _(intent: SetFloor, view: FleetView) -> Draft:
    value = _existing_value(view, intent.service)
    old = parse_service(intent.service, value)
    value["floor"] = intent.floor
    draft = Draft(SERVICE_KIND, intent.service, value, [])
    if intent.floor > len(old.instances):
        detail = f"{old.name} has only {len(old.instances)} instances"
        return draft._replace(refusal=ErrorKind.BELOW_FLOOR, detail=detail)
    return _with_floor_check(draft, old, parse_service(intent.service, value))


@draft_for.register
def _(intent: SetCustomerShare, view: FleetView) -> Draft:
    value = _existing_value(view, intent.service)
    old = parse_service(intent.service, value)
    value["shares"] = {**value.get("shares", {}), intent.customer: intent.share}
    new = parse_service(intent.service, value)
    return _with_floor_check(Draft(SERVICE_KIND, intent.service, value, []), old, new)


@draft_for.register
def _(intent: DrainBackEnd, view: FleetView) -> Draft:
    value = _existing_value(view, intent.service)
    old = parse_service(intent.service, value)
    if old.instance(intent.instance) is None:
        raise invalid_intent(f"{intent.service} has no instance {intent.instance!r}")
    drains = [name for name in old.drains if name != intent.instance]
    if intent.is_on:
        drains.append(intent.instance)
    value["drains"] = drains
    new = parse_service(intent.service, value)
    return _with_floor_check(Draft(SERVICE_KIND, intent.service, value, []), old, new)


@draft_for.register
def _(intent: DrainEntryHost, view: FleetView) -> Draft:
    draft = Draft(ENTRY_HOST_KIND, intent.host, {"leaving": intent.is_on}, [])
    if not intent.is_on:
        text = f"Discovery names {intent.host} again."
        return draft._replace(steps=[_step(text)])
    others = [
        one
        for one in view.membership.members()
        if one.name != intent.host and not one.is_leaving
    ]
    if not others:
        detail = f"no entry host but {intent.host} is known to take callers"
        return draft._replace(refusal=ErrorKind.BELOW_FLOOR, detail=detail)
    texts = (
        f"Discovery stops naming {intent.host}; {len(others)} others stay.",
        "Callers' kept discovery answers run out.",
        f"{intent.host} finishes what is in flight; it can be stopped then.",
    )
    return draft._replace(steps=[_step(text) for text in texts])


def _current_value(view: FleetView, service: str) -> dict[str, Any] | None:
    """Return a copy of a service's value without marks, None if there is none."""
    value = view.state.value(SERVICE_KIND, service)
    if is_removed(value):
        return None
    copy = dict(value)
    copy.pop("marks", None)
    return copy


def _existing_value(view: FleetView, service: str) -> dict[str, Any]:
    value = _current_value(view, service)
    if value is None:
        raise RequestError(ErrorKind.NOT_FOUND, f"service {service}")
    return value


def _removed_undrained(old: Service, new: Service) -> list[str]:
    """Return the undrained instances that would be removed or change address."""
    kept = {(one.name, one.address) for one in new.instances}
    return [
        one.name
        for one in old.instances
        if (one.name, one.address) not in kept and one.name not in old.drains
    ]


def _with_floor_check(draft: Draft, old: Service | None, new: Service) -> Draft:
    """Add the steps of a service's change, and a refusal if it violates the floor."""
    steps = _service_steps(old, new)
    capacity = _capacity(new)
    if capacity >= new.floor:
        return draft._replace(steps=steps)
    detail = (
        f"{new.name} would have {capacity} of {len(new.instances)} instances in work; "
        f"its floor is {new.floor}"
    )
    return draft._replace(steps=steps, refusal=ErrorKind.BELOW_FLOOR, detail=detail)


def _service_steps(old: Service | None, new: Service) -> list[PlanStep]:
    """Return the steps of a change in order; their capacity ignores ejections."""
    capacity = _capacity(new)
    if old is None:
        text = "Every entry host takes requests for the service."
        return [_step(text, capacity, new.floor)]
    drained = [name for name in new.drains if name not in old.drains]
    undrained = [
        name
        for name in old.drains
        if name not in new.drains and new.instance(name) is not None
    ]
    steps = [_step("Every entry host takes the change.", _capacity(old), old.floor)]
    if drained or new.floor > old.floor:
        text = "Ejections that would take the service below its floor end first."
        steps.append(_step(text, min(capacity, _capacity(old)), new.floor))
    if drained:
        text = f"No new work for {', '.join(drained)}; work in flight finishes."
        steps.append(_step(text, capacity, new.floor))
    if undrained:
        text = f"New work again for {', '.join(undrained)}."
        steps.append(_step(text, capacity, new.floor))
    return steps


def _capacity(service: Service) -> int:
    return len(service.instances) - len(service.drains)


def _step(text: str, capacity: int | None = None, floor: int | None = None) -> PlanStep:
    return PlanStep(text=text, capacity=capacity, floor=floor)
