"""Host-to-host transfer of instances and configuration over HTTP."""

import json
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
)
from ..position import START_POSITION, StorePosition, decode_position
from ..routing import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    ServiceRules,
    WeightedService,
)

__all__ = ["RelayClient", "RelayedState", "handle_relay_request"]

# A peer in the same zone responds in milliseconds.
RELAY_TIMEOUT_S = 0.5
STATE_PATH = "/state"
# Members of a route that hosts of earlier builds read.
ROUTE_MEMBERS = 9


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
        recovery_left_s: how many more seconds the peer withholds removals, because the
            store has just come back.
    """

    changes: list[InstanceChange]
    position: StorePosition
    is_snapshot: bool
    is_peer_synced: bool
    configuration: Configuration | None
    recovery_left_s: float


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
    has_newer = configuration is not None and configuration.version > version
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
        "configuration": _encode_configuration(configuration) if has_newer else None,
        "recovery": round(recovery_left_s, 3),
    }
    return json.dumps(fields, separators=(",", ":")).encode()


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
    routes = [route[:ROUTE_MEMBERS] for route in configuration.routes]
    return [configuration.version, routes, configuration.services, configuration.limits]


def _decode_configuration(fields: list[Any]) -> Configuration:
    version, routes, services, limits = fields
    return Configuration(
        int(version),
        tuple(_decode_route(route) for route in routes),
        tuple(ServiceRules(*rules) for rules in services),
        CallerLimits(*limits),
    )


def _decode_route(fields: list[Any]) -> Route:
    route = Route(*fields)
    services = tuple(WeightedService(*part) for part in route.weighted_services)
    return route._replace(kind=RouteKind(route.kind), weighted_services=services)


def decode_state(fields: dict[str, Any]) -> RelayedState:
    """Decode a peer's state.

    Raises:
        KeyError: a field is missing.
        TypeError, ValueError, AttributeError: a field has an invalid value.
    """
    configuration = fields["configuration"]
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
        None if configuration is None else _decode_configuration(configuration),
        float(fields.get("recovery", 0.0)),
    )
