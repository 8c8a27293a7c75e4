"""Decoding of the platform's objects."""

import re
from collections import Counter
from typing import Any

from ..errors import DECODE_ERRORS, DogwoodtackError
from ..misc import parse_address
from ..placement import EntryVersion, Instance, check_instance, check_name
from ..routing import (
    CallerLimits,
    Configuration,
    Organisation,
    Route,
    RouteKind,
    ServiceRules,
    WeightedService,
    digest_key,
)
from .part_reader import PartLog, PartReader, is_number

__all__ = [
    "WireFormatError",
    "decode_configuration",
    "decode_entry_version",
    "decode_instance",
]

# Usually eight hexadecimal digits.
VERSION_PATTERN = re.compile(r"[0-9a-fA-F]{1,12}")
VERSION_BASE = 16
# The largest whole number that every JSON decoder reads exactly.
MAX_WHOLE_NUMBER = 2**53
# Longer times and higher rates and weights are slips, and overflow when multiplied.
MAX_SECONDS = 1e6
# A shorter limit of time would end every request.
MIN_SECONDS = 0.001
MAX_RATE_PER_S = 1e6
MAX_WEIGHT = 1e9
DEFAULT_OBJECTIVE_S = 1.0
# Priority of what has none that can be read.
LEAST_URGENT = 99
MAX_HOST_CHARS = 255
REPLACEMENT_CHARACTER = "\ufffd"
# Callers can't send longer keys and paths: headers are limited to 16 kB by default.
MAX_TOKEN_CHARS = 8191
KINDS = frozenset(RouteKind)


class WireFormatError(DogwoodtackError):
    """An object of the platform cannot be decoded."""


def decode_configuration(spec: Any) -> Configuration:
    """Decode a configuration.

    A part that can't be decoded spoils only itself: its odd fields get safe defaults,
    and each is logged.  Whatever is odd about organisations counts against them, except
    for their rates.

    Raises:
        WireFormatError: the version is no number, or there is no table of routes.
            Without one, every request would end with 404.
    """
    try:
        version = _decode_version(spec["version"])
        routes = spec["routes"].items()
    except DECODE_ERRORS as exc:
        # The exception may quote a part of the object, which has keys.
        name = type(exc).__name__
        message = f"configuration without version or routes: {name}"
        raise WireFormatError(message) from None
    log = PartLog(version)
    decoded = [_decode_route(name, route, log) for name, route in routes]
    configuration = Configuration(
        version,
        tuple(route for route in decoded if route is not None),
        _decode_services(spec.get("services"), log),
        _decode_limits(spec.get("limits", {}), log),
        _decode_organisations(spec["tenants"], log) if "tenants" in spec else None,
    )
    log.close()
    return configuration


def _decode_version(text: Any) -> int:
    """Return the number of a version.

    Raises:
        TypeError, ValueError: the text is no number, or one that no later version
            could be greater than.
    """
    if not VERSION_PATTERN.fullmatch(text):
        raise ValueError("no version")
    return int(text, VERSION_BASE)


def _decode_route(name: str, value: Any, log: PartLog) -> Route | None:
    """Return a route, or None if its requests can't be told from others."""
    part = PartReader(value, "route", name, log)
    host = part.text("host", is_valid=_is_host)
    prefix = part.text("pathPrefix", is_valid=_is_path)
    if not host or not prefix:
        return None
    return Route(
        name=name,
        host=host.lower(),
        prefix=prefix,
        kind=_decode_kind(part),
        weighted_services=_decode_split(part),
        # Zero stands for no limit.
        timeout_s=part.number("timeoutS", 0.0, 0.0, MAX_SECONDS) or None,
        # Responses within this time earn full credit.
        objective_s=part.number("targetLatencyS", 0.0, 0.0, MAX_SECONDS)
        or DEFAULT_OBJECTIVE_S,
        max_attempts=part.whole("maxAttempts", 1, 1, MAX_WHOLE_NUMBER),
        priority=_decode_priority(part, missing=0),
        allows_anonymous=part.is_true("allowAnonymous"),
    )


def _decode_kind(part: PartReader) -> RouteKind:
    kind = part.text("kind", is_valid=KINDS.__contains__)
    return RouteKind(kind) if kind else RouteKind.UNSAFE


def _decode_priority(part: PartReader, missing: int) -> int:
    """Return a priority; an odd one must not go before those that can be read."""
    if "priority" not in part and part.is_table:
        part.report("priority")
        return missing
    return part.whole("priority", LEAST_URGENT, 0, LEAST_URGENT)


def _decode_split(part: PartReader) -> tuple[WeightedService, ...]:
    """Return the usable services of a route, empty if there is none."""
    services = []
    items = part.items("trafficSplit", is_optional=True)
    for item in items:
        service = item.get("service") if isinstance(item, dict) else None
        if _is_name(service):
            services.append(WeightedService(service, _decode_weight(item, part)))
        else:
            part.report("trafficSplit")
    if not services and (not items or "service" in part):
        service = part.text("service", is_valid=_is_name)
        services = [WeightedService(service, 1.0)] if service else []
    return tuple(services)


def _decode_weight(item: dict[str, Any], part: PartReader) -> float:
    weight = item.get("weight", 1.0)
    if is_number(weight) and 0 <= weight <= MAX_WEIGHT:
        return float(weight)
    # A service whose share is not known gets requests only where it is the only one.
    part.report("trafficSplit")
    return 0.0


def _decode_services(value: Any, log: PartLog) -> tuple[ServiceRules, ...]:
    if not isinstance(value, dict):
        log.report("service", "")
        return ()
    parts = [PartReader(rules, "service", name, log) for name, rules in value.items()]
    return tuple(
        ServiceRules(
            name,
            part.text("healthCheckPath", "/", _is_path, is_optional=True),
            part.whole("maxConnections", 0, 0, MAX_WHOLE_NUMBER, is_optional=True),
        )
        for name, part in zip(value, parts, strict=True)
    )


def _decode_limits(value: Any, log: PartLog) -> CallerLimits:
    part = PartReader(value, "limits", "", log)
    base = CallerLimits()

    def count(field: str, default: int) -> int:
        return part.whole(field, default, 1, MAX_WHOLE_NUMBER, is_optional=True)

    def seconds(field: str, default: float) -> float:
        found = part.number(field, default, MIN_SECONDS, MAX_SECONDS, is_optional=True)
        return float(found)

    return CallerLimits(
        count("maxHeaderBytes", base.max_header_bytes),
        count("maxBodyBytes", base.max_body_bytes),
        seconds("headerTimeoutS", base.header_timeout_s),
        seconds("idleTimeoutS", base.idle_timeout_s),
    )


def _decode_organisations(value: Any, log: PartLog) -> tuple[Organisation, ...]:
    """Return the organisations, none of them if the value is no table.

    A key of several organisations is valid for none, as nobody can tell whose request
    it is.
    """
    if not isinstance(value, dict):
        log.report("organisation", "")
        return ()
    parts = [
        PartReader(fields, "organisation", name, log) for name, fields in value.items()
    ]
    digests = [_decode_keys(part) for part in parts]
    uses = Counter(digest for known in digests for digest in known)
    decoded = []
    for name, part, known in zip(value, parts, digests, strict=True):
        if not _is_name(name) or name != name.strip():
            part.report("")
            continue
        own = tuple(digest for digest in known if uses[digest] == 1)
        if len(own) < len(known):
            part.report("apiKeys")
        rate_per_s = part.number("ratePerS", 0.0, 0.0, MAX_RATE_PER_S, is_optional=True)
        decoded.append(
            Organisation(
                name,
                own,
                _decode_priority(part, missing=LEAST_URGENT),
                float(rate_per_s),
                # Without a usable burst, what a second allows may come at once.
                float(
                    part.number(
                        "burst", rate_per_s, 0.0, MAX_RATE_PER_S, not rate_per_s
                    )
                ),
            )
        )
    return tuple(decoded)


def _decode_keys(part: PartReader) -> tuple[str, ...]:
    """Return the digests of an organisation's readable keys, each once."""
    keys = part.items("apiKeys")
    readable = [key for key in keys if _is_key(key)]
    if len(readable) < len(keys):
        part.report("apiKeys")
    return tuple(dict.fromkeys(digest_key(key) for key in readable))


def _is_key(value: Any) -> bool:
    """Return whether a caller can send a key, as one token of a header.

    The bytes of a text with a replacement character could not be read, so that others
    would match them.
    """
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_TOKEN_CHARS
        and value.isprintable()
        and " " not in value
        and REPLACEMENT_CHARACTER not in value
    )


def _is_host(value: str) -> bool:
    is_text = all("!" <= char <= "~" for char in value)
    return 0 < len(value) <= MAX_HOST_CHARS and is_text


def _is_path(value: str) -> bool:
    is_short = len(value) <= MAX_TOKEN_CHARS
    return value.startswith("/") and value.isprintable() and is_short


def _is_name(value: Any) -> bool:
    """Return whether a text can name something in headers and log lines."""
    try:
        check_name(value)
    except ValueError:
        return False
    return True


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
