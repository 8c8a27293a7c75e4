"""Typed fields out of JSON objects that operators wrote."""

from typing import Any

from .errors import ErrorKind, RequestError
from .misc import Address, parse_address

__all__ = ["FieldReader", "invalid_intent"]


def invalid_intent(detail: str) -> RequestError:
    """Return the error that refuses an intent."""
    return RequestError(ErrorKind.INVALID_INTENT, detail)


class FieldReader:
    """Take typed fields out of one JSON object, then refuse what is left."""

    def __init__(self, value: Any, where: str) -> None:
        if not isinstance(value, dict):
            raise invalid_intent(f"{where} must be an object")
        self._left = dict(value)
        self._where = where

    def string(self, key: str, default: str | None = None) -> str:
        """Take a text."""
        value = self._left.pop(key, default)
        if not isinstance(value, str) or not value:
            raise invalid_intent(f"{self._where}: {key} must be a text")
        return value

    def path(self, key: str, default: str) -> str:
        """Take a path that starts with a slash."""
        value = self.string(key, default)
        if not value.startswith("/"):
            raise invalid_intent(
                f"{self._where}: {key} {value!r} does not start with /"
            )
        return value

    def boolean(self, key: str, default: bool = False) -> bool:
        """Take true or false."""
        value = self._left.pop(key, default)
        if not isinstance(value, bool):
            raise invalid_intent(f"{self._where}: {key} must be true or false")
        return value

    def number(self, key: str, low: float, high: float, default: float) -> float:
        """Take a number within bounds."""
        value = self._left.pop(key, default)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not low <= value <= high:
            raise invalid_intent(f"{self._where}: {key} must be from {low} to {high}")
        return value

    def integer(self, key: str, low: int, high: int) -> int:
        """Take a whole number within bounds, which must be there."""
        value = self._left.pop(key, None)
        is_whole = isinstance(value, int) and not isinstance(value, bool)
        if not is_whole or not low <= value <= high:
            raise invalid_intent(
                f"{self._where}: {key} must be a whole number from {low} to {high}"
            )
        return value

    def remaining(self) -> dict[str, Any]:
        """Take every field that is left."""
        rest, self._left = self._left, {}
        return rest

    def choice(self, key: str, allowed: tuple[str, ...], default: str) -> str:
        """Take one of a few words."""
        value = self._left.pop(key, default)
        if value not in allowed:
            raise invalid_intent(
                f"{self._where}: {key} must be one of {', '.join(allowed)}"
            )
        return value

    def address(self, key: str) -> Address:
        """Take host:port."""
        try:
            return parse_address(self.string(key))
        except ValueError as exc:
            raise invalid_intent(f"{self._where}: {key}: {exc}") from exc

    def array(self, key: str, most: int) -> list[Any]:
        """Take a list of at most a number of items."""
        value = self._left.pop(key, [])
        if not isinstance(value, list) or len(value) > most:
            raise invalid_intent(
                f"{self._where}: {key} must be a list of at most {most}"
            )
        return value

    def strings(self, key: str, default: tuple[str, ...]) -> list[str]:
        """Take a list of texts."""
        value = self._left.pop(key, list(default))
        if not isinstance(value, list) or not all(
            isinstance(item, str) for item in value
        ):
            raise invalid_intent(f"{self._where}: {key} must be a list of texts")
        return value

    def shares(self, key: str) -> dict[str, float]:
        """Take an object of positive numbers."""
        value = self._left.pop(key, {})
        numbers = isinstance(value, dict) and all(
            isinstance(share, (int, float)) and share > 0 for share in value.values()
        )
        if not numbers:
            raise invalid_intent(
                f"{self._where}: {key} must map customers to numbers above 0"
            )
        return {name: float(share) for name, share in value.items()}

    def reject_unknown(self) -> None:
        """Refuse fields that nobody took."""
        if self._left:
            unknown = ", ".join(sorted(self._left))
            raise invalid_intent(f"{self._where}: unknown field {unknown}")
