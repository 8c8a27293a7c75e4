"""Measure the costs of detection for a node, as slopes for the capacity page."""

import json
import random
import resource
import time
from collections.abc import Callable
from typing import NamedTuple

from absl import app, flags

from dogwoodtack.catalog import Service, parse_service
from dogwoodtack.clock import VirtualClock
from dogwoodtack.health import Health, Sample, SampleKind

FLAGS = flags.FLAGS
flags.DEFINE_integer("services", 25, "Services assigned to a node.")
flags.DEFINE_integer("instances", 16, "Instances per service.")
flags.DEFINE_float("rate", 75.0, "Requests per second per node.")
flags.DEFINE_integer("peers", 35, "Other entry hosts assigned to a service.")
flags.DEFINE_float(
    "held", 2.1, "Services for which a node holds the lease and collects evidence."
)
flags.DEFINE_float("verdict_s", 1.0, "Seconds between verdicts on a service.")

VIRTUAL_DURATION_S = 120
EVIDENCE_INTERVAL_S = 0.5
ERROR_RATIO = 0.003
MEDIAN_SERVICE_TIME_S = 0.1
SERVICE_TIME_SIGMA = 0.6
HTTP_OVERHEAD_BYTES = 250


class CallCost(NamedTuple):
    """Number and total time of one kind of call."""

    calls: int
    seconds: float

    @property
    def each_us(self) -> float:
        """Return the mean microseconds per call."""
        return self.seconds / max(1, self.calls) * 1e6


class Meter:
    """Measures the total time of calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.seconds = 0.0

    def time(self, func: Callable[..., object], *args: object) -> object:
        """Call a function, add its time to the total and return its result."""
        started_at = time.perf_counter()
        result = func(*args)
        self.seconds += time.perf_counter() - started_at
        self.calls += 1
        return result

    def cost(self) -> CallCost:
        """Return the number of calls and their total time."""
        return CallCost(self.calls, self.seconds)


def make_service(number: int) -> Service:
    """Return a service with the configured number of instances."""
    instances = [
        {"name": f"service-{number:04}-{one:02}", "address": "127.0.0.1:9000"}
        for one in range(FLAGS.instances)
    ]
    value = {"routes": [{"host": f"s{number}"}], "instances": instances}
    return parse_service(f"s{number}", value)


def main(argv: list[str]) -> None:
    """Run one node at its target rate and print the slopes."""
    rng = random.Random(1)
    clock = VirtualClock()
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    node = Health(clock, "node")
    holder = Health(clock, "holder")
    services = [make_service(number) for number in range(FLAGS.services)]
    record, take_evidence, merge, verdicts, weight = (Meter() for _ in range(5))
    messages = payload_bytes = 0
    request_interval_s = 1 / FLAGS.rate
    next_evidence_at = clock.now
    for step in range(int(VIRTUAL_DURATION_S * FLAGS.rate)):
        clock.advance(request_interval_s)
        service = rng.choice(services)
        instance = rng.choice(service.instances).name
        is_ok = rng.random() >= ERROR_RATIO
        sample = Sample(
            service.name,
            instance,
            rng.random() < 0.8,
            SampleKind.OK if is_ok else SampleKind.ERROR,
            MEDIAN_SERVICE_TIME_S * rng.lognormvariate(0, SERVICE_TIME_SIGMA),
            clock.now,
        )
        record.time(node.record, sample)
        for one in service.instances:
            weight.time(node.weight, service.name, one.name)
        if clock.now < next_evidence_at:
            continue
        next_evidence_at = clock.now + EVIDENCE_INTERVAL_S
        for one in services:
            evidence = take_evidence.time(node.take_evidence, one.name)
            if evidence is None:
                continue
            messages += 1
            text = json.dumps(evidence, separators=(",", ":"))
            payload_bytes += len(text)
            merge.time(holder.merge_evidence, one.name, json.loads(text))
            verdicts.time(holder.verdicts, one)
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    _print(record, take_evidence, merge, verdicts, weight, messages, payload_bytes)
    print(f"memory of two such nodes: {(after_kb - before_kb) / 1024:.1f} MB")


def _print(
    record: Meter,
    take_evidence: Meter,
    merge: Meter,
    verdicts: Meter,
    weight: Meter,
    messages: int,
    payload_bytes: int,
) -> None:
    """Print the slopes and the resulting costs at the target size."""
    meters = {
        "record": record,
        "take_evidence": take_evidence,
        "merge_evidence": merge,
        "verdicts": verdicts,
        "weight": weight,
    }
    for name, meter in meters.items():
        cost = meter.cost()
        print(f"{name}: {cost.each_us:.1f} us each, {cost.calls} calls")
    sent_per_s = messages / VIRTUAL_DURATION_S
    print(
        f"messages: {sent_per_s:.2f}/s, "
        f"{payload_bytes / max(1, messages):.0f} bytes of JSON"
    )
    sent_bytes_per_s = (
        payload_bytes / VIRTUAL_DURATION_S
    ) + sent_per_s * HTTP_OVERHEAD_BYTES
    print(
        "sent by a node, to one holder per service: "
        f"{sent_bytes_per_s / 1000:.2f} KB/s including HTTP"
    )
    received_per_s = FLAGS.held * FLAGS.peers * sent_per_s / FLAGS.services
    print(
        f"merged by a node: {received_per_s:.2f} messages/s "
        f"for {FLAGS.held} services held"
    )
    local_s = record.seconds + take_evidence.seconds + weight.seconds
    local_share = local_s / VIRTUAL_DURATION_S
    merge_share = received_per_s * merge.cost().each_us / 1e6
    verdict_share = FLAGS.held / FLAGS.verdict_s * verdicts.cost().each_us / 1e6
    print(
        f"share of a core: local {local_share:.3%}, merge {merge_share:.3%}, "
        f"verdicts {verdict_share:.3%}"
    )


if __name__ == "__main__":
    app.run(main)
