"""Stand-ins for a site's object store and its instances, run in threads."""

import json
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from dogwoodtack.misc import Address

__all__ = [
    "ENDLESS_HEADS",
    "ENDLESS_PIECES",
    "LEAVING_HEADER",
    "RATE_LIMIT_HEADER",
    "ExecutedRequest",
    "InstanceStandIn",
    "StoreStandIn",
]

OBJECTS_PATH = "/dogwoodtack/objects/"
REQUEST_ID_HEADER = "X-Dogwoodtack-Request-Id"
EXPECTED_INSTANCE_HEADER = "X-Dogwoodtack-Expected-Instance"
SIGNATURE_HEADER = "X-Dogwoodtack-Response-Signature"
NOT_EXECUTED_HEADER = "X-Dogwoodtack-Not-Executed"
RATE_LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
SENDER_HEADERS = ("authorization", "x-dogwoodtack-tenant")
PAGE_SIZE = 50
SIGNED_HEAD = (
    f"HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: REQUEST-ID\r\n"
    f"{SIGNATURE_HEADER}: signed\r\n"
).encode()
PIECE = b"x" * 65536
ENDLESS_HEADS = {
    "endless-line": b"",
    "endless-head": b"HTTP/1.1 200 OK\r\n",
    "endless-informational": b"",
    "endless-unsigned": b"HTTP/1.1 200 OK\r\n\r\n",
    "endless-body": SIGNED_HEAD + b"\r\n",
    "endless-chunks": SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "endless-error": SIGNED_HEAD.replace(b"200 OK", b"500 Broken") + b"\r\n",
    "endless-other": SIGNED_HEAD.replace(b"REQUEST-ID", b"f" * 16) + b"\r\n",
    "endless-extension": SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;",
    "endless-trailers": SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
    "endless-small-chunks": SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "endless-extensions": SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
}
ENDLESS_PIECES = {
    "endless-head": b"X-Field: " + b"x" * 1000 + b"\r\n",
    "endless-informational": b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "endless-trailers": b"X-Field: " + b"x" * 1000 + b"\r\n",
    "endless-small-chunks": b"1\r\nx\r\n" * 8192,
    "endless-extensions": b"1;" + b"x" * 1000 + b"\r\nx\r\n",
    "endless-chunks": b"10000\r\n" + PIECE + b"\r\n",
}
FIRST_REVISION = 10


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    owner: Any = None

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppress the traceback: the tests break connections on purpose."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args: Any) -> None:
        """Suppress the access log."""

    def read_body(self) -> bytes:
        """Return the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status: int, body: bytes, **headers: str) -> None:
        """Send a response; underscores in header names become hyphens."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class StoreAnswer(NamedTuple):
    """An answer, with the era of the state that it shows."""

    status: int
    body: Any
    era: int


class StoreEvent(NamedTuple):
    """A change of one object, and the monotonic time at which it was made."""

    made_at: float
    revision: int
    kind: str
    item: dict[str, Any]
    is_deleted: bool


class StoreStandIn:
    """An object store with revisions, paged lists, watches, outages and drills.

    In a drill the store is away and comes back from an older copy in a new era.

    Attributes:
        era: era that answers name; None leaves the header out.
        raw_values: bytes that responses have in place of strings, which may be what no
            JSON encoder writes.
    """

    def __init__(self) -> None:
        self._lock = threading.Condition()
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[StoreEvent] = []
        self._compacted_revision = 0
        self.revision = FIRST_REVISION
        self.era: int | None = 1
        self.is_down = False
        self.raw_values: dict[str, bytes] = {}
        self.calls: Counter[str] = Counter()
        self._server = _Server(("127.0.0.1", 0), _StoreHandler)
        self._server.owner = self
        self.address = Address(*self._server.server_address)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop the server and close its socket."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, **sections: Any) -> None:
        """Write an object; `spec` and `status` are given as keywords."""
        with self._lock:
            item = {
                "metadata": {
                    "name": name,
                    "revision": self.revision + 1,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": None,
                "status": None,
                **sections,
            }
            self._add_event(kind, item, is_deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self._lock:
            self._add_event(kind, self._objects[kind, name], is_deleted=True)

    def _add_event(self, kind: str, item: dict[str, Any], is_deleted: bool) -> None:
        self.revision += 1
        made_at = time.monotonic()
        event = StoreEvent(made_at, self.revision, kind, item, is_deleted)
        self._events.append(event)
        self._apply(event)
        self._lock.notify_all()

    def _apply(self, event: StoreEvent) -> None:
        key = (event.kind, event.item["metadata"]["name"])
        if event.is_deleted:
            del self._objects[key]
        else:
            self._objects[key] = event.item

    def forget_history(self) -> None:
        """Drop the event history: watches from earlier revisions get a 410."""
        with self._lock:
            self.revision += 1
            self._compacted_revision = self.revision

    def drill(self, away_s: float, copy_age_s: float) -> None:
        """Go away for a time and come back from a copy.

        Args:
            away_s: seconds without service.
            copy_age_s: age of the copy, in seconds, when the store goes away.
        """
        self.is_down = True
        copied_at = time.monotonic() - copy_age_s
        time.sleep(away_s)
        self._restore(copied_at)
        self.is_down = False

    def _restore(self, copied_at: float) -> None:
        with self._lock:
            self._events = [one for one in self._events if one.made_at <= copied_at]
            self._objects = {}
            for event in self._events:
                self._apply(event)
            last = self._events[-1].revision if self._events else FIRST_REVISION
            self.revision = last
            self._compacted_revision = min(self._compacted_revision, last)
            self.era += 1
            self._lock.notify_all()

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind, sorted."""
        with self._lock:
            return sorted(
                name for stored_kind, name in self._objects if stored_kind == kind
            )

    def get(self, kind: str, name: str) -> StoreAnswer:
        """Return one object."""
        with self._lock:
            item = self._objects.get((kind, name))
            return StoreAnswer(200 if item else 404, item or {}, self.era)

    def list(self, kind: str, after: str) -> StoreAnswer:
        """Return one page of a list."""
        names = [name for name in self.names(kind) if name > after]
        with self._lock:
            page = [
                self._objects[kind, name]
                for name in names[:PAGE_SIZE]
                if (kind, name) in self._objects
            ]
            more = len(names) > PAGE_SIZE
            body = {"items": page, "hasMore": more, "currentRev": self.revision}
            return StoreAnswer(200, body, self.era)

    def watch(self, kind: str, after: int, wait_s: float) -> StoreAnswer:
        """Return the changes after a revision, waiting for one."""
        deadline = time.monotonic() + wait_s
        with self._lock:
            era = self.era
            while True:
                has_history = self._compacted_revision <= after <= self.revision
                if era != self.era or not has_history:
                    return StoreAnswer(410, {"error": "history is gone"}, self.era)
                events = [
                    {"object": event.item, "deleted": event.is_deleted}
                    for event in self._events
                    if event.kind == kind and event.revision > after
                ]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0:
                    body = {"events": events, "currentRev": self.revision}
                    return StoreAnswer(200, body, self.era)
                self._lock.wait(remaining_s)

    def create(self, kind: str, body: Any) -> StoreAnswer:
        """Create an object; return a 409 if one of that name exists."""
        name = body["metadata"]["name"]
        with self._lock:
            found = self._objects.get((kind, name))
            if found is not None:
                return StoreAnswer(409, found, self.era)
            self.put(kind, name, spec=body.get("spec"))
            return StoreAnswer(200, self._objects[kind, name], self.era)

    def replace(self, kind: str, name: str, body: Any) -> StoreAnswer:
        """Replace an object's spec; return a 409 if it has another revision."""
        with self._lock:
            found = self._objects.get((kind, name))
            if found is None:
                return StoreAnswer(404, {}, self.era)
            if body["metadata"]["revision"] != found["metadata"]["revision"]:
                return StoreAnswer(409, found, self.era)
            self.put(kind, name, spec=body.get("spec"), status=found["status"])
            return StoreAnswer(200, self._objects[kind, name], self.era)


class _StoreHandler(_Handler):
    def _answer(self, answer: StoreAnswer) -> None:
        headers = {"Content_Type": "application/json"}
        if answer.era is not None:
            headers["Store_Era"] = str(answer.era)
        data = json.dumps(answer.body).encode()
        for text, raw in self.server.owner.raw_values.items():
            data = data.replace(json.dumps(text).encode(), raw)
        self.reply(answer.status, data, **headers)

    def _reject_if_down(self) -> bool:
        store = self.server.owner
        if store.is_down:
            self._answer(StoreAnswer(503, {"error": "down"}, store.era))
        return store.is_down

    def do_GET(self) -> None:
        """Serve a list, a read or a watch."""
        store = self.server.owner
        parts = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(OBJECTS_PATH).partition("/")
        store.calls[f"GET {kind}"] += 1
        if self._reject_if_down():
            return
        if name:
            self._answer(store.get(kind, name))
        elif "watch" in query:
            wait_s = int(query["waitMs"]) / 1000
            self._answer(store.watch(kind, int(query["watch"]), wait_s))
        else:
            self._answer(store.list(kind, query.get("after", "")))

    def do_POST(self) -> None:
        """Serve the creation of an object."""
        body = json.loads(self.read_body())
        kind = self.path.removeprefix(OBJECTS_PATH)
        self.server.owner.calls[f"POST {kind}"] += 1
        if not self._reject_if_down():
            self._answer(self.server.owner.create(kind, body))

    def do_PUT(self) -> None:
        """Serve the replacement of an object."""
        body = json.loads(self.read_body())
        kind, _, name = self.path.removeprefix(OBJECTS_PATH).partition("/")
        self.server.owner.calls[f"PUT {kind}"] += 1
        if not self._reject_if_down():
            self._answer(self.server.owner.replace(kind, name, body))


class ExecutedRequest(NamedTuple):
    """One request that an instance executed.

    Attributes:
        request_id: its id.
        method: HTTP method.
        path: path and query.
        body: the complete body.
        sender: the headers that say whose request it is, in whatever spelling.
        at: monotonic time.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    sender: tuple[tuple[str, str], ...] = ()
    at: float = 0.0


class Arrival(NamedTuple):
    """A request that reached an instance which it expected, at a monotonic time."""

    at: float
    request_id: str


class AskedPause(NamedTuple):
    """A pause that an instance asked for in the response to a request.

    Attributes:
        at: monotonic time at which the response was sent.
        request_id: the request.
        retry_after: the response's Retry-After.
    """

    at: float
    request_id: str
    retry_after: str


class InstanceStandIn:
    """An instance whose behaviour a test selects.

    Behaviours: ok; error (a 500); shed (a 503 with the not-executed header);
    shed-late (the same after the delay); cut (a truncated response); no-signature;
    unframed (no Content-Length, ended by closing); chunked; stray (a second response
    follows, which must not be taken for the next request's); late (a response to
    another request comes first); other-id (only a response to another request comes).
    Those named endless-... send bytes until the caller closes: in a head, in
    informational heads, in a signed or unsigned body, in chunks, or in a response to
    another request.

    Attributes:
        rate_limit: requests per second that its responses name as their limit; None
            if they name none.
        is_leaving: whether its responses say that it leaves.
        retry_after: Retry-After of its responses with status 503; None if they have
            none.
        arrivals: the requests that arrived and named this instance as expected.
        pauses: what it asked for in responses with `retry_after`.
        noticed_at: monotonic time of the first response with each header in which it
            says something about itself.
        lethal_targets: requests for these crash it when it has run them.
        on_crash: called with such a target when the instance crashes.
        closed_by_caller: endless responses that the caller has closed.
    """

    def __init__(self, name: str, delay_s: float = 0.0, zone: str = "zone-a") -> None:
        self.name = name
        self.zone = zone
        self.delay_s = delay_s
        self.behaviour = "ok"
        self.rate_limit: float | None = None
        self.is_leaving = False
        self.retry_after: str | None = None
        self.noticed_at: dict[str, float] = {}
        self.lethal_targets: set[str] = set()
        self.on_crash: Callable[[str], None] = lambda target: None
        self.closed_by_caller = 0
        self.ran: list[ExecutedRequest] = []
        self._sequence = 0
        self.misdirected = 0
        self.arrivals: list[Arrival] = []
        self.pauses: list[AskedPause] = []
        self._server = _Server(("127.0.0.1", 0), _InstanceHandler)
        self._server.owner = self
        self.address = Address(*self._server.server_address)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def arrived(self) -> int:
        """Return how many requests arrived."""
        return len(self.arrivals)

    @property
    def arrived_at(self) -> list[float]:
        """Return the times at which requests arrived."""
        return [arrival.at for arrival in self.arrivals]

    def close(self) -> None:
        """Stop the server and close its socket."""
        self._server.shutdown()
        self._server.server_close()

    def notices(self) -> dict[str, str]:
        """Return the headers in which its responses say something about it."""
        headers = {}
        if self.rate_limit is not None:
            headers[RATE_LIMIT_HEADER] = str(self.rate_limit)
        if self.is_leaving:
            headers[LEAVING_HEADER] = "1"
        for name in headers:
            self.noticed_at.setdefault(name, time.monotonic())
        return headers

    def directory_entry(
        self, service: str, state: str = "ready", born_ms: int = 1796346000000
    ) -> dict[str, Any]:
        """Return the `spec` and `status` of its next entry in the service directory."""
        self._sequence += 1
        info = {"service": service, "version": "v1", "zone": self.zone, "slots": 2}
        status = {"state": state, "sequence": self._sequence, "warmupLeftS": 0}
        spec = {"address": str(self.address), "info": info, "born": born_ms}
        return {"spec": spec, "status": status}


class _InstanceHandler(_Handler):
    def _send_without_end(self, behaviour: str, request_id: str) -> None:
        """Send a head and then one piece again and again, until the caller closes."""
        head = ENDLESS_HEADS[behaviour]
        piece = ENDLESS_PIECES.get(behaviour, PIECE)
        head = head.replace(b"REQUEST-ID", request_id.encode())
        self.close_connection = True
        try:
            self.wfile.write(head)
            while True:
                self.wfile.write(piece)
        except OSError:
            self.server.owner.closed_by_caller += 1

    def end_headers(self) -> None:
        """Add to every response what the instance says about itself."""
        for name, value in self.server.owner.notices().items():
            self.send_header(name, value)
        super().end_headers()

    def _handle_request(self) -> None:
        instance = self.server.owner
        body = self.read_body()
        request_id = self.headers.get(REQUEST_ID_HEADER, "")
        if self.headers.get(EXPECTED_INSTANCE_HEADER) != instance.name:
            instance.misdirected += 1
            self.reply(421, b"", **{"X-Dogwoodtack-Instance-Id": instance.name})
            return
        instance.arrivals.append(Arrival(time.monotonic(), request_id))
        if instance.behaviour == "shed-late":
            time.sleep(instance.delay_s)
        if instance.behaviour in ("shed", "shed-late"):
            headers = {NOT_EXECUTED_HEADER: "1", REQUEST_ID_HEADER: request_id}
            retry_after = instance.retry_after
            if retry_after is not None:
                headers["Retry-After"] = retry_after
            self.reply(503, b"", **headers)
            if retry_after is not None:
                now = time.monotonic()
                instance.pauses.append(AskedPause(now, request_id, retry_after))
            return
        sender = tuple(
            (name, value)
            for name, value in self.headers.items()
            if name.lower().replace("_", "-") in SENDER_HEADERS
        )
        instance.ran.append(
            ExecutedRequest(
                request_id, self.command, self.path, body, sender, time.monotonic()
            )
        )
        time.sleep(instance.delay_s)
        if self.path in instance.lethal_targets:
            self.close_connection = True
            instance.on_crash(self.path)
            return
        self._respond(instance, request_id, body)

    do_GET = do_POST = do_OPTIONS = _handle_request

    def _write_raw(self, headers: dict[str, str], body: bytes) -> None:
        """Send a success with just these headers and the notices."""
        lines = ["HTTP/1.1 200 OK"]
        lines += [
            f"{name}: {value}"
            for name, value in {**headers, **self.server.owner.notices()}.items()
        ]
        self.wfile.write("\r\n".join([*lines, "", ""]).encode() + body)

    def _respond(self, instance: InstanceStandIn, request_id: str, body: bytes) -> None:
        text = f"{instance.name} {self.path} ".encode() + body
        headers = {
            REQUEST_ID_HEADER: request_id,
            SIGNATURE_HEADER: f"signed-{request_id}",
        }
        match instance.behaviour:
            case name if name in ENDLESS_HEADS:
                self._send_without_end(name, request_id)
            case "error":
                self.reply(500, b"broken", **headers)
            case "cut":
                self._write_raw({**headers, "Content-Length": "99"}, b"half")
                self.wfile.flush()
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
            case "no-signature":
                self.reply(200, text, **{REQUEST_ID_HEADER: request_id})
            case "unframed":
                self._write_raw(headers, text)
                self.close_connection = True
            case "chunked":
                headers["Transfer-Encoding"] = "chunked"
                chunk = b"%x\r\n%s\r\n" % (len(text), text)
                self._write_raw(headers, chunk + b"0\r\n\r\n")
            case "stray":
                self.reply(200, text, **headers)
                self.reply(200, b"a second answer", **headers)
            case "late":
                # The response to an earlier request arrives first.
                other_headers = {
                    REQUEST_ID_HEADER: "0" * 16,
                    SIGNATURE_HEADER: "signed-other",
                }
                self.reply(200, b"another request's", **other_headers)
                self.reply(200, text, **headers)
            case "other-id":
                other_headers = {
                    REQUEST_ID_HEADER: "f" * 16,
                    SIGNATURE_HEADER: "signed-other",
                }
                self.reply(200, b"another request's", **other_headers)
                self.close_connection = True
            case _:
                self.reply(200, text, **headers)
