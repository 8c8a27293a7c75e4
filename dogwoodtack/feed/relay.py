"""Read and give what a host knows of instances and configuration, host to host."""

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

__all__ = ["RelayClient", "RelayedState", "answer_relay"]

# A peer of the same zone answers in milliseconds.
RELAY_TIMEOUT_S = 0.5
STATE_PATH = "/state"


class RelayedState(NamedTuple):
    """What a peer knows beyond a revision and a version.

    Attributes:
        changes: newer words about instances.
        revision: the revision they reach.
        is_whole: whether an instance that is not named is gone.
        is_complete: whether the peer has seen a whole list of instances.
        configuration: a newer one, or None.
    """

    changes: list[InstanceChange]
    revision: int
    is_whole: bool
    is_complete: bool
    configuration: Configuration | None


class RelayClient:
    """Ask a peer for what it knows."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def read(
        self,
        address: Address,
        revision: int,
        version: int,
        on_done: Callable[[RelayedState | None], None],
    ) -> None:
        """Read what is newer than a revision and a version."""
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


def answer_relay(
    target: str,
    book: InstanceRegistry,
    configuration: Configuration | None,
    complete: bool,
) -> bytes | None:
    """Return the body that answers a peer's question, None for a wrong path."""
    parts = urlsplit(target)
    if parts.path != STATE_PATH:
        return None
    query = parse_qs(parts.query)
    revision = int(query.get("revision", ["0"])[0])
    version = int(query.get("version", ["0"])[0])
    newer = configuration is not None and configuration.version > version
    # This host may not know what ended before its own first list.
    is_whole = revision < book.snapshot_revision
    words = book.changes_since(0 if is_whole else revision)
    fields = {
        "instances": [_encode_change(change) for change in words],
        "revision": book.revision,
        "whole": is_whole,
        "complete": complete,
        "configuration": _encode_configuration(configuration) if newer else None,
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def _encode_change(change: InstanceChange) -> list[Any]:
    one = change.instance
    fields = None if one is None else [*one[:2], str(one.address), *one[3:]]
    return [change.id, change.revision, fields]


def _decode_change(fields: list[Any]) -> InstanceChange:
    name, revision, one = fields
    if one is None:
        return InstanceChange(name, int(revision), None)
    host, _sep, port = str(one[2]).rpartition(":")
    instance = Instance(one[0], one[1], Address(host, int(port)), *one[3:])
    return InstanceChange(name, int(revision), instance)


def _encode_configuration(configuration: Configuration) -> list[Any]:
    # Named tuples are lists on the wire.
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
    parts = tuple(WeightedService(*part) for part in route.weighted_services)
    return route._replace(kind=RouteKind(route.kind), weighted_services=parts)


def decode_state(fields: dict[str, Any]) -> RelayedState:
    configuration = fields["configuration"]
    return RelayedState(
        [_decode_change(change) for change in fields["instances"]],
        int(fields["revision"]),
        bool(fields["whole"]),
        bool(fields["complete"]),
        None if configuration is None else _decode_configuration(configuration),
    )
