"""HTTP client of the platform's object store."""

from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote

from ..calls import Call, Client, Reply
from ..errors import DECODE_ERRORS, HistoryGone, StoreConflict, StoreError, WireError
from ..logs import LimitedLog
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


class _Page(NamedTuple):
    """Part of a listing.

    Attributes:
        items: the objects.
        position: the store's position.
        last_name: name of the last object if there are more pages, or else empty.
    """

    items: list[Any]
    position: StorePosition
    last_name: str


class _EventPage(NamedTuple):
    """The changes up to a position."""

    events: list[Event]
    position: StorePosition


OnListing = Callable[[Listing | None, StoreError | None], None]
OnEvents = Callable[[list[Event] | None, StorePosition, StoreError | None], None]
OnObject = Callable[[Any, StoreError | None], None]
OnResult = Callable[[Any, StoreError | None], None]


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
        self._limited_log = LimitedLog()
        self.calls_made = 0

    def observe_era(self, era: int) -> None:
        """Drop answers of eras before this one, of which another host has heard."""
        self._era_reader.observe(era)

    def list(self, kind: str, on_done: OnListing) -> None:
        """Read all objects of a kind, page by page."""
        items: list[Any] = []
        positions: list[StorePosition] = []

        def on_page(page: _Page | None, exc: StoreError | None) -> None:
            if page is None:
                on_done(None, exc)
                return
            items.extend(page.items)
            # A watch from the first page's position returns changes made between pages.
            positions.append(page.position)
            if positions[-1].era != positions[0].era:
                on_done(None, HistoryGone("the store came back from an older copy"))
                return
            if page.last_name:
                request_page(page.last_name)
                return
            on_done(Listing(items, positions[0]), None)

        def request_page(after: str) -> None:
            query = f"?after={_quote(after)}" if after else ""
            target = f"{_path(kind)}{query}"
            self._send("GET", target, None, self._timeout_s, self._decode_page, on_page)

        request_page("")

    def get(self, kind: str, name: str, on_done: OnObject) -> None:
        """Read one object; the callback gets None if there is none."""

        def decode(reply: Reply) -> Any:
            return None if reply.status == NOT_FOUND else reply.body

        path = _path(kind, name)
        expected = (OK, NOT_FOUND)
        self._send("GET", path, None, self._timeout_s, decode, on_done, expected)

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
        wait_ms = round(wait_s * 1000)
        target = f"{_path(kind)}?watch={after.revision}&waitMs={wait_ms}"

        def on_page(page: _EventPage | None, exc: StoreError | None) -> None:
            if page is not None and page.position.era != after.era:
                # The revision may have been given out again for another change.
                exc = HistoryGone("the store came back from an older copy")
            if exc is not None:
                on_done(None, after, exc)
                return
            on_done(page.events, page.position, None)

        timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        self._send("GET", target, None, timeout_s, self._decode_events, on_page)

    def create(self, kind: str, name: str, spec: Any, on_done: OnObject) -> None:
        """Create an object; the error is a StoreConflict if the name is taken."""
        body = {"metadata": {"name": name, "finalizers": []}, "spec": spec}
        self._send("POST", _path(kind), body, self._timeout_s, _decode_body, on_done)

    def replace(
        self, kind: str, name: str, item: Any, spec: Any, on_done: OnObject
    ) -> None:
        """Replace an object's spec if it has not changed since it was read."""
        body = {**item, "spec": spec}
        path = _path(kind, name)
        self._send("PUT", path, body, self._timeout_s, _decode_body, on_done)

    def _decode_page(self, reply: Reply) -> _Page:
        items = _list_member(reply, "items")
        has_more = reply.body.get("hasMore") and items
        last_name = items[-1]["metadata"]["name"] if has_more else ""
        return _Page(items, self._position(reply), str(last_name))

    def _decode_events(self, reply: Reply) -> _EventPage:
        events = [
            Event(item["object"], bool(item["deleted"]))
            for item in _list_member(reply, "events")
        ]
        return _EventPage(events, self._position(reply))

    def _position(self, reply: Reply) -> StorePosition:
        """Return the position of a reply to a list or a watch."""
        return StorePosition(self._era_reader.era, int(reply.body["currentRev"]))

    def _send(
        self,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        decode: Callable[[Reply], Any],
        on_done: OnResult,
        expected: tuple[int, ...] = (OK, CREATED),
    ) -> None:
        """Make a call; `on_done` gets what its reply is decoded to, or the error."""
        self.calls_made += 1
        call = Call(self._address, method, OBJECTS_PATH + path, body, timeout_s)

        def on_call_reply(reply: Reply | None, exc: WireError | None) -> None:
            if exc is not None:
                on_done(None, StoreError(str(exc), maybe_applied=exc.bytes_sent))
                return
            result = None
            error = self._era_reader.check(reply.headers)
            error = error or _status_error(reply, expected)
            if error is None:
                try:
                    result = decode(reply)
                except DECODE_ERRORS as decode_exc:
                    error = StoreError(f"the reply is unusable: {decode_exc!r}")
                    self._limited_log.warn("store-reply-unusable", error=str(error))
            on_done(result, error)

        self._client.call(call, on_call_reply)


def _path(kind: str, name: str = "") -> str:
    return f"{_quote(kind)}/{_quote(name)}" if name else _quote(kind)


def _quote(text: str) -> str:
    # Any text that JSON can hold may be a name.
    return quote(text, safe="", errors="surrogatepass")


def _decode_body(reply: Reply) -> Any:
    return reply.body


def _list_member(reply: Reply, name: str) -> list[Any]:
    items = reply.body[name]
    if not isinstance(items, list):
        raise TypeError(f"{name} is not a list")
    return items


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
