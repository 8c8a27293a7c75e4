"""Tolerant access to the fields of one part of an object of the platform."""

import math
from collections.abc import Callable
from typing import Any

from ..logs import log_event

__all__ = ["PartLog", "PartReader", "is_number"]

# A version that another program wrote in another form would otherwise log a line for
# each of some hundred fields.
MAX_LOGGED_FIELDS = 100


class PartLog:
    """Logs which parts of one configuration version can't be decoded.

    A line names the part and the field, and never has a value: it may be a key.

    Args:
        version: number of the version.
    """

    def __init__(self, version: int) -> None:
        self._version = version
        self.count = 0

    def report(self, kind: str, name: str, field: str = "") -> None:
        """Log that a field of a part, or the whole part, has been replaced.

        Args:
            kind: the kind of part, such as `route`.
            name: the name of the part; empty if there is one part of its kind.
            field: the name of the field on the wire; empty for the whole part.
        """
        self.count += 1
        if self.count <= MAX_LOGGED_FIELDS:
            log_event(
                "configuration-part-unusable",
                level="WARNING",
                version=self._version,
                **{kind: name},
                field=field,
            )

    def close(self) -> None:
        """Log how many fields were reported in all, if some got no line."""
        if self.count > MAX_LOGGED_FIELDS:
            log_event(
                "configuration-parts-unusable",
                level="WARNING",
                version=self._version,
                count=self.count,
            )


class PartReader:
    """Reads fields of a table, and replaces each that is odd by a default.

    A field is odd if it is null, of another type or out of range.  One that is missing
    is odd too, unless the method is told that it may be missing.

    Args:
        value: the part as JSON.
        kind: the kind of part, for the log.
        name: the name of the part, for the log.
        log: where odd fields are reported.

    Attributes:
        is_table: whether the value is a table at all; if not, every field counts as
            missing and only the part as a whole is reported.
    """

    def __init__(self, value: Any, kind: str, name: str, log: PartLog) -> None:
        self.is_table = isinstance(value, dict)
        self._fields = value if self.is_table else {}
        self._kind = kind
        self._name = name
        self._log = log
        if not self.is_table:
            self.report("")

    def __contains__(self, field: str) -> bool:
        return field in self._fields

    def get(self, field: str) -> Any:
        """Return a field as it is, None if it is missing."""
        return self._fields.get(field)

    def report(self, field: str) -> None:
        """Report a field as odd."""
        self._log.report(self._kind, self._name, field)

    def text(
        self,
        field: str,
        default: str = "",
        is_valid: Callable[[str], bool] = bool,
        is_optional: bool = False,
    ) -> str:
        """Return a text that a function accepts, or the default."""
        value = self._fields.get(field)
        if isinstance(value, str) and is_valid(value):
            return value
        self._report_odd(field, is_optional)
        return default

    def number(
        self,
        field: str,
        default: float,
        low: float,
        high: float,
        is_optional: bool = False,
    ) -> float:
        """Return a number from low to high, or the default."""
        value = self._fields.get(field)
        if is_number(value) and low <= value <= high:
            return value
        self._report_odd(field, is_optional)
        return default

    def whole(
        self, field: str, default: int, low: int, high: int, is_optional: bool = False
    ) -> int:
        """Return a whole number from low to high, or the default."""
        value = self._fields.get(field)
        if is_number(value) and low <= value <= high and value == int(value):
            return int(value)
        self._report_odd(field, is_optional)
        return default

    def is_true(self, field: str) -> bool:
        """Return whether a field is true; one that is no truth value is reported."""
        value = self._fields.get(field, False)
        if not isinstance(value, bool):
            self.report(field)
        return value is True

    def items(self, field: str, is_optional: bool = False) -> list[Any]:
        """Return a list, empty if there is none."""
        value = self._fields.get(field)
        if isinstance(value, list):
            return value
        self._report_odd(field, is_optional)
        return []

    def _report_odd(self, field: str, is_optional: bool) -> None:
        is_excused = is_optional and field not in self._fields
        if self.is_table and not is_excused:
            self.report(field)


def is_number(value: Any) -> bool:
    """Return whether a JSON value is a finite number."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return isinstance(value, int) or math.isfinite(value)
