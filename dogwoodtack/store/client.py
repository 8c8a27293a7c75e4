"""Client of the platform's object service."""

from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote

from ..calls import Call, Client, OnReply, Reply
from ..errors import DECODE_ERRORS, StoreConflict, StoreError, WireError
from ..logs import LimitedLog
from ..misc import Address

__all__ = ["ERA_HEADER", "HostEntry", "Snapshot", "Store", "StoreObject"]

# Sent by stores that may come back from an older copy, and rises by one each time.
ERA_HEADER = b"store-era"

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404
HTTP_SERVER_ERROR = 500
WATCH_TIMEOUT_MARGIN_S = 2.0


class StoreObject(NamedTuple):
    """One object of the store.

    Attributes:
        kind: its type, such as `service`.
        name: its name, unique within its kind.
        version: a number that increases with every change to any object.
        value: its JSON value, None for a deleted object.
    """

    kind: str
    name: str
    version: int
    value: Any


class Snapshot(NamedTuple):
    """Objects as of one revision of the store."""

    revision: int
    objects: list[StoreObject]


class HostEntry(NamedTuple):
    """One entry of the platform's host list, which may lag.

    Attributes:
        name: the host's name.
        state: `live` or `leaving`.
    """

    name: str
    state: str


OnSnapshot = Callable[[Snapshot | None, StoreError | None], None]
OnVersion = Callable[[int | None, StoreError | None], None]
OnObject = Callable[[StoreObject | None, StoreError | None], None]
OnHosts = Callable[[list[HostEntry] | None, StoreError | None], None]


class Store:
    """Reads, watches and conditionally writes the platform's objects.

    Versions have to rise for as long as the store exists: hosts drop lower ones, and
    leases rely on writes that were acknowledged.  Answers of a store that may come back
    from an older copy are errors.

    `on_contact` is called whenever the store responds without a server error.
    """

    def __init__(
        self,
        client: Client,
        address: Address,
        timeout_s: float,
        on_contact: Callable[[], None] | None = None,
    ) -> None:
        self._client = client
        self._on_contact = on_contact
        self._address = address
        self._timeout_s = timeout_s
        self._limited_log = LimitedLog()
        self.calls_made = 0

    def list(self, on_done: OnSnapshot) -> None:
        """Read all objects."""
        handler = self._handler(on_done, _decode_snapshot)
        self._send("GET", "/objects", None, self._timeout_s, handler)

    def watch(self, after: int, wait_s: float, on_done: OnSnapshot) -> None:
        """Read the objects changed after a revision, waiting up to `wait_s` for one."""
        target = f"/watch?after={after}&wait_s={wait_s:g}"
        timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S + self._timeout_s
        handler = self._handler(on_done, _decode_snapshot)
        self._send("GET", target, None, timeout_s, handler)

    def get(self, kind: str, name: str, on_done: OnObject) -> None:
        """Read one object; version 0 and value None mean that it does not exist."""

        def decode(reply: Reply) -> StoreObject:
            if reply.status == HTTP_NOT_FOUND:
                return StoreObject(kind, name, 0, None)
            return _decode_object(reply.body)

        expected = (HTTP_OK, HTTP_NOT_FOUND)
        handler = self._handler(on_done, decode, expected=expected)
        self._send("GET", _path(kind, name), None, self._timeout_s, handler)

    def put(
        self, kind: str, name: str, value: Any, if_version: int, on_done: OnVersion
    ) -> None:
        """Write an object if it has the version `if_version`; 0 if it must not exist.

        The error's `maybe_applied` is set if the write may have taken effect
        although it was not confirmed.
        """
        body = {"value": value, "if_version": if_version}
        handler = self._handler(on_done, _decode_version, is_write=True)
        self._send("PUT", _path(kind, name), body, self._timeout_s, handler)

    def hosts(self, on_done: OnHosts) -> None:
        """Read the list of live and leaving hosts, which may lag."""
        handler = self._handler(on_done, _decode_hosts)
        self._send("GET", "/hosts", None, self._timeout_s, handler)

    def _handler(
        self,
        on_done: Callable[[Any, StoreError | None], None],
        decode: Callable[[Reply], Any],
        is_write: bool = False,
        expected: tuple[int, ...] = (HTTP_OK,),
    ) -> OnReply:
        """Return a handler that passes on what a reply is decoded to, or the error."""

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            result = None
            error = _error_of(reply, exc, is_write, expected)
            if error is None:
                try:
                    result = decode(reply)
                except DECODE_ERRORS as decode_exc:
                    detail = f"the reply is unusable: {decode_exc!r}"
                    error = StoreError(detail, maybe_applied=is_write)
                    self._limited_log.warn("store-reply-unusable", error=detail)
            on_done(result, error)

        return on_reply

    def _send(
        self, method: str, target: str, body: Any, timeout_s: float, on_reply: OnReply
    ) -> None:
        self.calls_made += 1
        call = Call(self._address, method, target, body, timeout_s)

        def on_reply_received(reply: Reply | None, exc: WireError | None) -> None:
            is_responsive = reply is not None and reply.status < HTTP_SERVER_ERROR
            if is_responsive and self._on_contact is not None:
                self._on_contact()
            on_reply(reply, exc)

        self._client.call(call, on_reply_received)


def _path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _decode_object(item: Any) -> StoreObject:
    return StoreObject(
        item["kind"], item["name"], int(item["version"]), item.get("value")
    )


def _decode_snapshot(reply: Reply) -> Snapshot:
    objects = [_decode_object(item) for item in reply.body["objects"]]
    return Snapshot(int(reply.body["revision"]), objects)


def _decode_version(reply: Reply) -> int:
    return int(reply.body["version"])


def _decode_hosts(reply: Reply) -> list[HostEntry]:
    return [HostEntry(item["name"], item["state"]) for item in reply.body["hosts"]]


def _error_of(
    reply: Reply | None,
    exc: WireError | None,
    is_write: bool,
    expected: tuple[int, ...] = (HTTP_OK,),
) -> StoreError | None:
    """Return the error that a call ended with, or None for a successful one."""
    if exc is not None:
        return StoreError(str(exc), maybe_applied=is_write and exc.bytes_sent)
    if any(name.lower() == ERA_HEADER for name, _value in reply.headers):
        detail = "the store may come back from an older copy"
        return StoreError(detail, maybe_applied=is_write)
    if reply.status in expected:
        return None
    if reply.status == HTTP_CONFLICT:
        return StoreConflict("the object has another version")
    return StoreError(f"status {reply.status}", maybe_applied=is_write)
