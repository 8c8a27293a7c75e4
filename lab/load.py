"""An open-loop load generator: `python -m lab.load --target HOST:PORT`.

Requests are sent at their due times whether or not earlier ones have completed, and
each latency is measured from the due time.  A stall is therefore not hidden by requests
that were delayed during it (coordinated omission).
"""

import http.client
import json
import subprocess
import sys

from absl import app, flags
from loguru import logger

from dogwoodtack.misc import parse_address

from .load_client import LoadGenerator, LoadPlan, MixItem, Target
from .load_report import LoadReport

__all__ = ["drive"]

FLAGS = flags.FLAGS
flags.DEFINE_list("target", [], "Addresses (host:port) to distribute requests over.")
flags.DEFINE_string("host", "jobtrack.example", "The Host header.")
flags.DEFINE_float("rate", 75.0, "Requests per second, over all processes.")
flags.DEFINE_float("seconds", 10.0, "Seconds in which requests are counted.")
flags.DEFINE_float("warm_s", 1.0, "Seconds before counting starts.")
flags.DEFINE_integer("processes", 1, "Number of sending processes.")
flags.DEFINE_list(
    "mix", ["GET /racks/7=1"], "Kinds of requests, METHOD PATH=WEIGHT each."
)
flags.DEFINE_list("customers", ["=1"], "Customers, NAME=WEIGHT each.")
flags.DEFINE_string(
    "keys_of", "", "Service whose discovery response gives the key prefixes."
)
flags.DEFINE_integer("deadline_ms", 0, "Deadline header of requests; 0 for none.")
flags.DEFINE_integer("body_bytes", 100, "Body size of non-idempotent requests.")
flags.DEFINE_integer("seed", 1, "Random seed.")
flags.DEFINE_bool("json", False, "Print the report as JSON.")

DISCOVERY = "/.well-known/dogwoodtack/services/"


def plan_from_flags() -> LoadPlan:
    """Return the load plan that the flags describe."""
    mix = []
    for text in FLAGS.mix:
        request, _, weight = text.rpartition("=")
        method, _, path = request.strip().partition(" ")
        mix.append(MixItem(method, path, float(weight)))
    customers = {}
    for text in FLAGS.customers:
        name, _, weight = text.rpartition("=")
        customers[name] = float(weight)
    return LoadPlan(
        targets=tuple(resolve_target(text) for text in FLAGS.target),
        host=FLAGS.host,
        mix=tuple(mix),
        rate=FLAGS.rate,
        seconds=FLAGS.seconds,
        warm_s=FLAGS.warm_s,
        customers=customers,
        deadline_ms=FLAGS.deadline_ms,
        body_bytes=FLAGS.body_bytes,
        seed=FLAGS.seed,
    )


def resolve_target(text: str) -> Target:
    """Return a target, with its key prefix if `--keys_of` is set."""
    address = parse_address(text, allow_name=True)
    if not FLAGS.keys_of:
        return Target(address, "")
    conn = http.client.HTTPConnection(*address, timeout=10)
    conn.request("GET", DISCOVERY + FLAGS.keys_of)
    prefix = json.loads(conn.getresponse().read())["key_prefix"]
    conn.close()
    return Target(address, prefix)


def drive(targets: list[str], processes: int, **options: object) -> LoadReport:
    """Run the load in child processes and return the merged report.

    Args:
        targets: addresses, host:port each.
        processes: number of child processes.
        options: flags of the children; `rate` is that of all together.

    Raises:
        RuntimeError: a process failed; the message is the end of its stderr.
    """
    options["rate"] = float(options.get("rate", 75.0)) / processes
    args = [f"--{key}={value}" for key, value in options.items()]
    children = []
    for number in range(processes):
        cmd = [sys.executable, "-m", "lab.load", "--json", *args]
        cmd += [f"--target={','.join(targets)}", f"--seed={number + 1}"]
        children.append(
            subprocess.Popen(cmd, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        )
    report = LoadReport()
    for process in children:
        out, err = process.communicate()
        if process.returncode:
            raise RuntimeError(err.decode()[-2000:])
        report.merge(LoadReport.from_json(out.decode()))
    return report


def child_options() -> dict[str, object]:
    """Return the flags to pass to each child process."""
    names = ("host", "rate", "seconds", "warm_s", "keys_of", "deadline_ms")
    options = {name: FLAGS[name].value for name in (*names, "body_bytes")}
    options["mix"] = ",".join(FLAGS.mix)
    options["customers"] = ",".join(FLAGS.customers)
    return options


def main(argv: list[str]) -> int:
    """Run the load and print the report."""
    if len(argv) > 1 or not FLAGS.target:
        print("usage: python -m lab.load --target HOST:PORT[,...]", file=sys.stderr)
        return 2
    logger.remove()
    if FLAGS.processes > 1:
        report = drive(FLAGS.target, FLAGS.processes, **child_options())
    else:
        report = LoadGenerator(plan_from_flags()).run()
    print(json.dumps(report.as_json()) if FLAGS.json else report.as_text())
    return 0


if __name__ == "__main__":
    app.run(main)
