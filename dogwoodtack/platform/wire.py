"""Decoding of the platform's objects."""

from typing import Any

from ..errors import DECODE_ERRORS, DogwoodtackError
from ..misc import parse_address
from ..placement import EntryVersion, Instance, check_instance, check_name
from ..routing import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    ServiceRules,
    WeightedService,
)

__all__ = [
    "WireFormatError",
    "decode_configuration",
    "decode_entry_version",
    "decode_instance",
]

VERSION_BASE = 16
# The largest whole number that every JSON decoder reads exactly.
MAX_WHOLE_NUMBER = 2**53


class WireFormatError(DogwoodtackError):
    """An object of the platform cannot be decoded."""


def decode_configuration(spec: Any) -> Configuration:
    """Decode a configuration.

    Raises:
        WireFormatError: a field is missing or has an invalid value.
    """
    try:
        limits = spec.get("limits") or {}
        defaults = CallerLimits()
        return Configuration(
            # Eight hexadecimal digits.
            version=int(spec["version"], VERSION_BASE),
            routes=tuple(
                _decode_route(name, route) for name, route in spec["routes"].items()
            ),
            services=tuple(
                ServiceRules(
                    name,
                    str(rules.get("healthCheckPath", "/")),
                    int(rules.get("maxConnections", 0)),
                )
                for name, rules in spec["services"].items()
            ),
            limits=CallerLimits(
                int(limits.get("maxHeaderBytes", defaults.max_header_bytes)),
                int(limits.get("maxBodyBytes", defaults.max_body_bytes)),
                float(limits.get("headerTimeoutS", defaults.header_timeout_s)),
                float(limits.get("idleTimeoutS", defaults.idle_timeout_s)),
            ),
        )
    except DECODE_ERRORS as exc:
        raise WireFormatError(f"configuration: {exc!r}") from exc


def _decode_route(name: str, route: dict[str, Any]) -> Route:
    split = route.get("trafficSplit") or [{"service": route.get("service")}]
    services = tuple(
        WeightedService(str(part["service"]), float(part.get("weight", 1.0)))
        for part in split
    )
    timeout = route.get("timeoutS")
    return Route(
        name=name,
        host=str(route["host"]).lower(),
        prefix=str(route["pathPrefix"]),
        kind=RouteKind(route["kind"]),
        weighted_services=services,
        timeout_s=float(timeout) if timeout else None,
        # Responses within this time earn full credit.
        objective_s=float(route.get("targetLatencyS") or 1.0),
        max_attempts=int(route.get("maxAttempts", 1)),
        priority=int(route.get("priority", 0)),
    )


def decode_instance(item: Any) -> Instance:
    """Decode an entry of the service directory.

    Raises:
        WireFormatError: the entry describes no usable instance, because another
            program wrote it or a field is missing or invalid.
    """
    try:
        record, status = _entry_parts(item)
        info = record["info"]
        state = status["state"]
        if state not in ("ready", "draining"):
            raise ValueError("unknown state")
        if "version" in info:
            check_name(info["version"])
        warmup_s = status.get("warmupLeftS") or 0.0
        instance = Instance(
            id=item["metadata"]["name"],
            service=info["service"],
            address=parse_address(record["address"]),
            zone=info["zone"],
            slots=info["slots"],
            is_draining=state == "draining",
            warmup_s=0.0 if warmup_s < 0 else warmup_s,
            born_ms=_entry_born_ms(item, record),
        )
        _whole_number(status.get("sequence") or 0)
        check_instance(instance)
    except DECODE_ERRORS as exc:
        raise WireFormatError(f"instance: {exc!r}") from exc
    return instance


def decode_entry_version(item: Any) -> EntryVersion:
    """Decode how recently an entry of the service directory was written.

    Fields that are missing or invalid count as unknown.
    """
    try:
        record, status = _entry_parts(item)
        sequence = _whole_number(status.get("sequence") or 0)
        return EntryVersion(_entry_born_ms(item, record), sequence)
    except DECODE_ERRORS:
        # `decode_instance` reports entries that are unusable.
        return EntryVersion()


def _entry_parts(item: Any) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the parts of an entry that its instance and its state fill.

    An instance writes its entry either as one record or as an object's spec with the
    status beside it; both forms are accepted.
    """
    record = item if "info" in item else (item.get("spec") or {})
    return record, record["status"] if "status" in record else item["status"]


def _entry_born_ms(item: dict[str, Any], record: dict[str, Any]) -> int:
    return _whole_number(record.get("born") or item.get("born") or 0)


def _whole_number(value: Any) -> int:
    """Return a number of an entry.

    Raises:
        TypeError, ValueError, OverflowError: the value is no whole number that numbers
            of entries can be.
    """
    if isinstance(value, (bool, str)):
        raise TypeError("a number has another type")
    number = int(value)
    if not 0 <= number == value <= MAX_WHOLE_NUMBER:
        raise ValueError("a number is out of range")
    return number
