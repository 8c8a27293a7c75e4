"""One class that knows every setting, its default and where it came from."""

import configparser
from collections.abc import Callable
from typing import Any, NamedTuple

from .errors import SettingsError
from .misc import Address, parse_address

__all__ = ["SETTINGS", "Setting", "Settings", "load_settings"]

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class Setting(NamedTuple):
    """One setting.

    Attributes:
        section: INI section.
        key: INI key.
        read: turns the text into a value, or raises ValueError.
        default: the text used where the setting is missing; None if required.
        allowed: what is allowed, for error messages and the docs.
    """

    section: str
    key: str
    read: Callable[[str], Any]
    default: str | None
    allowed: str


def _text(value: str) -> str:
    if not value.strip():
        raise ValueError("is empty")
    return value.strip()


def _secret(value: str) -> str:
    if len(value.strip()) < 8:
        raise ValueError("is shorter than 8 characters")
    return value.strip()


def _addresses(value: str) -> tuple[Address, ...]:
    parts = value.replace(",", " ").split()
    return tuple(parse_address(part) for part in parts)


def _level(value: str) -> str:
    if value.upper() not in LOG_LEVELS:
        raise ValueError("is not a log level")
    return value.upper()


def _seconds(low: float, high: float) -> Callable[[str], float]:
    def read(value: str) -> float:
        number = float(value)
        if not low <= number <= high:
            raise ValueError(f"is not from {low:g} to {high:g}")
        return number

    return read


def _whole(low: int, high: int) -> Callable[[str], int]:
    def read(value: str) -> int:
        number = int(value)
        if not low <= number <= high:
            raise ValueError(f"is not from {low} to {high}")
        return number

    return read


def _flag(value: str) -> bool:
    if value.lower() not in ("yes", "no"):
        raise ValueError("is not yes or no")
    return value.lower() == "yes"


SETTINGS: tuple[Setting, ...] = (
    Setting("node", "name", _text, None, "a name unique among the entry hosts"),
    Setting("node", "zone", _text, None, "the availability zone's name"),
    Setting("node", "region", _text, "default", "the region's name"),
    Setting("node", "caller_address", parse_address, None, "host:port"),
    Setting("node", "peer_address", parse_address, None, "host:port"),
    Setting("node", "operator_address", parse_address, None, "host:port"),
    Setting("peers", "seeds", _addresses, "", "peer addresses, host:port each"),
    Setting("peers", "access_key", _secret, None, "at least 8 characters"),
    Setting("operators", "access_key", _secret, None, "at least 8 characters"),
    Setting("store", "address", parse_address, None, "host:port"),
    Setting("store", "timeout_s", _seconds(0.05, 60), "2", "0.05 to 60"),
    Setting("callers", "max_body_bytes", _whole(0, 1 << 40), "4294967296", "0 to 2^40"),
    Setting("callers", "max_connections", _whole(1, 65536), "4096", "1 to 65536"),
    Setting("callers", "head_timeout_s", _seconds(0.1, 300), "10", "0.1 to 300"),
    Setting("callers", "stall_timeout_s", _seconds(0.1, 3600), "60", "0.1 to 3600"),
    Setting("callers", "discovery_ttl_s", _seconds(0.1, 300), "5", "0.1 to 300"),
    Setting("backends", "dial_timeout_s", _seconds(0.01, 60), "1", "0.01 to 60"),
    Setting("keys", "epoch_s", _seconds(0.1, 3600), "60", "0.1 to 3600"),
    Setting("keys", "max_keys", _whole(1, 10_000_000), "100000", "1 to 10000000"),
    Setting(
        "keys", "max_answer_bytes", _whole(0, 1 << 30), "16777216", "0 to 1073741824"
    ),
    Setting("stop", "limit_s", _seconds(0, 86400), "3600", "0 to 86400"),
    Setting("test", "cuts", _flag, "no", "yes or no; yes only in tests"),
    Setting("logs", "level", _level, "INFO", ", ".join(LOG_LEVELS)),
)


class Settings:
    """Checked values, each with its origin.

    Attributes are named `section_key`, such as `node_name`.
    """

    def __init__(self) -> None:
        self._values: dict[str, Any] = {}
        self.origins: dict[str, str] = {}

    def put(self, setting: Setting, value: Any, origin: str) -> None:
        """Keep a checked value and where it came from."""
        name = f"{setting.section}_{setting.key}"
        self._values[name] = value
        self.origins[name] = origin

    def __getattr__(self, name: str) -> Any:
        values = self.__dict__.get("_values", {})
        if name in values:
            return values[name]
        raise AttributeError(name)


def load_settings(path: str) -> Settings:
    """Read and check an INI file.

    Raises:
        SettingsError: names the file, section, key, value and what is allowed.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise SettingsError(f"{path}: cannot be read: {exc}") from exc
    _refuse_unknown(path, parser)
    settings = Settings()
    for setting in SETTINGS:
        _take(path, parser, setting, settings)
    return settings


def _refuse_unknown(path: str, parser: configparser.ConfigParser) -> None:
    known = {(setting.section, setting.key) for setting in SETTINGS}
    for section in parser.sections():
        for key in parser[section]:
            if (section, key) not in known:
                raise SettingsError(f"{path}: [{section}] {key}: unknown setting")


def _take(
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
        value = setting.read(text)
    except ValueError as exc:
        shown = "***" if "key" in setting.key else repr(text)
        raise SettingsError(
            f"{where}: value {shown} {exc}; allowed: {setting.allowed}"
        ) from exc
    settings.put(setting, value, origin)
