"""The processes of a soak: a store, instances behind proxies, and entry hosts."""

import functools
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

from dogwoodtack.misc import Address
from dogwoodtack_standins.site import InstanceStandIn, StoreStandIn
from lab.fleet import free_ports

from .proxy import FaultProxy

if TYPE_CHECKING:
    from .organisations import Organisations

__all__ = ["HOST", "HostProcess", "Site", "SiteInstance"]

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
SERVICE = "jobs"
PROGRAM = "entryhost.py"
ZONES = ("zone-a",)
WORK_S = 0.04
READY = "event=readiness ready=True"
READY_TIMEOUT_S = 20.0
# An instance that has crashed starts again after this time.
RESTART_S = 1.5
# Instances and the operator write again this long after the store has come back from a
# copy; two seconds are allowed.
REWRITE_S = 1.5
BOUNDS = ["drainS=2", "graceS=6", "retryBudgetRatio=0.2", "budgetSlack=56"]


class SiteInstance:
    """One instance with its proxy, and the time at which its drain began.

    Attributes:
        drained_at: monotonic time at which the store accepted its drain.
        is_gone: whether its entry was removed.
        crashes: monotonic time of each crash, and the target of the request.
        born_ms: its last start in Unix milliseconds.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.backend = InstanceStandIn(name, WORK_S, zone)
        self.proxy = FaultProxy(self.backend.address)
        self.drained_at: float | None = None
        self.is_gone = False
        self.crashes: list[tuple[float, str]] = []
        self.born_ms = int(time.time() * 1000)
        self._lock = threading.Lock()
        self._is_down = False

    def crash(self, on_restart: Callable[["SiteInstance"], None], target: str) -> None:
        """Cut all connections and refuse new ones, and start again later.

        Args:
            on_restart: called with this instance when it accepts connections again.
            target: target of the request that crashes it.
        """
        with self._lock:
            if self._is_down:
                return
            self._is_down = True
        self.crashes.append((time.monotonic(), target))
        self.proxy.close()
        timer = threading.Timer(RESTART_S, self._restart, (on_restart,))
        timer.daemon = True
        timer.start()

    def _restart(self, on_restart: Callable[["SiteInstance"], None]) -> None:
        self.born_ms = int(time.time() * 1000)
        self.proxy.reopen()
        self._is_down = False
        on_restart(self)

    def directory_entry(self, state: str) -> dict[str, Any]:
        """Return its entry in the service directory, with the proxy's address."""
        entry = self.backend.directory_entry(SERVICE, state, self.born_ms)
        entry["spec"]["address"] = str(self.proxy.address)
        return entry


class HostProcess:
    """One entry host, whose process can be paused, killed and replaced.

    Attributes:
        generation: number of times that the process was started.
        disturbances: monotonic time and kind of every pause, stop and kill.
        settings_path: its settings file.
    """

    def __init__(
        self,
        name: str,
        store: Address,
        folder: Path,
        checkout: Path = ROOT,
        zone: str = ZONES[0],
        program: str = PROGRAM,
        bounds: Sequence[str] = (),
    ) -> None:
        caller_port, self.ready_port, self.directory_port, low, high = free_ports(5)
        self.name = name
        self.checkout = checkout
        self._program = program
        self.port = caller_port
        self.relay_port = high
        self.generation = 0
        self.disturbances: list[tuple[float, str]] = []
        self.lock = threading.Lock()
        self._log_path = folder / f"{name}.log"
        self.settings_path = folder / f"{name}.toml"
        address = "127.0.0.1"
        lines = [
            f'node = "{name}"\nzone = "{zone}"',
            f"internalPortRange = [{low},{high}]",
            f"bounds = {json.dumps([*(bounds or BOUNDS)])}",
            f'[listen]\nfront = "{address}:{caller_port}"',
            f'ready = "{address}:{self.ready_port}"',
            f'directory = "{address}:{self.directory_port}"',
            "[limits]\ncpuShare = 0.86\ncores = 1\nlinkMbps = 1000.0",
            f'[platform]\naddress = "{store}"',
        ]
        self.settings_path.write_text("\n".join(lines))
        self.start()

    def start(self) -> None:
        """Start a new process without any state."""
        self._log_start = len(self.log_text()) if self._log_path.exists() else 0
        env = {
            **os.environ,
            "DOGWOODTACK_SETTINGS": str(self.settings_path),
            "PYTHONPATH": str(self.checkout),
        }
        log_file = open(self._log_path, "a")
        self.process = subprocess.Popen(
            [sys.executable, self._program],
            cwd=self.checkout,
            env=env,
            stdout=log_file,
            stderr=subprocess.STDOUT,
        )
        log_file.close()
        self.generation += 1

    def record_disturbance(self, description: str) -> None:
        """Record the time of a signal to the process or of its end."""
        self.disturbances.append((time.monotonic(), description))

    def pause(self, seconds: float) -> None:
        """Suspend the process for a number of seconds, like a suspended machine."""
        self.record_disturbance("pause")
        self.process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)
        self.record_disturbance("resume")

    def kill(self) -> None:
        """Kill the process and start a new one."""
        self.record_disturbance("kill")
        self.process.kill()
        self.process.wait()
        self.start()

    @property
    def is_serving(self) -> bool:
        """Return whether the running process has logged that it is ready."""
        return READY in self.log_text()[self._log_start :]

    def replace(self) -> int | None:
        """Stop the process in the planned way and start a new one.

        Returns:
            the exit code; None for a process that was not ready yet, which the signal
            may end before its handler is installed.
        """
        was_serving = self.is_serving
        self.record_disturbance("term")
        self.process.terminate()
        try:
            code = self.process.wait(7.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
        self.record_disturbance("gone")
        self.start()
        return code if was_serving else None

    def log_text(self) -> str:
        """Return the log of all processes of this host."""
        return self._log_path.read_text()


class Site:
    """Store, instances and entry hosts of a soak.

    Args:
        hosts: number of entry hosts to start.
        instances: number of instances to start.
        checkouts: checkouts whose code the entry hosts run, assigned in rotation.
        zones: zones of the entry hosts, assigned in rotation.
        program: program that the entry hosts run.
        instance_zones: zones of the instances, assigned in rotation.
        bounds: bounds in the hosts' settings; BOUNDS by default.
        organisations: organisations whose keys callers need; None if they need none.

    Attributes:
        store_proxies: for each host, the proxy between it and the store.
        lethal_targets: requests for these crash the instances that run them.
    """

    def __init__(
        self,
        hosts: int,
        instances: int,
        checkouts: Sequence[Path] = (ROOT,),
        zones: Sequence[str] = ZONES,
        program: str = PROGRAM,
        instance_zones: Sequence[str] = ZONES,
        bounds: Sequence[str] = (),
        organisations: "Organisations | None" = None,
    ) -> None:
        self.organisations = organisations
        self._instance_zones = instance_zones
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        self.store = StoreStandIn()
        # Held while the store is away, when nothing can be written.
        self._write_lock = threading.RLock()
        self.version = 1
        self.lethal_targets: set[str] = set()
        self.instances: list[SiteInstance] = []
        for _ in range(instances):
            self.add_instance()
        self.set_version(1)
        self.store_proxies = [FaultProxy(self.store.address) for _ in range(hosts)]
        self.hosts = [
            HostProcess(
                f"host-{n}",
                self.store_proxies[n].address,
                folder,
                checkouts[n % len(checkouts)],
                zones[n % len(zones)],
                program,
                bounds,
            )
            for n in range(hosts)
        ]

    def close(self) -> None:
        """Stop all processes and servers."""
        for host in self.hosts:
            host.process.kill()
            host.process.wait()
        for proxy in self.store_proxies:
            proxy.close()
        for one in self.instances:
            one.proxy.close()
            one.backend.close()
        self.store.close()
        self._folder.cleanup()

    def wait_ready(self) -> None:
        """Wait until all hosts are serving.

        Raises:
            RuntimeError: one is not in time; the message has its log.
        """
        end = time.monotonic() + READY_TIMEOUT_S
        for host in self.hosts:
            while not host.is_serving:
                if time.monotonic() > end:
                    state = f"exit code {host.process.poll()}"
                    raise RuntimeError(
                        f"{host.name} is not ready, {state}: {host.log_text()}"
                    )
                time.sleep(0.05)

    def add_instance(self) -> SiteInstance:
        """Start an instance, add it to the service directory and return it."""
        number = len(self.instances)
        zone = self._instance_zones[number % len(self._instance_zones)]
        one = SiteInstance(f"i-{number}", zone)
        one.backend.lethal_targets = self.lethal_targets
        one.backend.on_crash = functools.partial(one.crash, self._on_restart)
        with self._write_lock:
            self.instances.append(one)
            self._write_entry(one)
        return one

    def _on_restart(self, one: SiteInstance) -> None:
        with self._write_lock:
            if not one.is_gone:
                self._write_entry(one)

    def _write_entry(self, one: SiteInstance) -> None:
        state = "ready" if one.drained_at is None else "draining"
        self.store.put("servers", one.backend.name, **one.directory_entry(state))

    def active_instances(self) -> list[SiteInstance]:
        """Return the instances that are neither draining nor gone."""
        return [
            one for one in self.instances if one.drained_at is None and not one.is_gone
        ]

    def drain(self, one: SiteInstance) -> None:
        """Mark an instance as draining in the service directory."""
        with self._write_lock:
            one.drained_at = time.monotonic()
            self._write_entry(one)

    def remove(self, one: SiteInstance) -> None:
        """Remove an instance's entry; the instance still answers for a while."""
        with self._write_lock:
            self.store.delete("servers", one.backend.name)
            one.is_gone = True

    def drill(self, away_s: float, copy_age_s: float) -> None:
        """Let the store come back from an older copy, and write again what it lacks.

        Returns once the operator and the instances have written.
        """
        with self._write_lock:
            self.store.drill(away_s, copy_age_s)
        time.sleep(REWRITE_S)
        with self._write_lock:
            self._write_again()

    def _write_again(self) -> None:
        self._write_version()
        listed = set(self.store.names("servers"))
        for one in self.instances:
            if not one.is_gone:
                self._write_entry(one)
            elif one.backend.name in listed:
                # Nobody renews the entry, so that it expires.
                self.store.delete("servers", one.backend.name)

    def set_version(self, version: int) -> None:
        """Write a configuration version; each has a route that no other version has."""
        with self._write_lock:
            self.version = version
            self._write_version()

    def raise_version(
        self, steps: int = 1, change: Callable[[], None] = lambda: None
    ) -> None:
        """Make a change and write a later version, also while others are written."""
        with self._write_lock:
            change()
            self.set_version(self.version + steps)

    def _write_version(self) -> None:
        base_route = {
            "host": HOST,
            "timeoutS": 2,
            "targetLatencyS": 0.8,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
        }
        routes = {
            "look": {**base_route, "pathPrefix": "/look/", "kind": "safe"},
            "book": {**base_route, "pathPrefix": "/book/", "kind": "unsafe"},
            "own": {**base_route, "pathPrefix": f"/v{self.version}/", "kind": "safe"},
        }
        rules = {"healthCheckPath": "/health", "maxConnections": 100}
        spec = {
            "version": f"{self.version:08x}",
            "routes": routes,
            "services": {SERVICE: rules},
            "limits": {"idleTimeoutS": 15, "headerTimeoutS": 3},
        }
        if self.organisations is not None:
            for name in ("look", "own"):
                routes[name]["allowAnonymous"] = True
            routes["file"] = {
                **base_route,
                "pathPrefix": "/file/",
                "kind": "upload",
                "timeoutS": 3,
            }
            spec["tenants"] = self.organisations.as_tenants()
        self.store.put("config", "main", spec=spec)
