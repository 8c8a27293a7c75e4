"""Decoding of the platform's settings file of an entry host."""

import math
import os
import resource
import tomllib
from typing import Any

from ..entry import Bounds, EntrySettings
from ..errors import SettingsError
from ..misc import Address, parse_address
from ..placement import BalancingSetting, RetryRules
from ..quotas import QuotaBounds

__all__ = ["SETTINGS_VARIABLE", "load_entry_settings", "decode_entry_settings"]

# Of a host at the target size.
DEFAULT_MEMORY_MB = 256.0
SETTINGS_VARIABLE = "DOGWOODTACK_SETTINGS"
# The bounds that are the operator's to choose; the others state the platform's rules.
MAX_PAUSE_BOUND = "maxPauseS"
STRICT_REVOCATION_BOUND = "strictRevocation"
BALANCING_BOUND = "balancing"


def load_entry_settings(path: str | None = None) -> EntrySettings:
    """Read the settings file at a path, by default the one that the platform names.

    Raises:
        SettingsError: the file cannot be read, or its contents are invalid.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    return decode_entry_settings(fields)


def decode_entry_settings(fields: dict[str, Any]) -> EntrySettings:
    """Decode the fields of a settings file; unknown fields are ignored.

    Raises:
        SettingsError: a field is missing or has an invalid value.
    """
    try:
        listen = fields["listen"]
        limits = fields["limits"]
        low, high = (int(port) for port in fields["internalPortRange"])
        if low >= high:
            raise SettingsError("field internalPortRange has fewer than two ports")
        return EntrySettings(
            name=str(fields["node"]),
            zone=str(fields["zone"]),
            callers=parse_address(listen["front"]),
            readiness=parse_address(listen["ready"]),
            directory=parse_address(listen["directory"]),
            peer_ports=(low, high),
            store=_store_address(fields),
            # The CPU share is given per core.
            cores=float(limits["cpuShare"]) * float(limits["cores"]),
            link_mbps=float(limits["linkMbps"]),
            max_descriptors=_max_descriptors(limits),
            memory_mb=_memory_mb(limits),
            bounds=_bounds(fields.get("bounds", [])),
        )
    except KeyError as exc:
        raise SettingsError(f"field {exc} is missing") from exc
    except (AttributeError, OverflowError, TypeError, ValueError) as exc:
        raise SettingsError(f"a field has an invalid value: {exc}") from exc


def _max_descriptors(limits: dict[str, Any]) -> int:
    """Return the limit of descriptors, by default that of the process itself."""
    if "maxFds" not in limits:
        return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    value = int(limits["maxFds"])
    if value < 1:
        raise SettingsError(f"field maxFds is not a positive number: {value}")
    return value


def _memory_mb(limits: dict[str, Any]) -> float:
    value = float(limits.get("memoryMb", DEFAULT_MEMORY_MB))
    if not 0.0 < value < math.inf:
        raise SettingsError(f"field memoryMb is not a positive number: {value}")
    return value


def _store_address(fields: dict[str, Any]) -> Address:
    return parse_address(fields["platform"]["address"])


def _bounds(entries: list[str]) -> Bounds:
    values: dict[str, float] = {}
    max_pause_s = Bounds().max_pause_s
    strict_revocation = Bounds().strict_revocation
    balancing = Bounds().balancing
    for entry in entries:
        name, sep, value = entry.partition("=")
        if name.strip() == MAX_PAUSE_BOUND:
            max_pause_s = _positive(MAX_PAUSE_BOUND, value)
            continue
        if name.strip() == STRICT_REVOCATION_BOUND:
            # Whatever else it says may be meant to be strict.
            strict_revocation = value.strip().lower() != "false"
            continue
        if name.strip() == BALANCING_BOUND:
            balancing = BalancingSetting(value.strip())
            continue
        try:
            values[name.strip()] = float(value)
        except ValueError:
            # Other bounds are booleans, none of which is used here.
            continue
    defaults = Bounds()
    return Bounds(
        grace_s=values.get("graceS", defaults.grace_s),
        max_answer_ttl_s=values.get("ttl_max_s", defaults.max_answer_ttl_s),
        retries=RetryRules(
            ratio=values.get("retryBudgetRatio", defaults.retries.ratio),
            window_s=values.get("retryWindowS", defaults.retries.window_s),
            slack=values.get("budgetSlack", defaults.retries.slack),
        ),
        max_pause_s=max_pause_s,
        strict_revocation=strict_revocation,
        revoke_s=_time_or_default(values.get("revokeS"), defaults.revoke_s),
        balancing=balancing,
        quotas=_quota_bounds(values),
    )


def _quota_bounds(values: dict[str, float]) -> QuotaBounds:
    """Return by how much limits may be exceeded; odd values get the defaults."""
    defaults = QuotaBounds()
    named = QuotaBounds(
        window_s=values.get("quotaWindowS", defaults.window_s),
        over=values.get("quotaOver", defaults.over),
        slack=values.get("quotaSlack", defaults.slack),
    )
    return QuotaBounds(
        *(
            value if 0.0 <= value < math.inf else default
            for value, default in zip(named, defaults, strict=True)
        )
    )


def _time_or_default(value: float | None, default: float) -> float:
    """Return a time in seconds, or the default if it is none."""
    return value if value is not None and 0.0 < value < math.inf else default


def _positive(name: str, text: str) -> float:
    value = float(text)
    if not 0.0 < value < math.inf:
        raise SettingsError(f"bound {name} is not a positive number: {text}")
    return value
