"""Demonstration: start stand-ins and entry hosts, confirm an intent, serve requests.

Every command and response is printed.
"""

import json
import subprocess
import sys
import time
from typing import Any

from absl import app, flags

from dogwoodtack.misc import new_token

from .fleet import ACCESS_KEY, Fleet, HttpResponse, http_call

__all__ = ["Demo"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("hosts", 3, "Number of entry hosts.")
flags.DEFINE_integer("backends", 4, "Number of back ends.")

SITE = "jobtrack.example"
DISCOVERY = "/.well-known/dogwoodtack/services/jobtrack"
IDEMPOTENT_REQUESTS = 60
EJECTION_TIMEOUT_S = 20.0


class Demo:
    """One run of the demonstration."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def run(self) -> int:
        """Run every step and return the exit code."""
        self._start()
        self._define_service()
        answer = self._send_release()
        self._eject_gray_backend()
        self._drain_backend()
        self._run_tool("burn")
        return 0 if answer.status == 200 else 1

    def _print_step(self, text: str) -> None:
        print(f"\n# {text}", flush=True)

    def _start(self) -> None:
        self._print_step(
            f"platform, {FLAGS.backends} back ends, {FLAGS.hosts} entry hosts"
        )
        self._fleet.start_platform()
        for number in range(1, FLAGS.backends + 1):
            address = self._fleet.start_backend(f"jt-{number}", work_ms=5)
            print(f"back end jt-{number} at {address}")
        for node in self._fleet.start_nodes(FLAGS.hosts):
            print(f"{node.name} in {node.zone}: callers at {node.caller}")

    def _run_tool(self, *args: str, stdin: str = "") -> str:
        """Run the operators' tool, print its output and return its stdout."""
        print(f"$ dogwoodtack {' '.join(args)}", flush=True)
        addresses = ",".join(str(node.operator) for node in self._fleet.nodes)
        cmd = [sys.executable, "-m", "dogwoodtack.cmdline", *args]
        cmd += [f"--addresses={addresses}", f"--access_key={ACCESS_KEY}"]
        cmd += [f"--plans_dir={self._fleet.path / 'plans'}"]
        result = subprocess.run(cmd, input=stdin, capture_output=True, text=True)
        print(result.stdout + result.stderr, end="", flush=True)
        return result.stdout

    def _define_service(self) -> None:
        self._print_step("an operator defines a service; the plan is confirmed")
        floor = FLAGS.backends - 1
        value = self._fleet.service_value(SITE, floor=floor, caution=0.1)
        intent = {"kind": "define-service", "service": "jobtrack", **value}
        plan = self._run_tool("submit", "-", stdin=json.dumps(intent))
        plan_id = plan.split()[1].rstrip(":")
        self._run_tool("confirm", plan_id, "--yes")
        self._fleet.wait_service("jobtrack", 1)

    def _call(self, method: str, target: str, **headers: str) -> HttpResponse:
        """Send a caller's request and print the response."""
        request_headers = {
            key.replace("_", "-"): value for key, value in headers.items()
        }
        node = self._fleet.nodes[0]
        body = b"release" if method == "POST" else None
        answer = http_call(
            node.caller, method, target, body, {"Host": SITE, **request_headers}
        )
        shown_headers = {
            key: value
            for key, value in answer.headers.items()
            if key.startswith("x-dogwoodtack") or key == "retry-after"
        }
        print(f"{method} {target} -> {answer.status} {shown_headers}")
        print(f"  {answer.body.decode().strip()}", flush=True)
        return answer

    def _send_release(self) -> HttpResponse:
        self._print_step("a caller resolves the service's addresses and reads a rack")
        found: Any = self._call("GET", DISCOVERY).json()
        self._call("GET", "/racks/7")
        self._print_step("a batch release, sent twice with the same key, runs once")
        key = found["key_prefix"] + new_token()
        first = self._call("POST", "/releases/41", Idempotency_Key=key)
        self._call("POST", "/releases/41", Idempotency_Key=key)
        runs = [
            line
            for name in self._fleet.backends
            for line in self._fleet.journal(name)
            if line["key"] == key
        ]
        print(f"executions in the back ends' journals: {len(runs)}")
        return first

    def _send_idempotent_requests(self) -> None:
        statuses: dict[int, int] = {}
        for number in range(IDEMPOTENT_REQUESTS):
            node = self._fleet.nodes[number % len(self._fleet.nodes)]
            answer = http_call(node.caller, "GET", "/racks", None, {"Host": SITE})
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
        print(
            f"statuses of {IDEMPOTENT_REQUESTS} idempotent requests: {statuses}",
            flush=True,
        )

    def _eject_gray_backend(self) -> None:
        self._print_step(
            "jt-1 cuts every response while its health endpoint reports it healthy"
        )
        self._fleet.set_backend_fault("jt-1", cut_ratio=1.0)
        started_at = time.monotonic()
        while (
            not self._is_ejected()
            and time.monotonic() < started_at + EJECTION_TIMEOUT_S
        ):
            self._send_idempotent_requests()
        print(f"{time.monotonic() - started_at:.1f} s after the fault began:")
        self._run_tool("explain", "instance", "jobtrack", "jt-1")
        self._fleet.set_backend_fault("jt-1")

    def _is_ejected(self) -> bool:
        node = self._fleet.nodes[0]
        target = "/explain/instance/jobtrack/jt-1"
        explanation = self._fleet.operator(node, "GET", target).json()
        return explanation["ejected_for_s"] is not None

    def _drain_backend(self) -> None:
        self._print_step("jt-2 announces that it is draining")
        self._fleet.drain_backend("jt-2")
        self._send_idempotent_requests()
        before = self._fleet.backend_counts("jt-2")["arrived"]
        self._send_idempotent_requests()
        after = self._fleet.backend_counts("jt-2")["arrived"]
        print(f"requests that reached jt-2 in the second round: {after - before}")


def main(argv: list[str]) -> int:
    """Run the demonstration."""
    with Fleet() as fleet:
        return Demo(fleet).run()


if __name__ == "__main__":
    app.run(main)
