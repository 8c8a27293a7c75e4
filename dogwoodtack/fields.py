"""Typed access to the fields of JSON objects written by operators."""

from typing import Any

from .errors import ErrorKind, RequestError
from .misc import Address, parse_address

__all__ = ["FieldReader", "invalid_intent"]


def invalid_intent(detail: str) -> RequestError:
    """Return the error that rejects an intent."""
    return RequestError(ErrorKind.INVALID_INTENT, detail)


class FieldReader:
    """Read typed fields of a JSON object, then reject the fields not read.

    Each method removes the field that it returns, and raises RequestError if
    the field is missing without a default or has another type or range.

    Args:
        value: the decoded JSON.
        where: name of the object, for error messages.
    """

    def __init__(self, value: Any, where: str) -> None:
        if not isinstance(value, dict):
            raise invalid_intent(f"{where} must be an object")
        self._unread = dict(value)
        self._where = where

    def string(self, key: str, default: str | None = None) -> str:
        """Return a non-empty string."""
        value = self._unread.pop(key, default)
        if not isinstance(value, str) or not value:
            raise invalid_intent(f"{self._where}: {key} must be a text")
        return value

    def path(self, key: str, default: str) -> str:
        """Return a path that starts with a slash."""
        value = self.string(key, default)
        if not value.startswith("/"):
            raise invalid_intent(
                f"{self._where}: {key} {value!r} does not start with /"
            )
        return value

    def boolean(self, key: str, default: bool = False) -> bool:
        """Return true or false."""
        value = self._unread.pop(key, default)
        if not isinstance(value, bool):
            raise invalid_intent(f"{self._where}: {key} must be true or false")
        return value

    def number(self, key: str, low: float, high: float, default: float) -> float:
        """Return a number from low to high."""
        value = self._unread.pop(key, default)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not low <= value <= high:
            raise invalid_intent(f"{self._where}: {key} must be from {low} to {high}")
        return value

    def integer(self, key: str, low: int, high: int) -> int:
        """Return a required integer from low to high."""
        value = self._unread.pop(key, None)
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not low <= value <= high:
            raise invalid_intent(
                f"{self._where}: {key} must be a whole number from {low} to {high}"
            )
        return value

    def remaining(self) -> dict[str, Any]:
        """Return all fields not read yet."""
        remaining, self._unread = self._unread, {}
        return remaining

    def choice(self, key: str, allowed: tuple[str, ...], default: str) -> str:
        """Return one of the allowed strings."""
        value = self._unread.pop(key, default)
        if value not in allowed:
            raise invalid_intent(
                f"{self._where}: {key} must be one of {', '.join(allowed)}"
            )
        return value

    def address(self, key: str) -> Address:
        """Return the address in a host:port string."""
        try:
            return parse_address(self.string(key))
        except ValueError as exc:
            raise invalid_intent(f"{self._where}: {key}: {exc}") from exc

    def array(self, key: str, max_items: int) -> list[Any]:
        """Return a list of at most max_items, empty if the field is missing."""
        value = self._unread.pop(key, [])
        if not isinstance(value, list) or len(value) > max_items:
            raise invalid_intent(
                f"{self._where}: {key} must be a list of at most {max_items}"
            )
        return value

    def strings(self, key: str, default: tuple[str, ...]) -> list[str]:
        """Return a list of strings."""
        value = self._unread.pop(key, list(default))
        if not isinstance(value, list) or not all(
            isinstance(item, str) for item in value
        ):
            raise invalid_intent(f"{self._where}: {key} must be a list of texts")
        return value

    def shares(self, key: str) -> dict[str, float]:
        """Return an object of positive numbers, empty if the field is missing."""
        value = self._unread.pop(key, {})
        is_valid = isinstance(value, dict) and all(
            isinstance(share, (int, float)) and share > 0 for share in value.values()
        )
        if not is_valid:
            raise invalid_intent(
                f"{self._where}: {key} must map customers to numbers above 0"
            )
        return {name: float(share) for name, share in value.items()}

    def reject_unknown(self) -> None:
        """Raise RequestError if any field has not been read."""
        if self._unread:
            unknown = ", ".join(sorted(self._unread))
            raise invalid_intent(f"{self._where}: unknown field {unknown}")
