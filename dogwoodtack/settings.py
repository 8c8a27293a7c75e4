"""Settings of the daemon, with their defaults and origins."""

import configparser
from collections.abc import Callable
from typing import Any, NamedTuple

from .errors import SettingsError
from .misc import Address, parse_address

__all__ = ["SETTINGS", "Setting", "Settings", "load_settings"]

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class Setting(NamedTuple):
    """Definition of a setting.

    Attributes:
        section: INI section.
        key: INI key.
        parse: returns the value of a text, or raises ValueError.
        default: the text used if the setting is missing; None if it is required.
        allowed: the allowed values, for error messages and the docs.
    """

    section: str
    key: str
    parse: Callable[[str], Any]
    default: str | None
    allowed: str


def _parse_text(value: str) -> str:
    if not value.strip():
        raise ValueError("is empty")
    return value.strip()


def _parse_secret(value: str) -> str:
    if len(value.strip()) < 8:
        raise ValueError("is shorter than 8 characters")
    return value.strip()


def _parse_addresses(value: str) -> tuple[Address, ...]:
    parts = value.replace(",", " ").split()
    return tuple(parse_address(part) for part in parts)


def _parse_level(value: str) -> str:
    if value.upper() not in LOG_LEVELS:
        raise ValueError("is not a log level")
    return value.upper()


def _parse_seconds(low: float, high: float) -> Callable[[str], float]:
    def parse(value: str) -> float:
        number = float(value)
        if not low <= number <= high:
            raise ValueError(f"is not from {low:g} to {high:g}")
        return number

    return parse


def _parse_integer(low: int, high: int) -> Callable[[str], int]:
    def parse(value: str) -> int:
        number = int(value)
        if not low <= number <= high:
            raise ValueError(f"is not from {low} to {high}")
        return number

    return parse


def _parse_boolean(value: str) -> bool:
    if value.lower() not in ("yes", "no"):
        raise ValueError("is not yes or no")
    return value.lower() == "yes"


SETTINGS: tuple[Setting, ...] = (
    Setting("node", "name", _parse_text, None, "a name unique among the entry hosts"),
    Setting("node", "zone", _parse_text, None, "the availability zone's name"),
    Setting("node", "region", _parse_text, "default", "the region's name"),
    Setting("node", "caller_address", parse_address, None, "host:port"),
    Setting("node", "peer_address", parse_address, None, "host:port"),
    Setting("node", "operator_address", parse_address, None, "host:port"),
    Setting("peers", "seeds", _parse_addresses, "", "peer addresses, host:port each"),
    Setting("peers", "access_key", _parse_secret, None, "at least 8 characters"),
    Setting("operators", "access_key", _parse_secret, None, "at least 8 characters"),
    Setting("store", "address", parse_address, None, "host:port"),
    Setting("store", "timeout_s", _parse_seconds(0.05, 60), "2", "0.05 to 60"),
    Setting(
        "callers",
        "max_body_bytes",
        _parse_integer(0, 1 << 40),
        "4294967296",
        "0 to 2^40",
    ),
    Setting(
        "callers", "max_connections", _parse_integer(1, 65536), "4096", "1 to 65536"
    ),
    Setting("callers", "head_timeout_s", _parse_seconds(0.1, 300), "10", "0.1 to 300"),
    Setting(
        "callers", "stall_timeout_s", _parse_seconds(0.1, 3600), "60", "0.1 to 3600"
    ),
    Setting("callers", "discovery_ttl_s", _parse_seconds(0.1, 300), "5", "0.1 to 300"),
    Setting("backends", "dial_timeout_s", _parse_seconds(0.01, 60), "1", "0.01 to 60"),
    Setting("keys", "epoch_s", _parse_seconds(0.1, 3600), "60", "0.1 to 3600"),
    Setting(
        "keys", "max_keys", _parse_integer(1, 10_000_000), "100000", "1 to 10000000"
    ),
    Setting(
        "keys",
        "max_answer_bytes",
        _parse_integer(0, 1 << 30),
        "16777216",
        "0 to 1073741824",
    ),
    Setting("stop", "limit_s", _parse_seconds(0, 86400), "3600", "0 to 86400"),
    Setting("test", "cuts", _parse_boolean, "no", "yes or no; yes only in tests"),
    Setting("logs", "level", _parse_level, "INFO", ", ".join(LOG_LEVELS)),
)


class Settings:
    """Validated values.

    Values are attributes named `section_key`, such as `node_name`.

    Attributes:
        origins: the file of each value, or "default", by attribute name.
    """

    def __init__(self) -> None:
        self._values: dict[str, Any] = {}
        self.origins: dict[str, str] = {}

    def put(self, setting: Setting, value: Any, origin: str) -> None:
        """Set a validated value and its origin."""
        name = f"{setting.section}_{setting.key}"
        self._values[name] = value
        self.origins[name] = origin

    def __getattr__(self, name: str) -> Any:
        values = self.__dict__.get("_values", {})
        if name in values:
            return values[name]
        raise AttributeError(name)


def load_settings(path: str) -> Settings:
    """Read and validate an INI file.

    Raises:
        SettingsError: the file cannot be read or a setting is invalid; the text
            names the file, section, key, value and the allowed values.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise SettingsError(f"{path}: cannot be read: {exc}") from exc
    _reject_unknown(path, parser)
    settings = Settings()
    for setting in SETTINGS:
        _read_setting(path, parser, setting, settings)
    return settings


def _reject_unknown(path: str, parser: configparser.ConfigParser) -> None:
    known = {(setting.section, setting.key) for setting in SETTINGS}
    for section in parser.sections():
        for key in parser[section]:
            if (section, key) not in known:
                raise SettingsError(f"{path}: [{section}] {key}: unknown setting")


def _read_setting(
    path: str, parser: configparser.ConfigParser, setting: Setting, settings: Settings
) -> None:
    where = f"{path}: [{setting.section}] {setting.key}"
    text = parser.get(setting.section, setting.key, fallback=None)
    origin = path
    if text is None:
        text = setting.default
        origin = "default"
    if text is None:
        raise SettingsError(f"{where}: missing; allowed: {setting.allowed}")
    try:
        value = setting.parse(text)
    except ValueError as exc:
        shown = "***" if "key" in setting.key else repr(text)
        raise SettingsError(
            f"{where}: value {shown} {exc}; allowed: {setting.allowed}"
        ) from exc
    settings.put(setting, value, origin)
