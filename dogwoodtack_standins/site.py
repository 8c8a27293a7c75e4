"""A stand-in for a whole site: its object store and its instances, in threads."""

import json
import socket
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from dogwoodtack.misc import Address

__all__ = ["InstanceStandIn", "Ran", "StoreStandIn"]

OBJECTS = "/dogwoodtack/objects/"
REQUEST_ID = "X-Dogwoodtack-Request-Id"
EXPECTED = "X-Dogwoodtack-Expected-Instance"
SIGNATURE = "X-Dogwoodtack-Response-Signature"
NOT_EXECUTED = "X-Dogwoodtack-Not-Executed"
PAGE = 50


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    owner: Any = None

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Keep quiet: connections that break are part of the tests."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args: Any) -> None:
        """Write nothing."""

    def read_body(self) -> bytes:
        """Return the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status: int, body: bytes, **headers: str) -> None:
        """Send an answer."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class StoreStandIn:
    """Objects by kind and name, with revisions, pages, watches and outages."""

    def __init__(self) -> None:
        self._lock = threading.Condition()
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._history_from = 0
        self.revision = 10
        self.is_down = False
        self.calls: Counter[str] = Counter()
        self._server = _Server(("127.0.0.1", 0), _StoreHandler)
        self._server.owner = self
        self.address = Address(*self._server.server_address)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, **halves: Any) -> None:
        """Write an object as an operator or an instance does."""
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
                **halves,
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
        """Let every watch from before be answered with 410."""
        with self._lock:
            self.revision += 1
            self._history_from = self.revision

    def list(self, kind: str, after: str) -> tuple[int, Any]:
        """Return status and body of a listing."""
        with self._lock:
            names = sorted(
                name for known, name in self._objects if known == kind and name > after
            )
            page = [self._objects[kind, name] for name in names[:PAGE]]
            more = len(names) > PAGE
            return 200, {"items": page, "hasMore": more, "currentRev": self.revision}

    def watch(self, kind: str, after: int, wait_s: float) -> tuple[int, Any]:
        """Return status and body of a watch, waiting for a change."""
        end = time.monotonic() + wait_s
        with self._lock:
            while True:
                if after < self._history_from:
                    return 410, {"error": "history is gone"}
                events = [
                    {"object": item, "deleted": deleted}
                    for revision, known, item, deleted in self._events
                    if known == kind and revision > after
                ]
                left_s = end - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                self._lock.wait(left_s)

    def create(self, kind: str, body: Any) -> tuple[int, Any]:
        """Create an object unless there is one."""
        name = body["metadata"]["name"]
        if (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        self.put(kind, name, spec=body.get("spec"))
        return 200, self._objects[kind, name]


class _StoreHandler(_Handler):
    def _answer(self, status: int, body: Any) -> None:
        self.reply(status, json.dumps(body).encode(), Content_Type="application/json")

    def _refuse_if_down(self) -> bool:
        if self.server.owner.is_down:
            self._answer(503, {"error": "down"})
        return self.server.owner.is_down

    def do_GET(self) -> None:
        """List, read or watch."""
        store = self.server.owner
        parts = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(OBJECTS).partition("/")
        store.calls[f"GET {kind}"] += 1
        if self._refuse_if_down():
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
        """Create."""
        body = json.loads(self.read_body())
        kind = self.path.removeprefix(OBJECTS)
        self.server.owner.calls[f"POST {kind}"] += 1
        if not self._refuse_if_down():
            self._answer(*self.server.owner.create(kind, body))


class Ran(NamedTuple):
    """One request that an instance ran."""

    request_id: str
    method: str
    path: str
    body: bytes


class InstanceStandIn:
    """One instance, whose behaviour tests choose.

    Behaviours: ok, error, shed, cut, no-signature, stray (a second answer follows,
    which the next request's answer has to be told from), unframed, other-id.
    """

    def __init__(self, name: str, delay_s: float = 0.0) -> None:
        self.name = name
        self.delay_s = delay_s
        self.behaviour = "ok"
        self.ran: list[Ran] = []
        self.misdirected = 0
        self.arrived_at: list[float] = []
        self._server = _Server(("127.0.0.1", 0), _InstanceHandler)
        self._server.owner = self
        self.address = Address(*self._server.server_address)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def arrived(self) -> int:
        """Return how many requests for this very instance came."""
        return len(self.arrived_at)

    def close(self) -> None:
        """Stop."""
        self._server.shutdown()
        self._server.server_close()

    def halves(self, service: str, state: str = "ready") -> dict[str, Any]:
        """Return its entry in the service directory."""
        info = {"service": service, "version": "v1", "zone": "zone-a", "slots": 2}
        status = {"state": state, "sequence": 1, "warmupLeftS": 0}
        born = 1796346000000
        spec = {"address": str(self.address), "info": info, "born": born}
        return {"spec": spec, "status": status}


class _InstanceHandler(_Handler):
    def _work(self) -> None:
        instance = self.server.owner
        body = self.read_body()
        request_id = self.headers.get(REQUEST_ID, "")
        if self.headers.get(EXPECTED) != instance.name:
            instance.misdirected += 1
            self.reply(421, b"", **{"X-Dogwoodtack-Instance-Id": instance.name})
            return
        instance.arrived_at.append(time.monotonic())
        if instance.behaviour == "shed":
            self.reply(503, b"", **{NOT_EXECUTED: "1", REQUEST_ID: request_id})
            return
        instance.ran.append(Ran(request_id, self.command, self.path, body))
        time.sleep(instance.delay_s)
        self._finish(instance, request_id, body)

    do_GET = do_POST = _work

    def _finish(self, instance: InstanceStandIn, request_id: str, body: bytes) -> None:
        text = f"{instance.name} {self.path} ".encode() + body
        named = {REQUEST_ID: request_id, SIGNATURE: f"signed-{request_id}"}
        match instance.behaviour:
            case "error":
                self.reply(500, b"broken", **named)
            case "cut":
                self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf")
                self.wfile.flush()
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
            case "no-signature":
                self.reply(200, text, **{REQUEST_ID: request_id})
            case "unframed":
                self.wfile.write(
                    f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\n"
                    f"{SIGNATURE}: signed-{request_id}\r\n\r\n".encode() + text
                )
                self.close_connection = True
            case "stray":
                self.reply(200, text, **named)
                self.reply(200, b"a second answer", **named)
            case "late":
                # What an earlier request is still owed comes first.
                early = {REQUEST_ID: "0" * 16, SIGNATURE: "signed-other"}
                self.reply(200, b"another request's", **early)
                self.reply(200, text, **named)
            case "other-id":
                early = {REQUEST_ID: "f" * 16, SIGNATURE: "signed-other"}
                self.reply(200, b"another request's", **early)
                self.close_connection = True
            case _:
                self.reply(200, text, **named)
