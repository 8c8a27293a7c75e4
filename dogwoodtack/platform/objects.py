"""HTTP client of the platform's object store."""

from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote

from ..calls import Call, Client, Reply
from ..errors import HistoryGone, StoreConflict, StoreError, WireError
from ..misc import Address
from ..position import StorePosition
from .era import EraReader

__all__ = ["Event", "Listing", "ObjectStore"]

OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
OBJECTS_PATH = "/dogwoodtack/objects/"
# Time limit of a watch call beyond its wait.
WATCH_TIMEOUT_MARGIN_S = 0.4


class Listing(NamedTuple):
    """All objects of a kind, as of a position."""

    items: list[Any]
    position: StorePosition


class Event(NamedTuple):
    """A change of one object."""

    item: Any
    is_deleted: bool


OnListing = Callable[[Listing | None, StoreError | None], None]
OnEvents = Callable[[list[Event] | None, StorePosition, StoreError | None], None]
OnObject = Callable[[Any, StoreError | None], None]
OnStoreReply = Callable[[Reply | None, StoreError | None], None]


class ObjectStore:
    """Client of the platform's object store; the platform charges for every call.

    Args:
        client: sends the requests.
        address: the store's address.
        timeout_s: limit of each call except watches, in seconds.
    """

    def __init__(self, client: Client, address: Address, timeout_s: float) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._era_reader = EraReader()
        self.calls_made = 0

    def observe_era(self, era: int) -> None:
        """Drop answers of eras before this one, of which another host has heard."""
        self._era_reader.observe(era)

    def list(self, kind: str, on_done: OnListing) -> None:
        """Read all objects of a kind, page by page."""
        items: list[Any] = []
        positions: list[StorePosition] = []

        def on_page(reply: Reply | None, exc: StoreError | None) -> None:
            if exc is not None:
                on_done(None, exc)
                return
            page = reply.body["items"]
            items.extend(page)
            # A watch from the first page's position returns changes made between pages.
            positions.append(self._position(reply))
            if positions[-1].era != positions[0].era:
                on_done(None, HistoryGone("the store came back from an older copy"))
                return
            if reply.body.get("hasMore") and page:
                request_page(page[-1]["metadata"]["name"])
                return
            on_done(Listing(items, positions[0]), None)

        def request_page(after: str) -> None:
            query = f"?after={quote(after, safe='')}" if after else ""
            self._send("GET", f"{kind}{query}", None, self._timeout_s, on_page)

        request_page("")

    def get(self, kind: str, name: str, on_done: OnObject) -> None:
        """Read one object; the callback gets None if there is none."""

        def on_reply(reply: Reply | None, exc: StoreError | None) -> None:
            is_missing = exc is None and reply.status == NOT_FOUND
            on_done(None if exc or is_missing else reply.body, exc)

        path = _path(kind, name)
        self._send("GET", path, None, self._timeout_s, on_reply, (OK, NOT_FOUND))

    def watch(
        self, kind: str, after: StorePosition, wait_s: float, on_done: OnEvents
    ) -> None:
        """Wait for changes of a kind after a position.

        Args:
            kind: kind of the objects.
            after: the position.
            wait_s: longest wait in seconds.
            on_done: called with the events or None, the position to continue from,
                and the error or None.
        """
        target = f"{kind}?watch={after.revision}&waitMs={round(wait_s * 1000)}"

        def on_reply(reply: Reply | None, exc: StoreError | None) -> None:
            if exc is None and self._position(reply).era != after.era:
                # The revision may have been given out again for another change.
                exc = HistoryGone("the store came back from an older copy")
            if exc is not None:
                on_done(None, after, exc)
                return
            events = [
                Event(item["object"], bool(item["deleted"]))
                for item in reply.body["events"]
            ]
            on_done(events, self._position(reply), None)

        self._send("GET", target, None, wait_s + WATCH_TIMEOUT_MARGIN_S, on_reply)

    def create(self, kind: str, name: str, spec: Any, on_done: OnObject) -> None:
        """Create an object; the error is a StoreConflict if the name is taken."""
        body = {"metadata": {"name": name, "finalizers": []}, "spec": spec}
        self._send("POST", kind, body, self._timeout_s, _reply_handler(on_done))

    def replace(self, kind: str, item: Any, spec: Any, on_done: OnObject) -> None:
        """Replace an object's spec if it has not changed since it was read."""
        body = {**item, "spec": spec}
        path = _path(kind, item["metadata"]["name"])
        self._send("PUT", path, body, self._timeout_s, _reply_handler(on_done))

    def _position(self, reply: Reply) -> StorePosition:
        """Return the position of a usable reply to a list or a watch."""
        return StorePosition(self._era_reader.era, int(reply.body["currentRev"]))

    def _send(
        self,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        on_reply: OnStoreReply,
        expected: tuple[int, ...] = (OK, CREATED),
    ) -> None:
        """Make a call; `on_reply` gets a usable reply or the error."""
        self.calls_made += 1
        call = Call(self._address, method, OBJECTS_PATH + path, body, timeout_s)

        def on_call_reply(reply: Reply | None, exc: WireError | None) -> None:
            if exc is not None:
                on_reply(None, StoreError(str(exc), maybe_applied=exc.bytes_sent))
                return
            error = self._era_reader.check(reply.headers)
            error = error or _status_error(reply, expected)
            on_reply(None if error else reply, error)

        self._client.call(call, on_call_reply)


def _path(kind: str, name: str) -> str:
    return f"{kind}/{quote(name, safe='')}"


def _reply_handler(on_done: OnObject) -> OnStoreReply:
    def on_reply(reply: Reply | None, exc: StoreError | None) -> None:
        on_done(None if exc else reply.body, exc)

    return on_reply


def _status_error(reply: Reply, expected: tuple[int, ...]) -> StoreError | None:
    """Return the error that a reply states, or None for a usable reply."""
    if reply.status == GONE:
        return HistoryGone("the watch history no longer covers the revision")
    if reply.status == CONFLICT:
        return StoreConflict("the object exists or has another revision")
    if reply.status not in expected:
        return StoreError(f"status {reply.status}")
    if reply.status != NOT_FOUND and not isinstance(reply.body, dict):
        return StoreError("the reply is not a JSON object")
    return None
