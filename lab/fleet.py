"""Start and stop stand-ins and entry hosts as separate processes on loopback.

Only this launcher starts processes; the daemon starts none.
"""

import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from dogwoodtack.control import ACCESS_HEADER
from dogwoodtack.misc import Address

__all__ = ["HttpResponse", "Fleet", "NodeInfo", "free_ports", "http_call"]

ACCESS_KEY = "loopback-only-key"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_S = 0.02
FIRST_PORT = 10_000
LAST_PORT = 32_000
BLOCK_PORTS = 100


class HttpResponse(NamedTuple):
    """An HTTP response; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded as JSON."""
        return json.loads(self.body)


class NodeInfo(NamedTuple):
    """Name, zone and addresses of an entry host."""

    name: str
    zone: str
    caller: Address
    peer: Address
    operator: Address


_blocks = itertools.cycle(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
_block_claims: list[socket.socket] = []
_block_ports: list[int] = []


def _claim_block() -> None:
    """Claim a block of ports for the lifetime of this process.

    The claim is a socket bound to the first port of the block.  Without it, concurrent
    test runs could find the same port free before either listens on it.
    """
    for first in _blocks:
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        _block_claims.append(claim)
        _block_ports.extend(range(first + 1, first + BLOCK_PORTS))
        return


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on; no port is returned twice.

    They lie below the ephemeral port range: a free port in that range can be taken by
    an outgoing connection before the new process listens on it.
    """
    found: list[int] = []
    while len(found) < count:
        if not _block_ports:
            _claim_block()
        port = _block_ports.pop(0)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


def http_call(
    address: Address,
    method: str,
    target: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> HttpResponse:
    """Make one HTTP call on a new connection."""
    conn = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        conn.request(method, target, body=body, headers=headers or {})
        resp = conn.getresponse()
        data = resp.read()
        response_headers = {key.lower(): value for key, value in resp.getheaders()}
        return HttpResponse(resp.status, response_headers, data)
    finally:
        conn.close()


class Fleet:
    """The processes of one run; use it as a context manager.

    Args:
        settings: values added to the settings of each entry host, by section and key.
        checkouts: by process name, the path of another checkout whose code it runs.
    """

    def __init__(
        self,
        settings: dict[str, dict[str, Any]] | None = None,
        checkouts: dict[str, Path] | None = None,
    ) -> None:
        self._extra_settings = settings or {}
        self._checkouts = checkouts or {}
        self._dir = tempfile.TemporaryDirectory(prefix="dogwoodtack-")
        self.path = Path(self._dir.name)
        self.procs: dict[str, subprocess.Popen] = {}
        self.nodes: list[NodeInfo] = []
        self.backends: dict[str, Address] = {}
        self.platform: Address | None = None

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill all processes and remove their files."""
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs.values():
            proc.wait(STOP_TIMEOUT_S)
        self._dir.cleanup()

    def _spawn(self, name: str, module: str, *args: str) -> None:
        log = open(self.path / f"{name}.log", "ab")
        env = dict(os.environ, PYTHONUNBUFFERED="1")
        cmd = [sys.executable, "-m", module, *args]
        self.procs[name] = subprocess.Popen(
            cmd,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env=env,
            cwd=self._checkouts.get(name),
        )
        log.close()

    def log_text(self, name: str) -> str:
        """Return the log of a process."""
        return (self.path / f"{name}.log").read_text()

    def start_platform(self) -> Address:
        """Start the platform stand-in."""
        self.platform = Address("127.0.0.1", free_ports(1)[0])
        self._spawn(
            "platform", "dogwoodtack_standins.platform", f"--address={self.platform}"
        )
        self.wait_port("platform", self.platform)
        return self.platform

    def start_backend(self, name: str, **flags: Any) -> Address:
        """Start a back end stand-in and wait until it listens.

        Args:
            flags: flags of the stand-in's command.
        """
        address = Address("127.0.0.1", free_ports(1)[0])
        args = [f"--{key}={value}" for key, value in flags.items()]
        journal = self.path / f"{name}.journal"
        self._spawn(
            name,
            "dogwoodtack_standins.backend",
            f"--listen={address}",
            f"--name={name}",
            f"--journal={journal}",
            *args,
        )
        self.backends[name] = address
        self.wait_port(name, address)
        return address

    def journal(self, name: str) -> list[dict[str, Any]]:
        """Return the requests that a back end has executed."""
        path = self.path / f"{name}.journal"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def start_nodes(self, count: int, zones: int = 3) -> list[NodeInfo]:
        """Start entry hosts with each other's peer addresses as seeds, and wait."""
        first = len(self.nodes)
        ports = free_ports(3 * count)
        added = []
        for index in range(count):
            caller, peer, operator = (
                Address("127.0.0.1", port) for port in ports[3 * index : 3 * index + 3]
            )
            number = first + index
            zone = f"zone-{'abcdefgh'[number % zones]}"
            added.append(NodeInfo(f"entry-{number}", zone, caller, peer, operator))
        self.nodes.extend(added)
        for node in added:
            self.spawn_node(node)
        for node in added:
            self.wait_node(node)
        return added

    def wait_node(self, node: NodeInfo) -> None:
        """Wait until an entry host accepts connections on each of its ports."""
        for address in (node.caller, node.peer, node.operator):
            self.wait_port(node.name, address)

    def spawn_node(self, node: NodeInfo) -> None:
        """Start the process of an entry host, also to replace one that has ended."""
        path = self.path / f"{node.name}.ini"
        path.write_text(self._ini(node))
        self._spawn(node.name, "dogwoodtack.daemon", f"--config={path}")

    def _ini(self, node: NodeInfo) -> str:
        sections: dict[str, dict[str, Any]] = {
            "node": {
                "name": node.name,
                "zone": node.zone,
                "caller_address": node.caller,
                "peer_address": node.peer,
                "operator_address": node.operator,
            },
            "peers": {
                "seeds": " ".join(str(one.peer) for one in self.nodes if one != node),
                "access_key": ACCESS_KEY,
            },
            "operators": {"access_key": ACCESS_KEY},
            "store": {"address": self.platform},
            "callers": {"discovery_ttl_s": 1},
        }
        for section, values in self._extra_settings.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines.extend(f"{key} = {value}" for key, value in values.items())
        return "\n".join(lines) + "\n"

    def wait_port(self, name: str, address: Address) -> None:
        """Wait until a process accepts connections at an address.

        Raises:
            RuntimeError: the process ended.
            TimeoutError: it did not listen in time.
        """

        def is_open() -> bool:
            if self.procs[name].poll() is not None:
                raise RuntimeError(f"{name} exited: {self.log_text(name)[-2000:]}")
            try:
                socket.create_connection(address, timeout=1).close()
            except OSError:
                return False
            return True

        self.wait_until(is_open, f"{name} listens")

    @staticmethod
    def wait_until(check: Any, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until a check returns true.

        Raises:
            TimeoutError: it did not within the timeout.
        """
        end = time.monotonic() + timeout_s
        while not check():
            if time.monotonic() > end:
                raise TimeoutError(what)
            time.sleep(POLL_S)

    def signal(self, name: str, signo: int) -> None:
        """Send a signal to one process of this run."""
        self.procs[name].send_signal(signo)

    def wait_exit(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a process exits and return its exit code."""
        return self.procs[name].wait(timeout_s)

    def operator(
        self, node: NodeInfo, method: str, target: str, body: Any = None
    ) -> HttpResponse:
        """Make a call to the operator port of an entry host."""
        data = None if body is None else json.dumps(body).encode()
        headers = {ACCESS_HEADER: ACCESS_KEY}
        return http_call(node.operator, method, target, data, headers)

    def set_backend_fault(self, name: str, **fault: Any) -> None:
        """Set the fault of a back end; without arguments, clear it."""
        data = json.dumps(fault).encode()
        http_call(self.backends[name], "PUT", "/test/fault", data)

    def backend_counts(self, name: str) -> dict[str, int]:
        """Return the request counters of a back end."""
        return http_call(self.backends[name], "GET", "/test/counts").json()

    def drain_backend(self, name: str) -> None:
        """Make a back end refuse new requests and announce that it is draining."""
        http_call(self.backends[name], "PUT", "/test/drain")

    def set_platform_fault(self, **fault: Any) -> None:
        """Set the fault of the platform; without arguments, clear it."""
        data = json.dumps(fault).encode()
        http_call(self.platform, "PUT", "/test/fault", data)

    def put_object(self, kind: str, name: str, value: Any, if_version: int = 0) -> int:
        """Write an object to the platform and return its new version.

        Raises:
            RuntimeError: the platform refused the write.
        """
        data = json.dumps({"value": value, "if_version": if_version}).encode()
        answer = http_call(self.platform, "PUT", f"/objects/{kind}/{name}", data)
        if answer.status != 200:
            raise RuntimeError(f"{answer.status} {answer.body!r}")
        return answer.json()["version"]

    def service_value(self, host: str, **fields: Any) -> dict[str, Any]:
        """Return a service definition with all back ends of this run."""
        value = {
            "routes": [{"host": host, "prefix": "/"}],
            "instances": [
                {"name": name, "address": str(address), "zone": "zone-a", "slots": 2}
                for name, address in self.backends.items()
            ],
        }
        value.update(fields)
        return value

    def wait_service(self, name: str, version: int) -> None:
        """Wait until every running entry host is synced and has a service's version."""

        def is_applied() -> bool:
            for node in self.nodes:
                if self.procs[node.name].poll() is not None:
                    continue
                status = self.operator(node, "GET", "/status").json()
                is_synced = status["config"]["is_synced"]
                if not is_synced or status["services"].get(name, 0) < version:
                    return False
            return True

        self.wait_until(is_applied, f"version {version} of {name} on every entry host")
