"""Stand-ins for a site's object store and its instances, run in threads."""

import json
import socket
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from dogwoodtack.misc import Address

__all__ = ["ExecutedRequest", "InstanceStandIn", "StoreStandIn"]

OBJECTS_PATH = "/dogwoodtack/objects/"
REQUEST_ID_HEADER = "X-Dogwoodtack-Request-Id"
EXPECTED_INSTANCE_HEADER = "X-Dogwoodtack-Expected-Instance"
SIGNATURE_HEADER = "X-Dogwoodtack-Response-Signature"
NOT_EXECUTED_HEADER = "X-Dogwoodtack-Not-Executed"
PAGE_SIZE = 50


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


class StoreStandIn:
    """An object store with revisions, paged lists, watches and outages."""

    def __init__(self) -> None:
        self._lock = threading.Condition()
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._compacted_revision = 0
        self.revision = 10
        self.is_down = False
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
            self.revision += 1
            item = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": None,
                "status": None,
                **sections,
            }
            self._objects[kind, name] = item
            self._events.append((self.revision, kind, item, False))
            self._lock.notify_all()

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self._lock:
            self.revision += 1
            item = self._objects.pop((kind, name))
            self._events.append((self.revision, kind, item, True))
            self._lock.notify_all()

    def forget_history(self) -> None:
        """Drop the event history: watches from earlier revisions get a 410."""
        with self._lock:
            self.revision += 1
            self._compacted_revision = self.revision

    def list(self, kind: str, after: str) -> tuple[int, Any]:
        """Return the status and body of one page of a list."""
        with self._lock:
            names = sorted(
                name
                for stored_kind, name in self._objects
                if stored_kind == kind and name > after
            )
            page = [self._objects[kind, name] for name in names[:PAGE_SIZE]]
            more = len(names) > PAGE_SIZE
            return 200, {"items": page, "hasMore": more, "currentRev": self.revision}

    def watch(self, kind: str, after: int, wait_s: float) -> tuple[int, Any]:
        """Return the status and body of a watch, after a change or the wait time."""
        deadline = time.monotonic() + wait_s
        with self._lock:
            while True:
                if after < self._compacted_revision:
                    return 410, {"error": "history is gone"}
                events = [
                    {"object": item, "deleted": deleted}
                    for revision, event_kind, item, deleted in self._events
                    if event_kind == kind and revision > after
                ]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                self._lock.wait(remaining_s)

    def create(self, kind: str, body: Any) -> tuple[int, Any]:
        """Create an object; return a 409 if one of that name exists."""
        name = body["metadata"]["name"]
        if (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        self.put(kind, name, spec=body.get("spec"))
        return 200, self._objects[kind, name]


class _StoreHandler(_Handler):
    def _answer(self, status: int, body: Any) -> None:
        self.reply(status, json.dumps(body).encode(), Content_Type="application/json")

    def _reject_if_down(self) -> bool:
        if self.server.owner.is_down:
            self._answer(503, {"error": "down"})
        return self.server.owner.is_down

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
            item = store._objects.get((kind, name))
            self._answer(200 if item else 404, item or {})
        elif "watch" in query:
            wait_s = int(query["waitMs"]) / 1000
            self._answer(*store.watch(kind, int(query["watch"]), wait_s))
        else:
            self._answer(*store.list(kind, query.get("after", "")))

    def do_POST(self) -> None:
        """Serve the creation of an object."""
        body = json.loads(self.read_body())
        kind = self.path.removeprefix(OBJECTS_PATH)
        self.server.owner.calls[f"POST {kind}"] += 1
        if not self._reject_if_down():
            self._answer(*self.server.owner.create(kind, body))


class ExecutedRequest(NamedTuple):
    """One request that an instance executed."""

    request_id: str
    method: str
    path: str
    body: bytes


class InstanceStandIn:
    """An instance whose behaviour a test selects.

    Behaviours: ok; error (a 500); shed (a 503 with the not-executed header); cut (a
    truncated response); no-signature; unframed (no Content-Length, ended by closing);
    stray (a second response follows, which must not be taken for the next request's);
    late (a response to another request comes first); other-id (only a response to
    another request comes).
    """

    def __init__(self, name: str, delay_s: float = 0.0) -> None:
        self.name = name
        self.delay_s = delay_s
        self.behaviour = "ok"
        self.ran: list[ExecutedRequest] = []
        self.misdirected = 0
        self.arrived_at: list[float] = []
        self._server = _Server(("127.0.0.1", 0), _InstanceHandler)
        self._server.owner = self
        self.address = Address(*self._server.server_address)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def arrived(self) -> int:
        """Return how many requests arrived that named this instance as expected."""
        return len(self.arrived_at)

    def close(self) -> None:
        """Stop the server and close its socket."""
        self._server.shutdown()
        self._server.server_close()

    def directory_entry(self, service: str, state: str = "ready") -> dict[str, Any]:
        """Return the `spec` and `status` of its entry in the service directory."""
        info = {"service": service, "version": "v1", "zone": "zone-a", "slots": 2}
        status = {"state": state, "sequence": 1, "warmupLeftS": 0}
        born_ms = 1796346000000
        spec = {"address": str(self.address), "info": info, "born": born_ms}
        return {"spec": spec, "status": status}


class _InstanceHandler(_Handler):
    def _handle_request(self) -> None:
        instance = self.server.owner
        body = self.read_body()
        request_id = self.headers.get(REQUEST_ID_HEADER, "")
        if self.headers.get(EXPECTED_INSTANCE_HEADER) != instance.name:
            instance.misdirected += 1
            self.reply(421, b"", **{"X-Dogwoodtack-Instance-Id": instance.name})
            return
        instance.arrived_at.append(time.monotonic())
        if instance.behaviour == "shed":
            self.reply(
                503, b"", **{NOT_EXECUTED_HEADER: "1", REQUEST_ID_HEADER: request_id}
            )
            return
        instance.ran.append(ExecutedRequest(request_id, self.command, self.path, body))
        time.sleep(instance.delay_s)
        self._respond(instance, request_id, body)

    do_GET = do_POST = _handle_request

    def _respond(self, instance: InstanceStandIn, request_id: str, body: bytes) -> None:
        text = f"{instance.name} {self.path} ".encode() + body
        headers = {
            REQUEST_ID_HEADER: request_id,
            SIGNATURE_HEADER: f"signed-{request_id}",
        }
        match instance.behaviour:
            case "error":
                self.reply(500, b"broken", **headers)
            case "cut":
                self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf")
                self.wfile.flush()
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
            case "no-signature":
                self.reply(200, text, **{REQUEST_ID_HEADER: request_id})
            case "unframed":
                self.wfile.write(
                    f"HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {request_id}\r\n"
                    f"{SIGNATURE_HEADER}: signed-{request_id}\r\n\r\n".encode() + text
                )
                self.close_connection = True
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
