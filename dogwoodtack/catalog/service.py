"""What an operator declares of a service, checked."""

from typing import Any, NamedTuple

from ..errors import ErrorKind, RequestError
from ..misc import Address, parse_address

__all__ = ["Instance", "RouteRule", "Service", "parse_service"]

IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS")
DEFAULT_TIMEOUT_MS = 5000
MAX_TIMEOUT_MS = 3_600_000
DEFAULT_PROBE_PATH = "/health"
DEFAULT_SLOW_MS = 1000
MAX_GOOD_RATIO = 0.999999
MAX_SLOTS = 10_000
MAX_INSTANCES = 1000
MAX_NAME_CHARS = 100
NAME_EXTRA_CHARS = set("-_.")
KEYLESS_CHOICES = ("run", "refuse")


class Instance(NamedTuple):
    """One back end of a service.

    Attributes:
        name: unique within its service.
        address: where it takes requests.
        zone: the availability zone it runs in.
        slots: how many requests it runs at once.
        is_leaving: whether it takes no new work any more.
    """

    name: str
    address: Address
    zone: str
    slots: int
    is_leaving: bool


class RouteRule(NamedTuple):
    """Which requests belong to a service.

    Attributes:
        host: the Host header's name, in lower case and without a port.
        prefix: the path's beginning.
        idempotent_methods: methods that may run more than once.
        timeout_s: seconds a request may take where the caller names no deadline.
    """

    host: str
    prefix: str
    idempotent_methods: frozenset[str]
    timeout_s: float


class Service(NamedTuple):
    """One service as an operator declared it.

    Attributes:
        name: unique in the system.
        routes: which requests it gets.
        instances: its back ends.
        floor: how many instances must always take work.
        caution: from 0 (detect fast) to 1 (eject no healthy instance).
        shares: the weight of each named customer, 1 for all others.
        keyless: `run` or `refuse` non-idempotent requests without a key.
        retry_ratio: retries allowed per request, averaged.
        probe_path: where an instance answers probes.
        good_ratio: share of requests that must be good, below 1.
        slow_s: seconds after which a request counts as bad.
    """

    name: str
    routes: tuple[RouteRule, ...]
    instances: tuple[Instance, ...]
    floor: int
    caution: float
    shares: dict[str, float]
    keyless: str
    retry_ratio: float
    probe_path: str
    good_ratio: float
    slow_s: float

    @property
    def removable(self) -> int:
        """Return how many instances may be out of work at once."""
        return max(0, len(self.instances) - self.floor)

    def instance(self, name: str) -> Instance | None:
        """Return the instance of a name, or None."""
        for instance in self.instances:
            if instance.name == name:
                return instance
        return None


def parse_service(name: str, value: Any) -> Service:
    """Check a service's JSON form and return the Service.

    Raises:
        RequestError: INVALID_INTENT, with the field and what is allowed there.
    """
    _check_name("name", name)
    fields = _Fields(value, f"service {name}")
    instances = tuple(
        _parse_instance(item) for item in fields.items("instances", MAX_INSTANCES)
    )
    _check_unique("instances", [instance.name for instance in instances])
    service = Service(
        name=name,
        routes=tuple(_parse_route(item) for item in fields.items("routes", 1000)),
        instances=instances,
        floor=int(fields.number("floor", 0, len(instances), 0)),
        caution=fields.number("caution", 0.0, 1.0, 0.5),
        shares=fields.shares("shares"),
        keyless=fields.choice("keyless", KEYLESS_CHOICES, "run"),
        retry_ratio=fields.number("retry_ratio", 0.0, 1.0, 0.1),
        probe_path=fields.path("probe_path", DEFAULT_PROBE_PATH),
        good_ratio=fields.number("good_ratio", 0.0, MAX_GOOD_RATIO, 0.999),
        slow_s=fields.number("slow_ms", 1, MAX_TIMEOUT_MS, DEFAULT_SLOW_MS) / 1000,
    )
    fields.done()
    return service


def _parse_instance(value: Any) -> Instance:
    fields = _Fields(value, "instance")
    name = fields.text("name")
    _check_name("instance name", name)
    instance = Instance(
        name=name,
        address=fields.address("address"),
        zone=fields.text("zone", "unknown"),
        slots=int(fields.number("slots", 1, MAX_SLOTS, 1)),
        is_leaving=fields.flag("leaving"),
    )
    fields.done()
    return instance


def _parse_route(value: Any) -> RouteRule:
    fields = _Fields(value, "route")
    methods = fields.names("idempotent_methods", IDEMPOTENT_METHODS)
    timeout_ms = fields.number("timeout_ms", 1, MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS)
    route = RouteRule(
        host=fields.text("host").lower(),
        prefix=fields.path("prefix", "/"),
        idempotent_methods=frozenset(method.upper() for method in methods),
        timeout_s=timeout_ms / 1000,
    )
    fields.done()
    return route


def invalid(detail: str) -> RequestError:
    """Return the error that refuses an intent."""
    return RequestError(ErrorKind.INVALID_INTENT, detail)


def _check_name(what: str, name: str) -> None:
    plain = all(char.isalnum() or char in NAME_EXTRA_CHARS for char in name)
    if not name or len(name) > MAX_NAME_CHARS or not plain or not name.isascii():
        raise invalid(
            f"{what} {name!r} must be 1 to {MAX_NAME_CHARS} letters, digits, "
            "dots, dashes or underscores"
        )


def _check_unique(what: str, names: list[str]) -> None:
    for name in names:
        if names.count(name) > 1:
            raise invalid(f"{what}: {name!r} stands more than once")


class _Fields:
    """Take typed fields out of one JSON object, then refuse what is left."""

    def __init__(self, value: Any, where: str) -> None:
        if not isinstance(value, dict):
            raise invalid(f"{where} must be an object")
        self._left = dict(value)
        self._where = where

    def text(self, key: str, default: str | None = None) -> str:
        """Take a text."""
        value = self._left.pop(key, default)
        if not isinstance(value, str) or not value:
            raise invalid(f"{self._where}: {key} must be a text")
        return value

    def path(self, key: str, default: str) -> str:
        """Take a path that starts with a slash."""
        value = self.text(key, default)
        if not value.startswith("/"):
            raise invalid(f"{self._where}: {key} {value!r} does not start with /")
        return value

    def flag(self, key: str) -> bool:
        """Take true or false, false where it is missing."""
        value = self._left.pop(key, False)
        if not isinstance(value, bool):
            raise invalid(f"{self._where}: {key} must be true or false")
        return value

    def number(self, key: str, low: float, high: float, default: float) -> float:
        """Take a number within bounds."""
        value = self._left.pop(key, default)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not low <= value <= high:
            raise invalid(f"{self._where}: {key} must be from {low} to {high}")
        return value

    def choice(self, key: str, allowed: tuple[str, ...], default: str) -> str:
        """Take one of a few words."""
        value = self._left.pop(key, default)
        if value not in allowed:
            raise invalid(f"{self._where}: {key} must be one of {', '.join(allowed)}")
        return value

    def address(self, key: str) -> Address:
        """Take host:port."""
        try:
            return parse_address(self.text(key))
        except ValueError as exc:
            raise invalid(f"{self._where}: {key}: {exc}") from exc

    def items(self, key: str, most: int) -> list[Any]:
        """Take a list of at most a number of items."""
        value = self._left.pop(key, [])
        if not isinstance(value, list) or len(value) > most:
            raise invalid(f"{self._where}: {key} must be a list of at most {most}")
        return value

    def names(self, key: str, default: tuple[str, ...]) -> list[str]:
        """Take a list of texts."""
        value = self._left.pop(key, list(default))
        if not isinstance(value, list) or not all(
            isinstance(item, str) for item in value
        ):
            raise invalid(f"{self._where}: {key} must be a list of texts")
        return value

    def shares(self, key: str) -> dict[str, float]:
        """Take an object of positive numbers."""
        value = self._left.pop(key, {})
        numbers = isinstance(value, dict) and all(
            isinstance(share, (int, float)) and share > 0 for share in value.values()
        )
        if not numbers:
            raise invalid(f"{self._where}: {key} must map customers to numbers above 0")
        return {name: float(share) for name, share in value.items()}

    def done(self) -> None:
        """Refuse fields that nobody took."""
        if self._left:
            unknown = ", ".join(sorted(self._left))
            raise invalid(f"{self._where}: unknown field {unknown}")
