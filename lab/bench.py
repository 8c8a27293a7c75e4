"""Measure the latency that an entry host adds to a request: `python -m lab.bench`.

Each round calls the same back ends directly and then through the entry hosts, at
each rate.  The load comes from separate processes.
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
flags.DEFINE_integer("nodes", 1, "Number of entry hosts to start.")
flags.DEFINE_integer("driven", 1, "Number of entry hosts that receive the load.")
flags.DEFINE_list("rates", ["75", "500"], "Requests per second per entry host.")
flags.DEFINE_integer("rounds", 3, "Number of rounds per rate.")
flags.DEFINE_integer("backends", 2, "Number of back ends of the service.")
flags.DEFINE_float("work_ms", 2.0, "Service time of a back end in milliseconds.")
flags.DEFINE_string("profile", "", "File for the cProfile report of the first daemon.")

SLOTS = 200
HOST = "jobtrack.example"
TARGET_P99_MS = 6.2


class AddedLatency(NamedTuple):
    """Latency that the daemon added in one round, in milliseconds."""

    p50: float
    p99: float


class BenchFleet(Fleet):
    """A fleet whose first entry host runs under the profiler if `--profile` is set."""

    def _spawn(self, name: str, module: str, *args: str) -> None:
        if FLAGS.profile and name == "entry-0":
            module = "lab.profiled"
        super()._spawn(name, module, *args)


def start_fleet(fleet: Fleet) -> list[NodeInfo]:
    """Start all processes and return the entry hosts that receive the load."""
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
    """Send load directly and through the entry hosts, and return the difference.

    Args:
        rate: requests per second per entry host.
    """
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
    """Print the failed and missing responses of a load run, if any."""
    errors = {kind: count for kind, count in report.kinds.items() if kind[:3] != "200"}
    if errors or sum(report.kinds.values()) != report.sent:
        print(f"  errors: {errors}, responses {sum(report.kinds.values())}")


def main(argv: list[str]) -> int:
    """Run the benchmark and return 1 if the p99 target is missed."""
    os.environ["LAB_PROFILE"] = os.path.abspath(FLAGS.profile or os.devnull)
    print(f"load average {os.getloadavg()[0]:.1f}, {FLAGS.nodes} entry hosts")
    medians = {}
    with BenchFleet() as fleet:
        nodes = start_fleet(fleet)
        for rate in FLAGS.rates:
            rounds = [measure(fleet, nodes, float(rate)) for _ in range(FLAGS.rounds)]
            medians[rate] = AddedLatency(
                statistics.median(one.p50 for one in rounds),
                statistics.median(one.p99 for one in rounds),
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
