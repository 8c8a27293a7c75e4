"""Host-to-host transfer of instances and configuration over HTTP."""

import json
import re
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlencode, urlsplit

from ..calls import Call, Client, Reply
from ..errors import DECODE_ERRORS, WireError
from ..logs import log_event
from ..misc import Address, parse_address
from ..placement import (
    EntryVersion,
    Instance,
    InstanceChange,
    InstanceRegistry,
    check_instance,
    check_name,
)
from ..position import START_POSITION, StorePosition, decode_position
from ..routing import (
    CallerLimits,
    Configuration,
    Organisation,
    Route,
    RouteKind,
    ServiceRules,
    WeightedService,
)

__all__ = [
    "RelayClient",
    "RelayedState",
    "encode_confirmation",
    "handle_relay_request",
    "version_to_confirm",
]

# A peer in the same zone responds in milliseconds.
RELAY_TIMEOUT_S = 0.5
STATE_PATH = "/state"
CONFIRMATION_PATH = "/confirmation"
HTTP_OK = 200
# Members of a route that hosts of earlier builds read.
ROUTE_MEMBERS = 9
# Kinds of routes that those know, and the index of the kind among the members.
EARLIER_KINDS = frozenset({RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.DOWNLOAD})
KIND_MEMBER = Route._fields.index("kind")
# Stands for no services; no instance has an empty name of its service.
NO_SERVICES = (WeightedService("", 1.0),)
# Beside the configuration, the keys of what hosts of earlier builds don't read.
ORGANISATIONS_KEY = "organisations"
ANONYMOUS_KEY = "anonymous"
KINDS_KEY = "kinds"
DIGEST_PATTERN = re.compile("[0-9a-f]{64}")


class RelayedState(NamedTuple):
    """A peer's state after a given position and configuration version.

    Attributes:
        changes: newer changes of instances.
        position: the store position up to which the changes are complete.
        is_snapshot: whether this is a full snapshot: an instance missing from it is
            gone.
        is_peer_synced: whether the peer knows a configuration and has a full snapshot
            of the instances.
        configuration: a newer configuration, or None.
        partial_version: version of a newer configuration that the peer can't pass on
            whole, as it runs an earlier build; 0 if there is none.
        recovery_left_s: how many more seconds the peer withholds removals, because the
            store has just come back.
    """

    changes: list[InstanceChange]
    position: StorePosition
    is_snapshot: bool
    is_peer_synced: bool
    configuration: Configuration | None
    recovery_left_s: float
    partial_version: int = 0


class RelayClient:
    """Client that reads a peer's state."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def read(
        self,
        address: Address,
        position: StorePosition,
        version: int,
        on_done: Callable[[RelayedState | None], None],
    ) -> None:
        """Read what a peer has newer than a position and a version.

        Args:
            address: the peer's relay address.
            position: position of the instances known here.
            version: version of the configuration known here; 0 for none.
            on_done: called with the state, or None if the call failed.
        """
        query = {**position._asdict(), "version": version}
        target = f"{STATE_PATH}?{urlencode(query)}"

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is None:
                log_event("relay-failed", level="DEBUG", peer=address, error=exc)
                on_done(None)
                return
            state = None
            try:
                state = decode_state(reply.body)
            except DECODE_ERRORS as error:
                log_event("relay-unusable", level="WARNING", error=repr(error))
            on_done(state)

        call = Call(address, "GET", target, None, RELAY_TIMEOUT_S)
        self._client.call(call, on_reply)

    def confirm(
        self,
        address: Address,
        version: int,
        on_done: Callable[[bool, Configuration | None], None],
    ) -> None:
        """Let a peer read the newest configuration from the store.

        Args:
            address: the peer's relay address.
            version: version of the configuration known here; 0 for none.
            on_done: called with whether the peer has read it after this call, and with
                the configuration if it is newer.
        """

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            # Hosts of earlier builds don't know the path.
            if reply is None or reply.status != HTTP_OK:
                on_done(False, None)
                return
            try:
                configuration, partial_version = _decode_newer(reply.body)
            except DECODE_ERRORS as error:
                log_event("relay-unusable", level="WARNING", error=repr(error))
                on_done(False, None)
                return
            on_done(not partial_version, configuration)

        target = f"{CONFIRMATION_PATH}?{urlencode({'version': version})}"
        call = Call(address, "GET", target, None, RELAY_TIMEOUT_S)
        self._client.call(call, on_reply)


def version_to_confirm(target: str) -> int | None:
    """Return the version that a peer has which asks for a confirmation.

    Returns:
        None for another request.

    Raises:
        ValueError: the version is not a number.
    """
    parts = urlsplit(target)
    if parts.path != CONFIRMATION_PATH:
        return None
    return int(parse_qs(parts.query).get("version", ["0"])[0])


def encode_confirmation(configuration: Configuration | None, version: int) -> bytes:
    """Return the response body to a peer that asks for a confirmation.

    Args:
        configuration: the one that the store has just shown to be the newest.
        version: the version that the peer has.
    """
    return _to_json(_encode_newer(configuration, version))


def handle_relay_request(
    target: str,
    registry: InstanceRegistry,
    configuration: Configuration | None,
    is_synced: bool,
    recovery_left_s: float,
) -> bytes | None:
    """Return the response body for a peer's request, or None for another path.

    Args:
        target: the request's target with the position and version of the peer.
        registry: the instances known here.
        configuration: the configuration in force here, if any.
        is_synced: whether this host has a configuration and a full snapshot.
        recovery_left_s: how many more seconds this host withholds removals.

    Raises:
        ValueError: the position or the version is not a number.
    """
    parts = urlsplit(target)
    if parts.path != STATE_PATH:
        return None
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    position = decode_position({"revision": 0, **query})
    version = int(query.get("version", 0))
    # This host may not know which instances were removed before its first snapshot.
    is_snapshot = position < registry.snapshot_position
    changes = registry.changes_since(START_POSITION if is_snapshot else position)
    fields = {
        "instances": [_encode_change(change) for change in changes],
        # Parallel to `instances`, whose items older hosts read by their three fields.
        "entries": [[change.position.era, *change.entry_version] for change in changes],
        **registry.position._asdict(),
        "whole": is_snapshot,
        "complete": is_synced,
        "recovery": round(recovery_left_s, 3),
        **_encode_newer(configuration, version),
    }
    return _to_json(fields)


def _to_json(fields: dict[str, Any]) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def _encode_newer(configuration: Configuration | None, version: int) -> dict[str, Any]:
    """Return the fields of a configuration if it is newer than a version."""
    if configuration is None or configuration.version <= version:
        return {"configuration": None}
    return {
        "configuration": _encode_configuration(configuration),
        **_encode_additions(configuration),
    }


def _encode_change(change: InstanceChange) -> list[Any]:
    instance = change.instance
    fields = (
        None
        if instance is None
        else [*instance[:2], str(instance.address), *instance[3:]]
    )
    return [change.id, change.position.revision, fields]


def _decode_change(fields: list[Any], entry: list[int]) -> InstanceChange:
    """Decode a change; an instance that can't be used counts as removed.

    Args:
        fields: id, revision and instance.
        entry: era, start and sequence of the instance's entry.
    """
    name, revision, values = fields
    if not isinstance(name, str):
        raise TypeError("the id of an instance is not a string")
    era, born_ms, sequence = (int(value) for value in entry)
    position = StorePosition(era, int(revision))
    entry_version = EntryVersion(born_ms, sequence)
    if values is None:
        return InstanceChange(name, position, None, entry_version)
    try:
        instance = Instance(*values)
        instance = instance._replace(address=parse_address(instance.address))
        check_instance(instance)
    except DECODE_ERRORS as exc:
        # Hosts of earlier builds pass on what they can't use either.
        log_event("relayed-instance-unusable", level="WARNING", error=repr(exc))
        instance = None
    return InstanceChange(name, position, instance, entry_version)


def _encode_configuration(configuration: Configuration) -> list[Any]:
    """Return the members that hosts of earlier builds read, which take no others."""
    # Named tuples become lists in JSON.
    routes = [_earlier_route(route)[:ROUTE_MEMBERS] for route in configuration.routes]
    return [configuration.version, routes, configuration.services, configuration.limits]


def _earlier_route(route: Route) -> Route:
    """Return a route as hosts of earlier builds can use it.

    One kind that they can't decode would also hide all instances from them, and they
    answer 500 to the requests of a route without services.
    """
    if not route.weighted_services:
        route = route._replace(weighted_services=NO_SERVICES)
    if route.kind in EARLIER_KINDS:
        return route
    kind = RouteKind.SAFE if route.kind.is_idempotent else RouteKind.UNSAFE
    return route._replace(kind=kind)


def _encode_additions(configuration: Configuration) -> dict[str, Any]:
    """Return what a configuration has beside the members of earlier builds."""
    routes = configuration.routes
    return {
        ORGANISATIONS_KEY: configuration.organisations,
        ANONYMOUS_KEY: [route.name for route in routes if route.allows_anonymous],
        KINDS_KEY: {
            route.name: route.kind
            for route in routes
            if route.kind not in EARLIER_KINDS
        },
    }


def _decode_configuration(fields: list[Any]) -> Configuration:
    """Decode the members that hosts of earlier builds send."""
    version, routes, services, limits = fields
    return Configuration(
        int(version),
        tuple(_decode_route(route) for route in routes),
        tuple(ServiceRules(*rules) for rules in services),
        CallerLimits(*limits),
    )


def _decode_route(fields: list[Any]) -> Route:
    route = Route(*fields[:ROUTE_MEMBERS])
    services = tuple(WeightedService(*part) for part in route.weighted_services)
    if services == NO_SERVICES:
        services = ()
    return route._replace(kind=_decode_kind(route.kind), weighted_services=services)


def _with_additions(base: Configuration, fields: dict[str, Any]) -> Configuration:
    """Return a configuration with what a peer sends beside it.

    Raises:
        KeyError: the peer sends no additions, as it runs an earlier build.
        TypeError, ValueError, AttributeError: a field has an invalid value.
    """
    anonymous = frozenset(fields[ANONYMOUS_KEY])
    kinds = fields[KINDS_KEY]
    routes = tuple(
        route._replace(
            kind=_decode_kind(kinds.get(route.name, route.kind)),
            allows_anonymous=route.name in anonymous,
        )
        for route in base.routes
    )
    rows = fields[ORGANISATIONS_KEY]
    organisations = (
        None if rows is None else tuple(_decode_organisation(row) for row in rows)
    )
    return base._replace(routes=routes, organisations=organisations)


def _decode_kind(text: str) -> RouteKind:
    """Return a kind; one of a later build counts as non-idempotent."""
    return RouteKind(text) if text in list(RouteKind) else RouteKind.UNSAFE


def _decode_organisation(row: list[Any]) -> Organisation:
    """Decode an organisation.

    Raises:
        TypeError, ValueError: a value is invalid.
    """
    name, digests, priority, rate_per_s, burst = row[: len(Organisation._fields)]
    check_name(name)
    if not all(DIGEST_PATTERN.fullmatch(digest) for digest in digests):
        raise ValueError("no digest of a key")
    return Organisation(
        name, tuple(digests), int(priority), float(rate_per_s), float(burst)
    )


def decode_state(fields: dict[str, Any]) -> RelayedState:
    """Decode a peer's state.

    Raises:
        KeyError: a field is missing.
        TypeError, ValueError, AttributeError: a field has an invalid value.
    """
    configuration, partial_version = _decode_newer(fields)
    position = decode_position(fields)
    instances = fields["instances"]
    # Older hosts send no entries.
    entries = fields.get("entries") or [[position.era, 0, 0]] * len(instances)
    return RelayedState(
        [
            _decode_change(change, entry)
            for change, entry in zip(instances, entries, strict=True)
        ],
        position,
        bool(fields["whole"]),
        bool(fields["complete"]),
        configuration,
        float(fields.get("recovery", 0.0)),
        partial_version,
    )


def _decode_newer(fields: dict[str, Any]) -> tuple[Configuration | None, int]:
    """Return a newer configuration, or the version of one that isn't passed on whole.

    Taken without its organisations, it would open every route to callers without keys.
    """
    members = fields["configuration"]
    if members is None:
        return None, 0
    base = _decode_configuration(members)
    try:
        return _with_additions(base, fields), 0
    except DECODE_ERRORS as exc:
        # The exception may quote a value; only its type is logged.
        error = type(exc).__name__
        log_event("relayed-configuration-partial", version=base.version, error=error)
        return None, base.version
