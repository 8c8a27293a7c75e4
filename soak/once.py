"""Check through real processes that no non-idempotent request runs twice.

`python -m soak.once --seeds=10` runs ten seeds, and `--checkout=FOLDER` runs the entry
hosts of another checkout, or those of several in turn.
"""

import functools
import json
import random
import signal
import socket
import sys
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from absl import app, flags

from dogwoodtack.misc import Address

from .instances import BEHAVIOURS, FaultyInstance, Run
from .proxy import Fault
from .site import HOST, ROOT, HostProcess, Site
from .soak import NOT_RUN_STATUSES, UNEXPECTED_EVENTS, SoakResult, run_seeds

__all__ = ["OnceSoak"]

HOSTS = 4
INSTANCES = 6
CALLERS = 24
ZONES = ("zone-a", "zone-b")
WORK_S = 0.06
FAULTY_SHARE = 0.35
REPEAT_SHARE = 0.6
# How long the entry of an ended instance stays, and how many appear at a time.
STALE_ENTRY_S = 2.0
STALE_ENTRIES = 5
CUT_MODES = ("hang", "reset", "refuse-new")
# Ample retries, so that repeats happen as often as they may.
BOUNDS = ("drainS=2", "graceS=6", "retryBudgetRatio=2", "budgetSlack=500")
PROGRAM = "tests/cut_host.py"


class OnceCall(NamedTuple):
    """One request and how it ended, as its caller saw it.

    Attributes:
        status: HTTP status; 0 without a complete response, -1 if the caller left.
    """

    id: str
    is_non_idempotent: bool
    host: str
    sent_at: float
    ended_at: float
    status: int
    is_correct: bool


class _Caller(threading.Thread):
    """Sends requests in pieces on kept connections, with bodies of many sizes."""

    def __init__(self, soak: "OnceSoak", seed: int, number: int) -> None:
        super().__init__(daemon=True)
        self._soak = soak
        self._rng = random.Random(f"{seed}/{number}")
        self._sock: socket.socket | None = None
        self._host: HostProcess | None = None
        self._data = b""
        self.calls: list[OnceCall] = []

    def run(self) -> None:
        """Send requests until the soak ends."""
        while not self._soak.is_ending:
            self._call()
            time.sleep(self._rng.uniform(0.0, 0.04))

    def _call(self) -> None:
        rng = self._rng
        is_post = rng.random() < 0.7
        request_id = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
        request_id = f"{self._soak.prefix}{request_id[4:]}"
        prefix = "/book/" if is_post else rng.choice(("/look/", "/docs/"))
        if self._soak.changes_kinds and rng.random() < 0.4:
            prefix = rng.choice(self._soak.changing_prefixes())
        head, body = self._request(is_post, prefix, request_id)
        leaves_after_s = rng.choice((0.05, 0.3)) if rng.random() < 0.1 else None
        is_non_idempotent = self._soak.is_non_idempotent(prefix)
        sent_at = time.monotonic()
        status, is_correct = 0, False
        try:
            if self._sock is None:
                self._connect()
            self._send(head, body)
            if leaves_after_s is not None:
                time.sleep(leaves_after_s)
                status = -1
                self._close()
            else:
                status, is_correct = self._receive(request_id)
        except (OSError, ValueError):
            # The host is down, or the connection ended; the status says so.
            self._close()
        name = self._host.name if self._host else ""
        self.calls.append(
            OnceCall(
                request_id,
                is_non_idempotent,
                name,
                sent_at,
                time.monotonic(),
                status,
                is_correct,
            )
        )

    def _request(
        self, is_post: bool, prefix: str, request_id: str
    ) -> tuple[bytes, bytes]:
        rng = self._rng
        size = rng.choice((0, 0, 1, 300, 70_000, 200_000)) if is_post else 0
        body = b"b" * size
        lines = [
            f"{'POST' if is_post else 'GET'} {prefix}{request_id} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Dogwoodtack-Request-Id: {request_id}",
            f"X-Dogwoodtack-Deadline-Ms: {rng.choice((300, 900, 3000))}",
        ]
        if is_post and rng.random() < 0.3:
            lines.append("Transfer-Encoding: chunked")
            half = size // 2
            pieces = [piece for piece in (body[:half], body[half:]) if piece]
            body = b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in pieces)
            body += b"0\r\n\r\n"
        elif is_post:
            lines.append(f"Content-Length: {size}")
        return "\r\n".join([*lines, "", ""]).encode(), body

    def _connect(self) -> None:
        self._host = self._rng.choice(self._soak.site.hosts)
        self._data = b""
        self._sock = socket.create_connection(("127.0.0.1", self._host.port), 4.0)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _send(self, head: bytes, body: bytes) -> None:
        if self._rng.random() < 0.7:
            self._sock.sendall(head + body)
            return
        data = head + body
        while data:
            size = self._rng.choice((1, 40, len(head), 50_000))
            self._sock.sendall(data[:size])
            data = data[size:]
            if len(data) < 100_000:
                time.sleep(self._rng.choice((0.0, 0.002, 0.03)))

    def _receive(self, request_id: str) -> tuple[int, bool]:
        while b"\r\n\r\n" not in self._data:
            self._fill()
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in lines[1:])
        status = int(lines[0].split(b" ")[1])
        length = int(fields[b"content-length"])
        while len(self._data) < length:
            self._fill()
        body, self._data = self._data[:length], self._data[length:]
        signature = fields.get(b"x-dogwoodtack-response-signature", b"").decode()
        is_correct = (
            signature == f"signed-{request_id}"
            and body == f"body of {request_id}".encode()
        )
        if fields.get(b"connection") == b"close":
            self._close()
        return status, is_correct

    def _fill(self) -> None:
        piece = self._sock.recv(65536)
        if not piece:
            raise ConnectionResetError("the host closed the connection")
        self._data += piece

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


class OnceSoak:
    """One run: hosts in two zones, instances with random faults, and disturbances.

    Args:
        seed: chooses all that is random.
        checkouts: checkouts whose code the entry hosts run, assigned in rotation.
        behaviours: what instances do.
        program: program that the entry hosts run.
        changes_kinds: whether routes turn non-idempotent, at times beside a host that
            is paused or cut from the store.
        keeps_entries: whether entries of ended instances stay, or appear, at the
            addresses of running ones, and instances repeat refusals.

    Attributes:
        site: store and hosts.
        prefix: of the ids of this run's requests.
        changes_kinds: as the argument.
        is_ending: whether callers should stop.
    """

    def __init__(
        self,
        seed: int,
        checkouts: Sequence[Path] = (ROOT,),
        behaviours: tuple[str, ...] = BEHAVIOURS,
        program: str = PROGRAM,
        changes_kinds: bool = False,
        keeps_entries: bool = False,
    ) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        self._behaviours = behaviours
        self._can_cut = program == PROGRAM
        self._threads: list[threading.Thread] = []
        self._faults: list[str] = []
        self._names = 0
        # The newest route that has turned non-idempotent; the next one has not yet.
        self._turned_route = 0
        self.changes_kinds = changes_kinds
        self._keeps_entries = keeps_entries
        self._ended: list[FaultyInstance] = []
        self._lock = threading.RLock()
        self.prefix = f"{self._rng.getrandbits(16):04x}"
        self.is_ending = False
        self.site = Site(HOSTS, 0, checkouts, ZONES, program=program, bounds=BOUNDS)
        self.instances = [self._start_instance("jobs") for _ in range(INSTANCES)]
        self.instances += [self._start_instance("docs") for _ in range(2)]
        self._put_configuration(self._turned_route)

    def close(self) -> None:
        """End all processes and servers."""
        self.site.close()
        for one in self.instances:
            one.end()

    def _start_instance(
        self, service: str, address: Address = Address("127.0.0.1", 0)
    ) -> FaultyInstance:
        self._names += 1
        one = FaultyInstance(
            f"i-{self.prefix}-{self._names}",
            self._rng.choice(ZONES),
            service,
            self._behaviours,
            random.Random(self._rng.random()),
            WORK_S,
            FAULTY_SHARE,
            address,
            REPEAT_SHARE if self._keeps_entries else 0.0,
        )
        self.site.store.put("servers", one.name, **one.directory_entry())
        return one

    def _put_configuration(self, turned_route: int) -> None:
        """Write the next version, in which a route and those before it have turned."""

        def route(prefix: str, kind: str, service: str) -> dict[str, object]:
            return {
                "host": HOST,
                "pathPrefix": prefix,
                "kind": kind,
                "timeoutS": self._rng.choice((1.0, 2.0, 2.5)),
                "targetLatencyS": self._rng.choice((0.2, 0.8)),
                "priority": 1,
                "service": service,
                "maxAttempts": 3,
            }

        routes = {
            "look": route("/look/", "safe", "jobs"),
            "book": route("/book/", "unsafe", "jobs"),
            "docs": route("/docs/", "download", "docs"),
        }
        if self.changes_kinds:
            routes |= self._changing_routes(route, turned_route)
        self.site.version += 1
        spec = {
            "version": f"{self.site.version:08x}",
            "routes": routes,
            "services": {
                name: {"healthCheckPath": "/health", "maxConnections": 100}
                for name in ("jobs", "docs")
            },
            "limits": {"idleTimeoutS": 15, "headerTimeoutS": 3},
        }
        self.site.store.put("config", "main", spec=spec)

    # Routes that turn non-idempotent: by their kind, or by another one below them.

    @staticmethod
    def _changing_routes(
        route: Callable[[str, str, str], dict[str, object]], turned: int
    ) -> dict[str, dict[str, object]]:
        unchanged = turned + 1
        routes = {
            f"turn-{turned}": route(f"/turn{turned}/", "unsafe", "jobs"),
            f"turn-{unchanged}": route(f"/turn{unchanged}/", "safe", "jobs"),
        }
        if turned % 2:
            routes[f"turn-{turned}"]["kind"] = "safe"
            routes[f"below-{turned}"] = route(f"/turn{turned}/b/", "unsafe", "jobs")
        return routes

    def changing_prefixes(self) -> tuple[str, str]:
        """Return the prefix that has turned last, and the one that turns next."""
        turned = self._turned_route
        return f"/turn{turned}/b/", f"/turn{turned + 1}/b/"

    def is_non_idempotent(self, prefix: str) -> bool:
        """Return whether requests that are sent from now on may run once at most."""
        if prefix.startswith("/turn"):
            return int(prefix.split("/")[1].removeprefix("turn")) <= self._turned_route
        return prefix == "/book/"

    def _change_kind(self) -> None:
        """Turn a route, at times while a host is paused or cut from the store."""
        host = self._rng.choice(self.site.hosts)
        how = self._rng.choice(("no fault", "paused", "cut from the store"))
        seconds = self._rng.choice((0.5, 1.5, 4.0))

        def run() -> None:
            with host.lock:
                if how == "paused":
                    threading.Timer(0.2, self._turn_route).start()
                    host.pause(seconds)
                else:
                    self._turn_beside_cut(host, seconds if how != "no fault" else 0.0)

        self._start(f"route turns, {host.name} {how} {seconds} s", run)

    def _turn_beside_cut(self, host: HostProcess, seconds: float) -> None:
        proxy = self.site.store_proxies[self.site.hosts.index(host)]
        if seconds:
            proxy.fault = Fault.SILENCED
            time.sleep(0.2)
        self._turn_route()
        time.sleep(seconds)
        proxy.fault = Fault.NONE

    def _write_configuration(self) -> None:
        with self._lock:
            self._put_configuration(self._turned_route)

    def _turn_route(self) -> None:
        with self._lock:
            # Callers judge by this number, so that it counts once that is in the store.
            turned = self._turned_route + 1
            self._put_configuration(turned)
            self._turned_route = turned

    # Disturbances.

    def _start(self, description: str, fn: Callable[[], None]) -> None:
        self._faults.append(f"{time.monotonic() - self._began_at:.2f} {description}")
        thread = threading.Thread(target=fn, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _on_host(self, description: str, fn: Callable[[HostProcess], object]) -> None:
        host = self._rng.choice(self.site.hosts)

        def run() -> None:
            with host.lock:
                fn(host)

        self._start(f"{host.name} {description}", run)

    def _disturb(self) -> None:
        kinds = [
            self._pause,
            lambda: self._on_host("killed", HostProcess.kill),
            lambda: self._on_host("replaced", HostProcess.replace),
            lambda: self._on_host("SIGHUP", _hang_up),
            self._end_instance,
            self._reset_instances,
            self._write_configuration,
            self._stop_store,
        ]
        if self._can_cut:
            kinds += [self._cut] * 2
        if self.changes_kinds:
            kinds += [self._change_kind] * 4
        if self._keeps_entries:
            kinds += [self._restart_instance, self._add_stale_entries] * 4
        self._rng.choice(kinds)()

    def _pause(self) -> None:
        seconds = self._rng.choice((0.1, 0.4, 1.5))
        self._on_host(f"paused {seconds} s", lambda host: host.pause(seconds))

    def _cut(self) -> None:
        """Cut some of the hosts from all instances."""
        mode = self._rng.choice(CUT_MODES)
        seconds = self._rng.choice((0.3, 1.0, 2.5))
        hosts = self._rng.sample(self.site.hosts, self._rng.randint(1, HOSTS - 1))
        ports = [one.address.port for one in self.instances]

        def run() -> None:
            for host in hosts:
                path = host.settings_path.with_suffix(".cut")
                path.with_suffix(".new").write_text(
                    json.dumps({"mode": mode, "ports": ports})
                )
                path.with_suffix(".new").rename(path)
            time.sleep(seconds)
            for host in hosts:
                host.settings_path.with_suffix(".cut").unlink(missing_ok=True)

        names = " ".join(host.name for host in hosts)
        self._start(f"{names} cut ({mode}) {seconds} s", run)

    def _end_instance(self, keeps_entry: bool = False) -> None:
        """Crash an instance, whose port another one has at once."""
        with self._lock:
            index = self._rng.randrange(len(self.instances))
            ended = self.instances[index]
            ended.end()
            self._ended.append(ended)
            self._remove_entry(ended.name, STALE_ENTRY_S if keeps_entry else 0.0)
            service = self._rng.choice(("jobs", ended.service))
            try:
                self.instances[index] = self._start_instance(service, ended.address)
            except OSError:
                # The port is still held by a connection that ends.
                self.instances[index] = self._start_instance(service)
        started = self.instances[index]
        self._faults.append(
            f"{time.monotonic() - self._began_at:.2f} {ended.name} ends,"
            f" {started.name} ({service}) starts at {started.address}"
        )

    def _remove_entry(self, name: str, delay_s: float) -> None:
        delete = functools.partial(self.site.store.delete, "servers", name)
        if not delay_s:
            delete()
            return
        timer = threading.Timer(delay_s, delete)
        timer.start()
        self._threads.append(timer)

    def _restart_instance(self) -> None:
        """Crash an instance, whose entry stays for a while."""
        self._end_instance(keeps_entry=True)

    def _add_stale_entries(self) -> None:
        """Let entries of ended instances appear at addresses of running ones."""
        with self._lock:
            for one in self._rng.sample(self.instances, STALE_ENTRIES):
                self._names += 1
                name = f"i-{self.prefix}-{self._names}"
                self.site.store.put("servers", name, **one.directory_entry())
                self._remove_entry(name, STALE_ENTRY_S)

    def _reset_instances(self) -> None:
        one = self._rng.choice(self.instances)
        self._start(f"{one.name} resets its connections", one.reset_connections)

    def _stop_store(self) -> None:
        seconds = self._rng.uniform(0.3, 2.5)

        def run() -> None:
            self.site.store.is_down = True
            time.sleep(seconds)
            self.site.store.is_down = False

        self._start(f"store down {seconds:.1f} s", run)

    # The run and its checks.

    def run(self, length_s: float) -> SoakResult:
        """Disturb the site for some seconds and return what was violated."""
        self._began_at = time.monotonic()
        self.site.wait_ready()
        callers = [_Caller(self, self._seed, number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + length_s
        while time.monotonic() < end:
            time.sleep(self._rng.uniform(0.05, 0.6))
            self._disturb()
        for thread in self._threads:
            thread.join()
        time.sleep(1.0)
        self.is_ending = True
        for caller in callers:
            caller.join(10.0)
        calls = [call for caller in callers for call in caller.calls]
        statuses = Counter(call.status for call in calls)
        return SoakResult(self._seed, self._faults, statuses, self._check(calls))

    def _check(self, calls: Sequence[OnceCall]) -> list[str]:
        runs: dict[str, list[Run]] = {}
        for one in (*self.instances, *self._ended):
            for run in one.runs:
                runs.setdefault(run.request_id, []).append(run)
        violations = []
        for call in calls:
            found = runs.get(call.id, [])
            if call.is_non_idempotent and len(found) > 1:
                violations.append(f"TWICE {self._describe(call, found)}")
            if call.is_non_idempotent and found and call.status in NOT_RUN_STATUSES:
                violations.append(f"REFUSED {self._describe(call, found)}")
            if call.status == 200 and not call.is_correct:
                violations.append(f"MIXED {self._describe(call, found)}")
        for host in self.site.hosts:
            violations += self._check_host(host)
        return violations

    @staticmethod
    def _check_host(host: HostProcess) -> list[str]:
        """Return what the log of a host, or its end, shows of violations."""
        lines = host.log_text().splitlines()
        violations = [
            f"{host.name} logged {line}"
            for line in lines
            if any(f"event={event} " in line for event in UNEXPECTED_EVENTS)
            or "Traceback" in line
            or ("reason=grace-over" in line and "cut=0" not in line)
        ]
        if host.process.poll() is not None:
            end = "\n    ".join(lines[-5:])
            violations.append(f"{host.name} has ended by itself\n    {end}")
        return violations

    def _describe(self, call: OnceCall, runs: list[Run]) -> str:
        """Return a request's runs, and what the hosts logged of it."""
        lines = [
            f"{host.name}: {line}"
            for host in self.site.hosts
            for line in host.log_text().splitlines()
            if call.id in line
        ]
        events = [f"{run.at - self._began_at:.3f} {run.instance}" for run in runs]
        sent = f"{call.sent_at - self._began_at:.3f}"
        return "\n    ".join([f"{call} sent {sent}", *events, *lines])


def _hang_up(host: HostProcess) -> None:
    """Send a reload signal once the program runs; Python itself ends by it before."""
    while host.process.poll() is None and not _has_disposition(host.process.pid):
        time.sleep(0.002)
    host.process.send_signal(signal.SIGHUP)


def _has_disposition(pid: int) -> bool:
    """Return whether a process ignores or handles the reload signal."""
    bit = 1 << (signal.SIGHUP - 1)
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":\t", 1) for line in lines)
    return any(int(fields[name], 16) & bit for name in ("SigIgn", "SigCgt"))


def main(argv: list[str]) -> int:
    """Run each seed and return 1 if one was violated."""
    behaviours = (*BEHAVIOURS, *FLAGS.more)

    def run(seed: int) -> SoakResult:
        soak = OnceSoak(
            seed,
            [Path(folder) for folder in FLAGS.checkout],
            behaviours,
            FLAGS.program,
            FLAGS.changes_kinds,
            FLAGS.keeps_entries,
        )
        try:
            return soak.run(FLAGS.length_s)
        finally:
            soak.close()

    seeds = range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds)
    return 1 if run_seeds(seeds, run) else 0


FLAGS = flags.FLAGS

if __name__ == "__main__":
    flags.DEFINE_integer("first_seed", 1, "First seed.", 0)
    flags.DEFINE_integer("seeds", 1, "Number of seeds to run.", 1)
    flags.DEFINE_float("length_s", 15.0, "Seconds of disturbances in each run.", 1.0)
    flags.DEFINE_list("checkout", [str(ROOT)], "Checkouts of the entry hosts.")
    flags.DEFINE_string("program", PROGRAM, "Program that the entry hosts run.")
    flags.DEFINE_bool("changes_kinds", False, "Whether routes turn non-idempotent.")
    flags.DEFINE_bool("keeps_entries", False, "Whether entries of instances stay.")
    flags.DEFINE_list("more", [], "Further behaviours of instances.")
    sys.exit(app.run(main))
