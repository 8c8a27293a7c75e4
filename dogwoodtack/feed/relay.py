"""Host-to-host transfer of instances and configuration over HTTP."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from ..calls import Call, Client, Reply
from ..errors import WireError
from ..logs import log_event
from ..misc import Address
from ..placement import Instance, InstanceChange, InstanceRegistry
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


class RelayedState(NamedTuple):
    """A peer's state after a given revision and configuration version.

    Attributes:
        changes: newer changes of instances.
        revision: the store revision up to which the changes are complete.
        is_snapshot: whether this is a full snapshot: an instance missing from it is
            gone.
        is_peer_synced: whether the peer knows a configuration and has a full snapshot
            of the instances.
        configuration: a newer configuration, or None.
    """

    changes: list[InstanceChange]
    revision: int
    is_snapshot: bool
    is_peer_synced: bool
    configuration: Configuration | None


class RelayClient:
    """Client that reads a peer's state."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def read(
        self,
        address: Address,
        revision: int,
        version: int,
        on_done: Callable[[RelayedState | None], None],
    ) -> None:
        """Read what a peer has newer than a revision and a version.

        Args:
            address: the peer's relay address.
            revision: revision of the instances known here; 0 for none.
            version: version of the configuration known here; 0 for none.
            on_done: called with the state, or None if the call failed.
        """
        target = f"{STATE_PATH}?revision={revision}&version={version}"

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is None:
                log_event("relay-failed", level="DEBUG", peer=address, error=exc)
                on_done(None)
                return
            try:
                on_done(decode_state(reply.body))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                log_event("relay-unusable", level="WARNING", error=repr(error))
                on_done(None)

        call = Call(address, "GET", target, None, RELAY_TIMEOUT_S)
        self._client.call(call, on_reply)


def handle_relay_request(
    target: str,
    registry: InstanceRegistry,
    configuration: Configuration | None,
    is_synced: bool,
) -> bytes | None:
    """Return the response body for a peer's request, or None for another path.

    Args:
        target: the request's target with the revision and version of the peer.
        registry: the instances known here.
        configuration: the configuration in force here, if any.
        is_synced: whether this host has a configuration and a full snapshot.
    """
    parts = urlsplit(target)
    if parts.path != STATE_PATH:
        return None
    query = parse_qs(parts.query)
    revision = int(query.get("revision", ["0"])[0])
    version = int(query.get("version", ["0"])[0])
    has_newer = configuration is not None and configuration.version > version
    # This host may not know which instances were removed before its first snapshot.
    is_snapshot = revision < registry.snapshot_revision
    changes = registry.changes_since(0 if is_snapshot else revision)
    fields = {
        "instances": [_encode_change(change) for change in changes],
        "revision": registry.revision,
        "whole": is_snapshot,
        "complete": is_synced,
        "configuration": _encode_configuration(configuration) if has_newer else None,
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def _encode_change(change: InstanceChange) -> list[Any]:
    instance = change.instance
    fields = (
        None
        if instance is None
        else [*instance[:2], str(instance.address), *instance[3:]]
    )
    return [change.id, change.revision, fields]


def _decode_change(fields: list[Any]) -> InstanceChange:
    name, revision, values = fields
    if values is None:
        return InstanceChange(name, int(revision), None)
    host, _sep, port = str(values[2]).rpartition(":")
    instance = Instance(values[0], values[1], Address(host, int(port)), *values[3:])
    return InstanceChange(name, int(revision), instance)


def _encode_configuration(configuration: Configuration) -> list[Any]:
    # Named tuples become lists in JSON.
    return list(configuration)


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
    return RelayedState(
        [_decode_change(change) for change in fields["instances"]],
        int(fields["revision"]),
        bool(fields["whole"]),
        bool(fields["complete"]),
        None if configuration is None else _decode_configuration(configuration),
    )
