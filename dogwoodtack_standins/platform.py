"""A stand-in for the platform: object store, watches, host list and fault injection."""

import json
import sys
from collections import Counter
from typing import Any, NamedTuple

from absl import app, flags

from dogwoodtack.control import (
    ControlRequest,
    ControlServer,
    DeferredReply,
    Responder,
    Route,
)
from dogwoodtack.logs import log_event, set_up_logs
from dogwoodtack.misc import Address, parse_address

from .process import Process

__all__ = ["Platform", "run"]

FLAGS = flags.FLAGS
flags.DEFINE_string(
    "address", "127.0.0.1:7000", "Address on which the platform listens."
)

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 60.0
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
HTTP_TOO_LARGE = 413


class Fault(NamedTuple):
    """The faults injected into the platform.

    Attributes:
        down: every call but those under /test/ gets a 503.
        hang: calls get no response.
        delay_s: seconds by which each call is delayed.
        lose_answers: how many of the next writes take effect without a response.
        stale_reads: lists and reads return the state before the last write.
        list_lag_s: seconds by which the host list lags behind.
    """

    down: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    stale_reads: bool = False
    list_lag_s: float = 0.0


class PendingWatch(NamedTuple):
    """A watch that waits for a change after a revision."""

    after: int
    responder: Responder


class Platform(Process):
    """Store versioned objects and serve reads, writes and watches of them."""

    def __init__(self, address: Address) -> None:
        super().__init__()
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._previous_objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._revision = 0
        self._pending_watches: list[PendingWatch] = []
        self._hosts: dict[str, str] = {}
        self._host_changes: list[tuple[float, dict[str, str]]] = [(0.0, {})]
        self._fault = Fault()
        self.calls: Counter[str] = Counter()
        ControlServer("platform", address, "", self._routes()).register(self)

    def _routes(self) -> list[Route]:
        name = "/objects/(?P<kind>[^/]+)/(?P<name>[^/]+)"
        return [
            Route("GET", "/objects", self._counted("list", self._list), True),
            Route("GET", name, self._counted("get", self._get), True),
            Route("PUT", name, self._counted("put", self._put), True),
            Route("GET", "/watch", self._counted("watch", self._watch), True),
            Route("GET", "/hosts", self._counted("hosts", self._list_hosts), True),
            Route("PUT", "/test/fault", self._set_fault, True),
            Route("PUT", "/test/hosts", self._set_hosts, True),
            Route("GET", "/test/calls", lambda req: dict(self.calls), True),
        ]

    def _counted(self, name: str, serve: Any) -> Any:
        """Return a view that counts its calls and applies the injected fault."""

        def view(req: ControlRequest) -> DeferredReply:
            self.calls[name] += 1
            return DeferredReply(
                lambda responder: self._call_with_fault(serve, req, responder)
            )

        return view

    def _call_with_fault(
        self, serve: Any, req: ControlRequest, responder: Responder
    ) -> None:
        fault = self._fault
        if fault.hang:
            return
        if fault.down:
            responder.send({"error": "down"}, HTTP_UNAVAILABLE)
            return
        if fault.delay_s:
            self.reactor.call_later(fault.delay_s, serve, req, responder)
            return
        serve(req, responder)

    def _visible_objects(self) -> dict[tuple[str, str], dict[str, Any]]:
        return self._previous_objects if self._fault.stale_reads else self._objects

    def _list(self, req: ControlRequest, responder: Responder) -> None:
        objects = list(self._visible_objects().values())
        revision = max((one["version"] for one in objects), default=0)
        responder.send({"revision": revision, "objects": objects})

    def _get(self, req: ControlRequest, responder: Responder) -> None:
        key = (req.params["kind"], req.params["name"])
        obj = self._visible_objects().get(key)
        if obj is None:
            responder.send({"error": "not-found"}, 404)
            return
        responder.send(obj)

    def _put(self, req: ControlRequest, responder: Responder) -> None:
        key = (req.params["kind"], req.params["name"])
        value = req.body["value"]
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            responder.send({"error": "too-large"}, HTTP_TOO_LARGE)
            return
        stored = self._objects.get(key)
        version = 0 if stored is None else stored["version"]
        if version != req.body["if_version"]:
            responder.send({"error": "conflict", "version": version}, HTTP_CONFLICT)
            return
        self._previous_objects = dict(self._objects)
        self._revision += 1
        self._objects[key] = {
            "kind": key[0],
            "name": key[1],
            "version": self._revision,
            "value": value,
        }
        self._respond_to_watches()
        if self._fault.lose_answers > 0:
            remaining = self._fault.lose_answers - 1
            self._fault = self._fault._replace(lose_answers=remaining)
            return
        responder.send({"version": self._revision})

    def _watch(self, req: ControlRequest, responder: Responder) -> None:
        after = int(req.query.get("after", "0"))
        if after < self._revision:
            responder.send(self._changes(after))
            return
        watch = PendingWatch(after, responder)
        self._pending_watches.append(watch)
        wait_s = min(MAX_WATCH_S, float(req.query.get("wait_s", "10")))
        self.reactor.call_later(wait_s, self._on_watch_timeout, watch)

    def _changes(self, after: int) -> dict[str, Any]:
        objects = [one for one in self._objects.values() if one["version"] > after]
        return {"revision": self._revision, "objects": objects}

    def _on_watch_timeout(self, watch: PendingWatch) -> None:
        if watch in self._pending_watches:
            self._pending_watches.remove(watch)
            self._respond_to_watch(watch)

    def _respond_to_watch(self, watch: PendingWatch) -> None:
        if self._fault.hang:
            return
        if self._fault.down:
            watch.responder.send({"error": "down"}, HTTP_UNAVAILABLE)
            return
        watch.responder.send(self._changes(watch.after))

    def _respond_to_watches(self) -> None:
        watches, self._pending_watches = self._pending_watches, []
        for watch in watches:
            self._respond_to_watch(watch)

    def _list_hosts(self, req: ControlRequest, responder: Responder) -> None:
        listed_at = self.clock.monotonic() - self._fault.list_lag_s
        past_lists = [hosts for at, hosts in self._host_changes if at <= listed_at]
        hosts = past_lists[-1] if past_lists else {}
        responder.send(
            {"hosts": [{"name": key, "state": val} for key, val in hosts.items()]}
        )

    def _set_hosts(self, req: ControlRequest) -> Any:
        """Set the states of hosts; null removes a host from the list."""
        for name, state in req.body.items():
            self._hosts.pop(name, None)
            if state is not None:
                self._hosts[name] = state
        self._host_changes.append((self.clock.monotonic(), dict(self._hosts)))
        return {"hosts": self._hosts}

    def _set_fault(self, req: ControlRequest) -> Any:
        self._fault = Fault(**req.body)
        log_event("fault-set", **self._fault._asdict())
        if self._fault.down:
            self._respond_to_watches()
        return self._fault._asdict()


def main(argv: list[str]) -> int:
    """Run the platform until it is stopped."""
    if len(argv) > 1:
        print("usage: dogwoodtack-platform --address HOST:PORT", file=sys.stderr)
        return 2
    set_up_logs("INFO", standin="platform")
    Platform(parse_address(FLAGS.address)).run()
    return 0


def run() -> None:
    """Run the platform as a program."""
    app.run(main)


if __name__ == "__main__":
    run()
