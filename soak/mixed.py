"""Check that entry hosts of an older checkout work together with this tree's.

`python -m soak.mixed --old=CHECKOUT` covers both kinds of entry host: those on the
platform's store, and daemons with their own membership.  It also reads what the
older code wrote: settings, plans, stored objects and logs.
"""

import json
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from absl import app, flags

from dogwoodtack.misc import Address
from lab.fleet import ACCESS_KEY, Fleet, NodeInfo, http_call

from .callers import Call, Caller
from .site import HOST, HostProcess, Site

__all__ = ["Report", "run_daemons", "run_platform"]

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
SERVE_S = 3.0
# Long enough for a change to reach every host.
SETTLE_S = 3.0
EJECTION_TIMEOUT_S = 30.0
CALLERS = 6
SERVICE = "jobtrack"
SITE_NAME = "jobtrack.example"
# Log events of a message or an object that could not be decoded.
UNREADABLE = (
    "accusation-refuted",
    "callback-failed",
    "configuration-unusable",
    "datagram-unusable",
    "evidence-refused",
    "host-record-unusable",
    "instance-entry-unusable",
    "relay-unusable",
    "relayed-instance-unusable",
    "request-failed",
    "service-unreadable",
    "view-failed",
)


class Report:
    """Prints checks and counts those that failed."""

    def __init__(self) -> None:
        self.failed = 0

    def check(self, name: str, holds: bool, detail: object = "") -> None:
        """Print the result of a check and count a failure."""
        self.failed += not holds
        print(f"{'ok' if holds else 'FAILED'}: {name} {detail}".rstrip(), flush=True)

    def check_logs(self, name: str, text: str) -> None:
        """Check that a host could decode all messages and objects."""
        found = [event for event in UNREADABLE if f"event={event} " in f"{text} "]
        self.check(f"{name} decodes every message", not found, found or "")


def run_tool(checkout: Path, *args: str) -> subprocess.CompletedProcess[str]:
    """Run the operators' tool of a checkout."""
    cmd = [sys.executable, "-m", "dogwoodtack.cmdline", *args]
    return subprocess.run(cmd, cwd=checkout, capture_output=True, text=True)


def wait_until(check: Any, timeout_s: float) -> bool:
    """Wait until a check returns true and return whether it did within the timeout."""
    end = time.monotonic() + timeout_s
    while not check():
        if time.monotonic() > end:
            return False
        time.sleep(0.05)
    return True


def run_platform(old: Path, report: Report) -> None:
    """Run an entry host of each checkout in one zone, on the platform's store."""
    site = Site(2, 4, (old, ROOT))
    try:
        for host in site.hosts:
            ready = wait_until(lambda host=host: host.is_serving, START_TIMEOUT_S)
            report.check(f"{host.name} of {host.checkout} is ready", ready)
        callers = [Caller(site, 1, number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        _serve_platform(site, report)
        for caller in callers:
            caller.is_stopping = True
        for caller in callers:
            caller.join(10.0)
        _check_calls(
            site, [call for caller in callers for call in caller.calls], report
        )
        _check_traces(site, report)
        for host in site.hosts:
            report.check_logs(f"{host.name} of {host.checkout}", host.log_text())
    finally:
        site.close()


def _serve_platform(site: Site, report: Report) -> None:
    time.sleep(SERVE_S)
    site.set_version(2)
    for host in site.hosts:
        served = wait_until(lambda host=host: _serves(host, "/v2/"), SETTLE_S)
        report.check(f"{host.name} serves the new configuration", served)
    leaving = site.instances[0]
    site.drain(leaving)
    time.sleep(SETTLE_S)
    before = leaving.backend.arrived
    time.sleep(SERVE_S)
    after = leaving.backend.arrived
    report.check("a draining instance gets no new requests", after == before)
    for host in site.hosts:
        code = host.replace()
        report.check(
            f"{host.name} stops cleanly beside the other host", code == 0, code
        )
        ready = wait_until(lambda host=host: host.is_serving, START_TIMEOUT_S)
        report.check(f"{host.name} is ready again", ready)
        time.sleep(SERVE_S)


def _serves(host: HostProcess, target: str) -> bool:
    headers = {"Host": HOST, "X-Dogwoodtack-Request-Id": "f" * 16}
    answer = http_call(Address("127.0.0.1", host.port), "GET", target, headers=headers)
    return answer.status == 200


def _check_calls(site: Site, calls: list[Call], report: Report) -> None:
    runs = Counter(run.request_id for one in site.instances for run in one.backend.ran)
    statuses = Counter((call.host, call.status) for call in calls)
    for host in site.hosts:
        report.check(f"{host.name} served callers", statuses[host.name, 200] > 0)
    failed = [call for call in calls if call.status not in (200, -1)]
    report.check(
        "every request that reaches a host succeeds", not failed, dict(statuses)
    )
    twice = [call.id for call in calls if call.is_non_idempotent and runs[call.id] > 1]
    report.check("no non-idempotent request runs twice", not twice, twice or "")
    wrong = [call.id for call in calls if call.status == 200 and not call.is_correct]
    report.check("every response belongs to its request", not wrong, wrong or "")


def _check_traces(site: Site, report: Report) -> None:
    """Read each host's log with the tools of both checkouts."""
    checkouts = [host.checkout for host in site.hosts]
    with tempfile.TemporaryDirectory() as folder:
        for host in site.hosts:
            log = Path(folder) / f"{host.name}.log"
            log.write_text(host.log_text())
            lines = [line for line in host.log_text().splitlines() if " id=" in line]
            request_id = lines[-1].split(" id=")[1].split()[0]
            for checkout in checkouts:
                result = run_tool(checkout, "trace", request_id, str(log))
                name = f"trace of {checkout} reads the log of {host.name}"
                report.check(name, result.returncode == 0, result.stderr)


def run_daemons(old: Path, report: Report) -> None:
    """Run daemons of both checkouts in one fleet."""
    old_names = ("entry-0", "entry-2")
    with Fleet(checkouts=dict.fromkeys(old_names, old)) as fleet:
        fleet.start_platform()
        for number in range(4):
            fleet.start_backend(f"jt-{number}", work_ms=2)
        nodes = fleet.start_nodes(4, zones=2)
        fleet.wait_until(
            lambda: _all_alive(fleet, nodes), "every host sees all others alive"
        )
        report.check("every host sees every other alive", True)
        _check_plans(fleet, old, report)
        _check_service(fleet, nodes, report)
        _check_ejection(fleet, nodes, report)
        _check_drain(fleet, nodes, report)
        for node in nodes:
            report.check_logs(node.name, fleet.log_text(node.name))
        _check_stops(fleet, nodes, report)


def _status(fleet: Fleet, node: NodeInfo) -> Any:
    return fleet.operator(node, "GET", "/status").json()


def _all_alive(fleet: Fleet, nodes: list[NodeInfo]) -> bool:
    names = {node.name for node in nodes}
    for node in nodes:
        members = _status(fleet, node)["members"]
        if {one["name"] for one in members if one["state"] == "alive"} != names:
            return False
    return True


def _check_plans(fleet: Fleet, old: Path, report: Report) -> None:
    """Submit a plan with one checkout's tool and host, and confirm with the other's."""
    tool_pairs = ((old, ROOT, 0, 1), (ROOT, old, 1, 0))
    for number, (submits, confirms, submit_index, confirm_index) in enumerate(
        tool_pairs
    ):
        value = fleet.service_value(SITE_NAME, floor=1 + number, caution=0)
        intent = {"kind": "define-service", "service": SERVICE, **value}
        path = fleet.path / f"intent-{number}.json"
        path.write_text(json.dumps(intent))
        common = [f"--access_key={ACCESS_KEY}", f"--plans_dir={fleet.path}", "--json"]
        submit_address, confirm_address = (
            f"--addresses={fleet.nodes[index].operator}"
            for index in (submit_index, confirm_index)
        )
        result = run_tool(submits, "submit", str(path), submit_address, *common)
        report.check(f"submit of {submits}", result.returncode == 0, result.stderr)
        plan_id = json.loads(result.stdout)["plan_id"]
        result = run_tool(
            confirms, "confirm", plan_id, "--yes", confirm_address, *common
        )
        report.check(f"confirm of {confirms}", result.returncode == 0, result.stderr)
        fleet.wait_service(SERVICE, json.loads(result.stdout)["version"])


def _check_service(fleet: Fleet, nodes: list[NodeInfo], report: Report) -> None:
    """Send idempotent requests to each host, and each host's key to all hosts."""
    host = {"Host": SITE_NAME}
    for node in nodes:
        statuses = {
            http_call(node.caller, "GET", "/racks", headers=host).status
            for _ in range(20)
        }
        report.check(f"{node.name} serves", statuses == {200}, statuses)
    for index, node in enumerate(nodes):
        target = f"/.well-known/dogwoodtack/services/{SERVICE}"
        prefix = http_call(node.caller, "GET", target).json()["key_prefix"]
        headers = {**host, "Idempotency-Key": f"{prefix}mixed-{index}"}
        bodies = {
            http_call(one.caller, "POST", f"/r/{index}", b"1", headers).body
            for one in [*nodes[index:], *nodes[:index]]
        }
        runs = sum(
            run["target"] == f"/r/{index}"
            for name in fleet.backends
            for run in fleet.journal(name)
        )
        report.check(f"a key of {node.name} runs once at all hosts", runs == 1, runs)
        report.check(
            f"a key of {node.name} gets one response", len(bodies) == 1, bodies
        )


def _check_ejection(fleet: Fleet, nodes: list[NodeInfo], report: Report) -> None:
    """Let an instance fail: every host ejects it by the samples of all hosts."""
    fleet.set_backend_fault("jt-3", error_ratio=1.0)
    host = {"Host": SITE_NAME}

    def is_ejected_everywhere() -> bool:
        for node in nodes:
            http_call(node.caller, "GET", "/racks", headers=host)
        found = [fleet.operator(node, "GET", "/floor").json() for node in nodes]
        return all("jt-3" in one["services"][SERVICE]["ejected"] for one in found)

    ejected = wait_until(is_ejected_everywhere, EJECTION_TIMEOUT_S)
    report.check("a failing instance is ejected at every host", ejected)
    fleet.set_backend_fault("jt-3")


def _check_drain(fleet: Fleet, nodes: list[NodeInfo], report: Report) -> None:
    fleet.drain_backend("jt-2")
    host = {"Host": SITE_NAME}

    def call_all() -> None:
        for node in nodes:
            for _ in range(10):
                http_call(node.caller, "GET", "/racks", headers=host)

    call_all()
    time.sleep(SETTLE_S + 2.0)
    before = fleet.backend_counts("jt-2")["arrived"]
    call_all()
    after = fleet.backend_counts("jt-2")["arrived"]
    report.check("a draining back end gets no new requests", after == before)


def _check_stops(fleet: Fleet, nodes: list[NodeInfo], report: Report) -> None:
    """Stop a host of each version and check that the others remove it and serve."""
    host = {"Host": SITE_NAME}
    remaining = list(nodes)
    for node in (nodes[0], nodes[1]):
        remaining.remove(node)
        fleet.signal(node.name, 15)
        code = fleet.wait_exit(node.name)
        report.check(f"{node.name} stops", code == 0, code)
        is_removed = wait_until(lambda: _all_alive(fleet, remaining), START_TIMEOUT_S)
        report.check(f"the other hosts remove {node.name}", is_removed)
        for one in remaining:
            answer = http_call(one.caller, "GET", "/racks", headers=host)
            report.check(f"{one.name} still serves", answer.status == 200)


def main(argv: list[str]) -> int:
    """Run both fleets and return 1 if a check failed."""
    old = Path(FLAGS.old).resolve()
    if not (old / "entryhost.py").exists():
        print(f"--old: {old} is not a dogwoodtack checkout", file=sys.stderr)
        return 2
    report = Report()
    run_platform(old, report)
    run_daemons(old, report)
    print(f"{report.failed} checks failed")
    return 1 if report.failed else 0


FLAGS = flags.FLAGS

if __name__ == "__main__":
    flags.DEFINE_string("old", None, "Path of the older checkout.", required=True)
    sys.exit(app.run(main))
