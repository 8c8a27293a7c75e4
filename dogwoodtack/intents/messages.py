"""Operators' intents, and the plans and receipts sent in response."""

import enum
from typing import Any, NamedTuple, TypedDict

from ..fields import FieldReader, invalid_intent

__all__ = [
    "DefineService",
    "DrainBackEnd",
    "DrainEntryHost",
    "Intent",
    "IntentKind",
    "Plan",
    "PlanStep",
    "Receipt",
    "RemoveService",
    "SetCustomerShare",
    "SetFloor",
    "parse_intent",
]

MAX_FLOOR = 1000
MAX_SHARE = 1_000_000.0


class IntentKind(enum.StrEnum):
    """The kinds of intents."""

    DEFINE_SERVICE = "define-service"
    REMOVE_SERVICE = "remove-service"
    SET_FLOOR = "set-floor"
    SET_CUSTOMER_SHARE = "set-customer-share"
    DRAIN_BACK_END = "drain-back-end"
    DRAIN_ENTRY_HOST = "drain-entry-host"


class DefineService(NamedTuple):
    """Create a service or replace its definition.

    Attributes:
        service: the service's name.
        value: its definition as JSON, without the fields that other intents set.
    """

    service: str
    value: dict[str, Any]


class RemoveService(NamedTuple):
    """Remove a service."""

    service: str


class SetFloor(NamedTuple):
    """Set how many instances of a service must always accept requests."""

    service: str
    floor: int


class SetCustomerShare(NamedTuple):
    """Set a customer's weight in a service's fair queueing."""

    service: str
    customer: str
    share: float


class DrainBackEnd(NamedTuple):
    """Begin or end the drain of an instance, which then gets no new requests.

    Attributes:
        service: the service's name.
        instance: the instance's name.
        is_on: whether the drain begins; False ends it.
    """

    service: str
    instance: str
    is_on: bool


class DrainEntryHost(NamedTuple):
    """Begin or end the drain of an entry host, which discovery then leaves out.

    Attributes:
        host: the entry host's name.
        is_on: whether the drain begins; False ends it.
    """

    host: str
    is_on: bool


Intent = (
    DefineService
    | RemoveService
    | SetFloor
    | SetCustomerShare
    | DrainBackEnd
    | DrainEntryHost
)


class PlanStep(TypedDict):
    """One step of a plan.

    `capacity` is how many instances accept requests once the step is done, `floor`
    how many must; both are None for a step that affects no service's capacity.
    """

    text: str
    capacity: int | None
    floor: int | None


class Plan(TypedDict):
    """The change that confirming an intent would make.

    `base_version` is the version of the object that the plan is based on, and
    `value` the value that replaces it. `plan_id` is a keyed digest of all other
    fields.
    """

    plan_id: str
    intent: dict[str, Any]
    object_kind: str
    object_name: str
    base_version: int
    value: dict[str, Any]
    changes: list[str]
    steps: list[PlanStep]
    allowed: bool
    refusal: str
    refusal_detail: str


class Receipt(TypedDict):
    """The response to a confirmation that was accepted."""

    plan_id: str
    result: str
    object_kind: str
    object_name: str
    version: int


def parse_intent(body: Any) -> Intent:
    """Parse the JSON form of an intent.

    Raises:
        RequestError: INVALID_INTENT, with the invalid field and what it may hold.
    """
    fields = FieldReader(body, "intent")
    kind = fields.string("kind")
    if kind not in tuple(IntentKind):
        raise invalid_intent(f"intent: kind must be one of {', '.join(IntentKind)}")
    intent = _PARSERS[IntentKind(kind)](fields)
    fields.reject_unknown()
    return intent


def _parse_define(fields: FieldReader) -> DefineService:
    service = fields.string("service")
    return DefineService(service, fields.remaining())


def _parse_remove(fields: FieldReader) -> RemoveService:
    return RemoveService(fields.string("service"))


def _parse_floor(fields: FieldReader) -> SetFloor:
    return SetFloor(fields.string("service"), fields.integer("floor", 0, MAX_FLOOR))


def _parse_share(fields: FieldReader) -> SetCustomerShare:
    return SetCustomerShare(
        fields.string("service"),
        fields.string("customer"),
        fields.number("share", 0.0, MAX_SHARE, 1.0),
    )


def _parse_drain_back_end(fields: FieldReader) -> DrainBackEnd:
    return DrainBackEnd(
        fields.string("service"), fields.string("instance"), fields.boolean("on", True)
    )


def _parse_drain_entry_host(fields: FieldReader) -> DrainEntryHost:
    return DrainEntryHost(fields.string("host"), fields.boolean("on", True))


_PARSERS = {
    IntentKind.DEFINE_SERVICE: _parse_define,
    IntentKind.REMOVE_SERVICE: _parse_remove,
    IntentKind.SET_FLOOR: _parse_floor,
    IntentKind.SET_CUSTOMER_SHARE: _parse_share,
    IntentKind.DRAIN_BACK_END: _parse_drain_back_end,
    IntentKind.DRAIN_ENTRY_HOST: _parse_drain_entry_host,
}
