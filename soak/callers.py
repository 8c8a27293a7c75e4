"""Callers of a soak: they keep connections open and record each response."""

import http.client
import itertools
import random
import threading
import time
from collections.abc import Iterable
from typing import NamedTuple

from .site import HOST, HostProcess, Site

__all__ = ["Call", "Caller", "Draft", "Repeater", "VersionWatcher"]

RESPONSE_TIMEOUT_S = 4.0
REQUEST_INTERVAL_S = 0.02
REPEAT_INTERVAL_S = 0.25


class Call(NamedTuple):
    """One request and its result, as its caller saw it.

    Attributes:
        generation: number of starts of the entry host's process before the request.
        sent_at: monotonic time in seconds.
        ended_at: monotonic time in seconds.
        status: HTTP status; 0 if the connection ended without a response, -1 if no
            connection was made.
        is_correct: whether a success is the complete response to this request.
        key: its key; empty without one.
    """

    id: str
    is_non_idempotent: bool
    host: str
    generation: int
    sent_at: float
    ended_at: float
    status: int
    is_correct: bool
    key: str = ""


class Draft(NamedTuple):
    """A request to send.

    Attributes:
        kind: first part of its path; those of kind `look` are idempotent.
        body: the complete body, None without one.
        key: its key; empty without one.
        pieces: the body as it is sent, if not at once.
    """

    kind: str
    body: bytes | None
    key: str = ""
    headers: dict[str, str] = {}
    pieces: Iterable[bytes] = ()


def _key_headers(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"} if key else {}


class Caller(threading.Thread):
    """Sends requests one after another, on one connection until it ends."""

    def __init__(self, site: Site, seed: int, number: int) -> None:
        super().__init__(daemon=True)
        self._site = site
        self._rng = random.Random(seed * 1000 + number)
        self._number = number
        self._conn: http.client.HTTPConnection | None = None
        self._host: HostProcess | None = None
        self._lifetime = 0
        self.calls: list[Call] = []
        self.is_stopping = False
        self.interval_s = REQUEST_INTERVAL_S

    def run(self) -> None:
        """Send requests until `is_stopping` is set."""
        while not self.is_stopping:
            self._call()
            time.sleep(self.interval_s)

    def _connect(self) -> None:
        self._host = self._rng.choice(self._site.hosts)
        self._lifetime = self._host.generation
        self._conn = http.client.HTTPConnection(
            "127.0.0.1", self._host.port, timeout=RESPONSE_TIMEOUT_S
        )
        self._conn.connect()

    def _call(self) -> None:
        draft = self._draw()
        request_id = f"{self._number:04x}{len(self.calls):012x}"
        path = f"/{draft.kind}/{request_id}"
        sent_at = time.monotonic()
        status, is_correct = -1, False
        try:
            if self._conn is None:
                self._connect()
            status = 0
            status, is_correct = self._exchange(draft, path, request_id)
        except (OSError, http.client.HTTPException):
            self._close_conn()
        now = time.monotonic()
        name = self._host.name if self._host else ""
        self.calls.append(
            Call(
                request_id,
                draft.kind != "look",
                name,
                self._lifetime,
                sent_at,
                now,
                status,
                is_correct,
                draft.key,
            )
        )

    def _draw(self) -> Draft:
        organisations = self._site.organisations
        key = organisations.steady_key if organisations else ""
        if self._rng.random() < 0.6:
            return Draft("book", b"b", key)
        return Draft("look", None, key)

    def _exchange(self, draft: Draft, path: str, request_id: str) -> tuple[int, bool]:
        headers = {
            "Host": HOST,
            "X-Dogwoodtack-Request-Id": request_id,
            "X-Dogwoodtack-Deadline-Ms": "3000",
            **_key_headers(draft.key),
            **draft.headers,
        }
        method, body = ("GET", b"") if draft.body is None else ("POST", draft.body)
        if body:
            headers["Content-Length"] = str(len(body))
        is_sent = True
        try:
            self._conn.request(method, path, draft.pieces or draft.body, headers)
        except (BrokenPipeError, ConnectionResetError):
            # The host may have rejected the request before the end of its body.
            is_sent = False
        answer = self._conn.getresponse()
        data = answer.read()
        signature = answer.getheader("X-Dogwoodtack-Response-Signature")
        is_correct = (
            signature == f"signed-{request_id}"
            and path.encode() in data
            and data.endswith(body)
        )
        if answer.will_close or not is_sent:
            self._close_conn()
        return answer.status, is_correct

    def _close_conn(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None


class Repeater(threading.Thread):
    """Sends the same request again and again, to one host after another.

    Attributes:
        results: time, status and duration of each request by its id.
    """

    def __init__(self, site: Site, method: str, target: str, prefix: str) -> None:
        super().__init__(daemon=True)
        self._site = site
        self._method = method
        self._prefix = prefix
        self.target = target
        self.is_stopping = False
        self.results: dict[str, tuple[float, int, float]] = {}

    def run(self) -> None:
        """Send the request until `is_stopping` is set."""
        hosts = itertools.cycle(self._site.hosts)
        while not self.is_stopping:
            self._send(next(hosts), f"{self._prefix}{len(self.results):012x}")
            time.sleep(REPEAT_INTERVAL_S)

    def _send(self, host: HostProcess, request_id: str) -> None:
        headers = {
            "Host": HOST,
            "X-Dogwoodtack-Request-Id": request_id,
            "X-Dogwoodtack-Deadline-Ms": "3000",
        }
        if self._site.organisations is not None:
            headers |= _key_headers(self._site.organisations.steady_key)
        body = b"lethal" if self._method == "POST" else None
        conn = http.client.HTTPConnection(
            "127.0.0.1", host.port, timeout=RESPONSE_TIMEOUT_S
        )
        sent_at, status = time.monotonic(), 0
        try:
            conn.request(self._method, self.target, body, headers)
            status = conn.getresponse().status
        except (OSError, http.client.HTTPException):
            # The host is down; the status says so.
            pass
        finally:
            conn.close()
        self.results[request_id] = sent_at, status, time.monotonic() - sent_at

    def stop(self) -> None:
        """Stop and wait for the last response."""
        self.is_stopping = True
        self.join(10.0)


class VersionWatcher(threading.Thread):
    """Polls each host for the configuration version that it has applied."""

    def __init__(self, site: Site) -> None:
        super().__init__(daemon=True)
        self._site = site
        self.observed: list[tuple[str, int, int]] = []
        self.is_stopping = False

    def run(self) -> None:
        """Poll until `is_stopping` is set."""
        while not self.is_stopping:
            for host in self._site.hosts:
                for version in {self._site.version, max(1, self._site.version - 1)}:
                    self._probe_version(host, version)
            time.sleep(0.05)

    def _probe_version(self, host: HostProcess, version: int) -> None:
        generation = host.generation
        conn = http.client.HTTPConnection("127.0.0.1", host.port, timeout=1.0)
        try:
            headers = {"Host": HOST, "X-Dogwoodtack-Request-Id": "f" * 16}
            conn.request("GET", f"/v{version}/", headers=headers)
            if conn.getresponse().status == 200 and generation == host.generation:
                self.observed.append((host.name, generation, version))
        except (OSError, http.client.HTTPException):
            # A host that is down serves no version.
            pass
        finally:
            conn.close()
