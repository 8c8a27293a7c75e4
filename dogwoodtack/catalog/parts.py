"""Parsing of the usable parts of a service's definition."""

from collections.abc import Iterator
from typing import Any

from ..errors import DECODE_ERRORS, RequestError
from .service import Service, parse_service

__all__ = ["parse_parts"]

# The fields of each part that this build knows; a newer node may have written others.
ROUTE_FIELDS = ("host", "prefix", "idempotent_methods", "timeout_ms")
INSTANCE_FIELDS = ("name", "address", "zone", "slots", "leaving")
SERVICE_FIELDS = (
    "drains",
    "caution",
    "shares",
    "keyless",
    "retry_ratio",
    "probe_path",
    "good_ratio",
    "slow_ms",
)


def parse_parts(name: str, value: Any) -> Service | None:
    """Parse the usable parts of a definition that does not parse as a whole.

    A route whose methods can't be read has no idempotent ones.  If the floor can't be
    read, no instance may be drained.

    Args:
        name: the service's name.
        value: its definition as JSON.

    Returns:
        The service, or None if there is none with this name or definition.
    """
    if not isinstance(value, dict) or not _parses(name, {}):
        return None
    usable: dict[str, Any] = {
        "routes": list(_usable_routes(name, value.get("routes"))),
        "instances": list(_usable_instances(name, value.get("instances"))),
    }
    for field in SERVICE_FIELDS:
        if field in value and _parses(name, usable | {field: value[field]}):
            usable[field] = value[field]
    floors = (value.get("floor", 0), len(usable["instances"]))
    usable["floor"] = next(
        one for one in floors if _parses(name, {**usable, "floor": one})
    )
    return parse_service(name, usable)


def _usable_routes(name: str, items: Any) -> Iterator[dict[str, Any]]:
    for item in items if isinstance(items, list) else ():
        known = _known_fields(item, ROUTE_FIELDS)
        place = {key: known[key] for key in ("host", "prefix") if key in known}
        for route in (known, place | {"idempotent_methods": []}):
            if _parses(name, {"routes": [route]}):
                yield route
                break


def _usable_instances(name: str, items: Any) -> Iterator[dict[str, Any]]:
    """Return the usable instances; the first of a name counts."""
    names: set[str] = set()
    for item in items if isinstance(items, list) else ():
        instance = _known_fields(item, INSTANCE_FIELDS)
        if _parses(name, {"instances": [instance]}) and instance["name"] not in names:
            names.add(instance["name"])
            yield instance


def _known_fields(item: Any, fields: tuple[str, ...]) -> dict[str, Any]:
    if not isinstance(item, dict):
        return {}
    return {key: value for key, value in item.items() if key in fields}


def _parses(name: str, value: dict[str, Any]) -> bool:
    try:
        parse_service(name, value)
    except (RequestError, *DECODE_ERRORS):
        return False
    return True
