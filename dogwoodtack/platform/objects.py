"""HTTP client of the platform's object store."""

from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote

from ..calls import Call, Client, Reply
from ..errors import HistoryGone, StoreConflict, StoreError, WireError
from ..misc import Address

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
    """All objects of a kind, as of a revision."""

    items: list[Any]
    revision: int


class Event(NamedTuple):
    """A change of one object."""

    item: Any
    is_deleted: bool


OnListing = Callable[[Listing | None, StoreError | None], None]
OnEvents = Callable[[list[Event] | None, int, StoreError | None], None]
OnObject = Callable[[Any, StoreError | None], None]


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
        self.calls_made = 0

    def list(self, kind: str, on_done: OnListing) -> None:
        """Read all objects of a kind, page by page."""
        items: list[Any] = []
        revisions: list[int] = []

        def on_page(reply: Reply | None, exc: WireError | None) -> None:
            error = _reply_error(reply, exc)
            if error is not None:
                on_done(None, error)
                return
            page = reply.body["items"]
            items.extend(page)
            # A watch from the first page's revision returns changes made between pages.
            revisions.append(int(reply.body["currentRev"]))
            if reply.body.get("hasMore") and page:
                request_page(page[-1]["metadata"]["name"])
                return
            on_done(Listing(items, revisions[0]), None)

        def request_page(after: str) -> None:
            query = f"?after={quote(after, safe='')}" if after else ""
            self._send("GET", f"{kind}{query}", None, self._timeout_s, on_page)

        request_page("")

    def get(self, kind: str, name: str, on_done: OnObject) -> None:
        """Read one object; the callback gets None if there is none."""

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is not None and reply.status == NOT_FOUND:
                on_done(None, None)
                return
            error = _reply_error(reply, exc)
            on_done(None if error else reply.body, error)

        self._send("GET", _path(kind, name), None, self._timeout_s, on_reply)

    def watch(self, kind: str, after: int, wait_s: float, on_done: OnEvents) -> None:
        """Wait for changes of a kind after a revision.

        Args:
            kind: kind of the objects.
            after: the revision.
            wait_s: longest wait in seconds.
            on_done: called with the events or None, the revision to continue from,
                and the error or None.
        """
        target = f"{kind}?watch={after}&waitMs={round(wait_s * 1000)}"

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            error = _reply_error(reply, exc)
            if error is not None:
                on_done(None, after, error)
                return
            events = [
                Event(item["object"], bool(item["deleted"]))
                for item in reply.body["events"]
            ]
            on_done(events, int(reply.body["currentRev"]), None)

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

    def _send(
        self, method: str, path: str, body: Any, timeout_s: float, on_reply: Any
    ) -> None:
        self.calls_made += 1
        call = Call(self._address, method, OBJECTS_PATH + path, body, timeout_s)
        self._client.call(call, on_reply)


def _path(kind: str, name: str) -> str:
    return f"{kind}/{quote(name, safe='')}"


def _reply_handler(on_done: OnObject) -> Callable[..., None]:
    def on_reply(reply: Reply | None, exc: WireError | None) -> None:
        error = _reply_error(reply, exc)
        on_done(None if error else reply.body, error)

    return on_reply


def _reply_error(reply: Reply | None, exc: WireError | None) -> StoreError | None:
    """Return the error of a failed call, or None for a usable reply."""
    if exc is not None:
        return StoreError(str(exc), maybe_applied=exc.bytes_sent)
    if reply.status == GONE:
        return HistoryGone("the watch history no longer covers the revision")
    if reply.status == CONFLICT:
        return StoreConflict("the object exists or has another revision")
    if reply.status not in (OK, CREATED):
        return StoreError(f"status {reply.status}")
    if not isinstance(reply.body, dict):
        return StoreError("the reply is not a JSON object")
    return None
