"""Record concurrent runs with retried idempotency keys under faults, and check them.

python -m lab.keys_run --seeds=5 --requests=200
"""

import enum
import random
import signal
from collections import Counter
from functools import partial
from typing import NamedTuple

from absl import app, flags

from .callers import Callers, Copy, ScheduledAction, plan_copies
from .fleet import Fleet, NodeInfo, http_call
from .history import Finding, History, check, read_executions, read_logged_outcomes

__all__ = ["Scenario", "RunResult", "build_fleet", "record", "run_scenario"]

HOST = "jobtrack.example"
DISCOVERY = "/.well-known/dogwoodtack/services/jobtrack"
NODES = 5
BACKENDS = 4
SEND_PERIOD_S = 3.0
# The slots carry 40 requests a second, so that 200 in the send period exceed them and
# some are rejected, also on a busy machine.
WORK_MS = 200
TIMEOUT_MS = 1500
SETTLE_TIME_S = 2.0
BACKEND_FAULT = {
    "hang_ratio": 0.1,
    "cut_ratio": 0.1,
    "error_ratio": 0.1,
    "over_ratio": 0.1,
}

FLAGS = flags.FLAGS


class Scenario(enum.StrEnum):
    """The faults of a run."""

    NO_FAULT = "calm"
    UNHEALTHY_BACKENDS = "sick-backends"
    PAUSED_HOST = "paused-host"
    KILLED_HOST = "killed-host"
    REPLACED_HOST = "replaced-host"
    STOPPED_HOST = "stopped-host"
    STORE_DOWN = "store-down"
    ALL_AT_ONCE = "all-at-once"


class RunResult(NamedTuple):
    """Counts and findings of one run.

    Attributes:
        outcomes: number of copies by outcome; empty for no complete response.
        executions: number of executions at back ends.
        handed_over: number of keys handed over from their owner to another host.
        findings: contradictions in the recorded history.
    """

    copies: int
    outcomes: Counter[str]
    executions: int
    handed_over: int
    findings: list[Finding]


def build_fleet(fleet: Fleet) -> None:
    """Start a platform, back ends with short queues, and entry hosts."""
    fleet.start_platform()
    for number in range(BACKENDS):
        fleet.start_backend(f"jt-{number}", work_ms=WORK_MS, slots=2, queue=1)
    fleet.start_nodes(NODES)
    route = {"host": HOST, "prefix": "/", "timeout_ms": TIMEOUT_MS}
    value = fleet.service_value(HOST, routes=[route])
    fleet.wait_service("jobtrack", fleet.put_object("service", "jobtrack", value))
    fleet.wait_until(partial(_all_hosts_known, fleet), "every host lists every other")


def _all_hosts_known(fleet: Fleet) -> bool:
    return all(len(_discover(node)["addresses"]) == NODES for node in fleet.nodes)


def _discover(node: NodeInfo) -> dict:
    return http_call(node.caller, "GET", DISCOVERY, None, {"Host": HOST}).json()


def scheduled_actions(scenario: Scenario, fleet: Fleet) -> list[ScheduledAction]:
    """Return the actions of a scenario with their times."""
    pause = partial(fleet.signal, "entry-1", signal.SIGSTOP)
    resume = partial(fleet.signal, "entry-1", signal.SIGCONT)
    kill = partial(fleet.signal, "entry-2", signal.SIGKILL)
    start_faults = [
        partial(fleet.set_backend_fault, name, **BACKEND_FAULT)
        for name in sorted(fleet.backends)[:2]
    ]
    actions = {
        Scenario.UNHEALTHY_BACKENDS: [
            ScheduledAction(0, start) for start in start_faults
        ],
        Scenario.PAUSED_HOST: [
            ScheduledAction(0.5, pause),
            ScheduledAction(2.0, resume),
        ],
        Scenario.KILLED_HOST: [ScheduledAction(1.0, kill)],
        Scenario.REPLACED_HOST: [
            ScheduledAction(1.0, partial(fleet.signal, "entry-3", signal.SIGKILL)),
            ScheduledAction(1.2, partial(fleet.spawn_node, fleet.nodes[3])),
        ],
        Scenario.STOPPED_HOST: [
            ScheduledAction(0.5, partial(fleet.signal, "entry-4", signal.SIGTERM))
        ],
        Scenario.STORE_DOWN: [
            ScheduledAction(0, partial(fleet.set_platform_fault, down=True))
        ],
    }
    if scenario is Scenario.ALL_AT_ONCE:
        return [
            action
            for scenario_actions in actions.values()
            for action in scenario_actions
        ]
    return actions.get(scenario, [])


def record(fleet: Fleet, scenario: Scenario, seed: int, requests: int) -> History:
    """Run a scenario, then retry every request once, and return the history."""
    rng = random.Random(seed)
    hosts = {node.name: node.caller for node in fleet.nodes}
    prefixes = [_discover(node)["key_prefix"] for node in fleet.nodes]
    copies = plan_copies(rng, hosts, prefixes, requests, SEND_PERIOD_S)
    results = Callers(HOST, copies, scheduled_actions(scenario, fleet)).record()
    _heal(fleet)
    retries = _plan_retries(rng, fleet, copies)
    results = [*results, *Callers(HOST, retries).record()]
    executions = [
        execution
        for name in fleet.backends
        for execution in read_executions(fleet.journal(name))
    ]
    logged = [
        entry
        for node in fleet.nodes
        for entry in read_logged_outcomes(fleet.log_text(node.name))
    ]
    return History(results, executions, logged)


def _heal(fleet: Fleet) -> None:
    for name in fleet.backends:
        fleet.set_backend_fault(name)
    fleet.set_platform_fault()


def _plan_retries(rng: random.Random, fleet: Fleet, copies: list[Copy]) -> list[Copy]:
    """Return one retry of each request, to a host whose process is running."""
    alive = [node for node in fleet.nodes if fleet.procs[node.name].poll() is None]
    retries = []
    for copy in {copy.key: copy for copy in copies}.values():
        node = rng.choice(alive)
        at_s = SETTLE_TIME_S + rng.uniform(0, SEND_PERIOD_S)
        retries.append(
            copy._replace(
                at_s=at_s, host=node.name, address=node.caller, abandon_after_s=10.0
            )
        )
    return retries


def run_scenario(scenario: Scenario, seed: int, requests: int) -> RunResult:
    """Run a scenario with a new fleet and return its result."""
    with Fleet() as fleet:
        build_fleet(fleet)
        history = record(fleet, scenario, seed, requests)
        handed_over = sum(
            fleet.log_text(node.name).count("event=key-handed-over")
            for node in fleet.nodes
        )
    return RunResult(
        copies=len(history.results),
        outcomes=Counter(copy.outcome for copy in history.results),
        executions=len(history.executions),
        handed_over=handed_over,
        findings=check(history),
    )


def main(argv: list[str]) -> int:
    """Run every scenario with each seed, and return 1 if there are findings."""
    failed = 0
    for seed in range(1, FLAGS.seeds + 1):
        for scenario in Scenario:
            result = run_scenario(scenario, seed, FLAGS.requests)
            counts = " ".join(
                f"{outcome or 'no-answer'}={count}"
                for outcome, count in sorted(result.outcomes.items())
            )
            print(
                f"seed={seed} scenario={scenario} copies={result.copies} {counts} "
                f"executions={result.executions} handed_over={result.handed_over} "
                f"findings={len(result.findings)}",
                flush=True,
            )
            for finding in result.findings:
                print(f"  {finding.kind} {finding.request}: {finding.detail}")
            failed += len(result.findings)
    return 1 if failed else 0


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 1, "Number of seeds to run.")
    flags.DEFINE_integer("requests", 200, "Number of requests per run.")
    app.run(main)
