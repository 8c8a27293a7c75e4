"""What a daemon adds to a request: `python -m lab.bench`.

Each round calls the same back end directly and then through an entry host, at
each rate, with processes of their own for the load.
"""

import os
import signal
import statistics
import sys
from typing import NamedTuple

from absl import app, flags

from .fleet import Fleet, NodeInfo
from .load import drive
from .load_report import LoadReport

__all__: list[str] = []

FLAGS = flags.FLAGS
flags.DEFINE_integer("nodes", 1, "Entry hosts that run.")
flags.DEFINE_integer("driven", 1, "Entry hosts that get the load, each at the rate.")
flags.DEFINE_list("rates", ["75", "500"], "Requests a second a node.")
flags.DEFINE_integer("rounds", 3, "How often each rate is measured.")
flags.DEFINE_integer("backends", 2, "Back ends of the service.")
flags.DEFINE_float("work_ms", 2.0, "Milliseconds the back end works.")
flags.DEFINE_string("profile", "", "A file for the first daemon's cProfile report.")

SLOTS = 200
HOST = "jobtrack.example"
TARGET_P99_MS = 6.2


class AddedLatency(NamedTuple):
    """What the daemon added in one round, in milliseconds."""

    p50: float
    p99: float


class BenchFleet(Fleet):
    """Start the first entry host under the profiler where that is asked for."""

    def _spawn(self, name: str, module: str, *args: str) -> None:
        if FLAGS.profile and name == "entry-0":
            module = "lab.profiled"
        super()._spawn(name, module, *args)


def start_fleet(fleet: Fleet) -> list[NodeInfo]:
    """Start everything and return the entry hosts that get the load."""
    fleet.start_platform()
    for number in range(FLAGS.backends):
        fleet.start_backend(f"jt-{number}", work_ms=FLAGS.work_ms, slots=SLOTS)
    value = fleet.service_value(HOST)
    for instance in value["instances"]:
        instance["slots"] = SLOTS
    version = fleet.put_object("service", "jobtrack", value)
    nodes = fleet.start_nodes(FLAGS.nodes)
    for node in nodes:
        fleet.wait_port(node.name, node.operator)
    fleet.wait_service("jobtrack", version)
    return nodes[: FLAGS.driven]


def measure(fleet: Fleet, nodes: list[NodeInfo], rate: float) -> AddedLatency:
    """Call directly and through the entry hosts, and return the difference."""
    total = rate * len(nodes)
    options = {"rate": total, "seconds": FLAGS.seconds, "warm_s": FLAGS.warm_s}
    processes = max(1, round(total / 300))
    backends = [str(address) for address in fleet.backends.values()]
    direct = drive(backends, processes, **options)
    through = drive([str(node.caller) for node in nodes], processes, **options)
    report_errors(direct)
    report_errors(through)
    added_latency = AddedLatency(
        through.percentile_ms(50) - direct.percentile_ms(50),
        through.percentile_ms(99) - direct.percentile_ms(99),
    )
    print(
        f"  {rate:6g}/s  direct {direct.percentile_ms(50):6.2f} "
        f"{direct.percentile_ms(99):7.2f}  through {through.percentile_ms(50):6.2f} "
        f"{through.percentile_ms(99):7.2f}  added p50 {added_latency.p50:5.2f} "
        f"p99 {added_latency.p99:5.2f} ms  late sends {through.late_sends}",
        flush=True,
    )
    return added_latency


def report_errors(report: LoadReport) -> None:
    """Say so where not every answer was good."""
    errors = {kind: count for kind, count in report.kinds.items() if kind[:3] != "200"}
    if errors or sum(report.kinds.values()) != report.sent:
        print(f"  not all good: {errors}, answered {sum(report.kinds.values())}")


def main(argv: list[str]) -> int:
    """Run the benchmark and return 1 where the target is missed."""
    os.environ["LAB_PROFILE"] = os.path.abspath(FLAGS.profile or os.devnull)
    print(f"load average {os.getloadavg()[0]:.1f}, {FLAGS.nodes} entry hosts")
    medians = {}
    with BenchFleet() as fleet:
        nodes = start_fleet(fleet)
        for rate in FLAGS.rates:
            rounds = [measure(fleet, nodes, float(rate)) for _ in range(FLAGS.rounds)]
            medians[rate] = AddedLatency(
                statistics.median(added_latency.p50 for added_latency in rounds),
                statistics.median(added_latency.p99 for added_latency in rounds),
            )
        if FLAGS.profile:
            fleet.signal("entry-0", signal.SIGTERM)
            fleet.wait_exit("entry-0")
    for rate, added_latency in medians.items():
        print(
            f"added at {rate}/s: p50 {added_latency.p50:.2f} ms, "
            f"p99 {added_latency.p99:.2f} ms"
        )
    print(f"load average {os.getloadavg()[0]:.1f}")
    return 0 if medians[FLAGS.rates[0]].p99 <= TARGET_P99_MS else 1


if __name__ == "__main__":
    sys.exit(app.run(main))
