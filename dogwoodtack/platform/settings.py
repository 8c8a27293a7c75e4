"""Read the platform's settings file of a process into our settings."""

import os
import tomllib
from typing import Any

from ..entry import Bounds, EntrySettings
from ..errors import SettingsError
from ..misc import Address, parse_address
from ..placement import RetryRules

__all__ = ["SETTINGS_VARIABLE", "load_entry_settings", "read_entry_settings"]

SETTINGS_VARIABLE = "DOGWOODTACK_SETTINGS"


def load_entry_settings(path: str | None = None) -> EntrySettings:
    """Read the settings file that the platform names, or one at a path.

    Raises:
        SettingsError: there is no such file, or it cannot be used.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    return read_entry_settings(fields)


def read_entry_settings(fields: dict[str, Any]) -> EntrySettings:
    """Decode the fields of a settings file; unknown ones are ignored.

    Raises:
        SettingsError: a field is missing or of another type.
    """
    try:
        listen = fields["listen"]
        limits = fields["limits"]
        low, high = fields["internalPortRange"]
        return EntrySettings(
            name=str(fields["node"]),
            zone=str(fields["zone"]),
            callers=parse_address(listen["front"]),
            readiness=parse_address(listen["ready"]),
            directory=parse_address(listen["directory"]),
            peer_ports=(int(low), int(high)),
            store=_store_address(fields),
            # A core's share is given for each core.
            cores=float(limits["cpuShare"]) * float(limits["cores"]),
            link_mbps=float(limits["linkMbps"]),
            bounds=_bounds(fields.get("bounds", [])),
        )
    except KeyError as exc:
        raise SettingsError(f"the field {exc} is missing") from exc
    except (TypeError, ValueError, AttributeError) as exc:
        raise SettingsError(f"a field has no usable value: {exc}") from exc


def _store_address(fields: dict[str, Any]) -> Address:
    return parse_address(fields["platform"]["address"])


def _bounds(texts: list[str]) -> Bounds:
    given: dict[str, float] = {}
    for text in texts:
        name, sep, value = text.partition("=")
        try:
            given[name.strip()] = float(value)
        except ValueError:
            # Some bounds are true or false, and none of those is used here.
            continue
    plain = Bounds()
    return Bounds(
        grace_s=given.get("graceS", plain.grace_s),
        max_answer_ttl_s=given.get("ttl_max_s", plain.max_answer_ttl_s),
        retries=RetryRules(
            ratio=given.get("retryBudgetRatio", plain.retries.ratio),
            window_s=given.get("retryWindowS", plain.retries.window_s),
            slack=given.get("budgetSlack", plain.retries.slack),
        ),
    )
