"""The definition of a service, parsed and validated."""

from typing import Any, NamedTuple

from ..fields import FieldReader, invalid_intent
from ..misc import Address

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
KEYLESS_POLICIES = ("run", "refuse")


class Instance(NamedTuple):
    """One backend server of a service.

    Attributes:
        name: unique within its service.
        address: where it accepts requests.
        zone: the availability zone it runs in.
        slots: how many requests it can serve at once.
        is_draining: whether it gets no new requests.
    """

    name: str
    address: Address
    zone: str
    slots: int
    is_draining: bool


class RouteRule(NamedTuple):
    """A rule for which requests belong to a service.

    Attributes:
        host: the host name in the Host header, in lower case and without a port.
        prefix: what the path must start with, by whole segments.
        idempotent_methods: methods whose requests may run more than once.
        timeout_s: seconds a request may take if the caller sends no deadline.
    """

    host: str
    prefix: str
    idempotent_methods: frozenset[str]
    timeout_s: float


class Service(NamedTuple):
    """One service as an operator defined it.

    Attributes:
        name: unique in the system.
        routes: the requests that belong to it.
        instances: its backend servers.
        floor: how many instances must always accept requests.
        caution: from 0 (detect faults fast) to 1 (eject no healthy instance).
        shares: the weight of each named customer; all others have 1.
        keyless: whether to `run` or `refuse` non-idempotent requests without a key.
        retry_ratio: retries allowed per request on average.
        probe_path: the path where an instance responds to health probes.
        good_ratio: the share of requests that must be good, below 1.
        slow_s: seconds after which a request counts as bad.
        drains: instances that operators want drained; package floor decides from
            when on they get no new requests.
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
    drains: tuple[str, ...] = ()

    def instance(self, name: str) -> Instance | None:
        """Return the instance with a name, or None."""
        for instance in self.instances:
            if instance.name == name:
                return instance
        return None


def parse_service(name: str, value: Any) -> Service:
    """Parse and validate the JSON definition of a service.

    Args:
        name: the service's name.
        value: its definition as JSON.

    Raises:
        RequestError: INVALID_INTENT, with the invalid field and what it may hold.
    """
    _check_name("name", name)
    fields = FieldReader(value, f"service {name}")
    fields.strings("marks", ())
    instances = tuple(
        _parse_instance(item) for item in fields.array("instances", MAX_INSTANCES)
    )
    _check_unique("instances", [instance.name for instance in instances])
    service = Service(
        name=name,
        routes=tuple(_parse_route(item) for item in fields.array("routes", 1000)),
        instances=instances,
        floor=int(fields.number("floor", 0, len(instances), 0)),
        caution=fields.number("caution", 0.0, 1.0, 0.5),
        shares=fields.shares("shares"),
        keyless=fields.choice("keyless", KEYLESS_POLICIES, "run"),
        retry_ratio=fields.number("retry_ratio", 0.0, 1.0, 0.1),
        probe_path=fields.path("probe_path", DEFAULT_PROBE_PATH),
        good_ratio=fields.number("good_ratio", 0.0, MAX_GOOD_RATIO, 0.999),
        slow_s=fields.number("slow_ms", 1, MAX_TIMEOUT_MS, DEFAULT_SLOW_MS) / 1000,
        drains=_parse_drains(fields, instances),
    )
    fields.reject_unknown()
    return service


def _parse_drains(
    fields: FieldReader, instances: tuple[Instance, ...]
) -> tuple[str, ...]:
    drains = tuple(fields.strings("drains", ()))
    _check_unique("drains", list(drains))
    for name in set(drains).difference(one.name for one in instances):
        raise invalid_intent(f"drains: there is no instance {name!r}")
    return drains


def _parse_instance(value: Any) -> Instance:
    fields = FieldReader(value, "instance")
    name = fields.string("name")
    _check_name("instance name", name)
    instance = Instance(
        name=name,
        address=fields.address("address"),
        zone=fields.string("zone", "unknown"),
        slots=int(fields.number("slots", 1, MAX_SLOTS, 1)),
        is_draining=fields.boolean("leaving"),
    )
    fields.reject_unknown()
    return instance


def _parse_route(value: Any) -> RouteRule:
    fields = FieldReader(value, "route")
    methods = fields.strings("idempotent_methods", IDEMPOTENT_METHODS)
    timeout_ms = fields.number("timeout_ms", 1, MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS)
    route = RouteRule(
        host=fields.string("host").lower(),
        prefix=fields.path("prefix", "/"),
        idempotent_methods=frozenset(method.upper() for method in methods),
        timeout_s=timeout_ms / 1000,
    )
    fields.reject_unknown()
    return route


def _check_name(what: str, name: str) -> None:
    is_plain = all(char.isalnum() or char in NAME_EXTRA_CHARS for char in name)
    if not name or len(name) > MAX_NAME_CHARS or not is_plain or not name.isascii():
        raise invalid_intent(
            f"{what} {name!r} must be 1 to {MAX_NAME_CHARS} letters, digits, "
            "dots, dashes or underscores"
        )


def _check_unique(what: str, names: list[str]) -> None:
    for name in names:
        if names.count(name) > 1:
            raise invalid_intent(f"{what}: {name!r} stands more than once")
