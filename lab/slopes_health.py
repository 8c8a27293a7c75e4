"""Measure what detection costs a node, as slopes for the capacity page."""

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
flags.DEFINE_integer("services", 25, "Services homed on a node.")
flags.DEFINE_integer("instances", 16, "Instances of a service.")
flags.DEFINE_float("rate", 75.0, "Requests a second of a node.")
flags.DEFINE_integer("peers", 35, "Other entry hosts of a home set.")
flags.DEFINE_float("held", 2.1, "Services whose evidence a node collects.")
flags.DEFINE_float("verdict_s", 1.0, "Seconds between two verdicts on a service.")

SECONDS = 120
TAKE_PERIOD_S = 0.5
ERROR_SHARE = 0.003
WORK_S = 0.1
WORK_SIGMA = 0.6
HTTP_BYTES = 250


class Spent(NamedTuple):
    """Processor time of one kind of call."""

    calls: int
    seconds: float

    @property
    def each_us(self) -> float:
        """Return microseconds a call."""
        return self.seconds / max(1, self.calls) * 1e6


class Meter:
    """Add up the time spent in calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.seconds = 0.0

    def time(self, func: Callable[..., object], *args: object) -> object:
        """Make a call and add its time."""
        began = time.perf_counter()
        result = func(*args)
        self.seconds += time.perf_counter() - began
        self.calls += 1
        return result

    def spent(self) -> Spent:
        """Return what was added up."""
        return Spent(self.calls, self.seconds)


def make_service(number: int) -> Service:
    """Return one service of the target size."""
    instances = [
        {"name": f"service-{number:04}-{one:02}", "address": "127.0.0.1:9000"}
        for one in range(FLAGS.instances)
    ]
    value = {"routes": [{"host": f"s{number}"}], "instances": instances}
    return parse_service(f"s{number}", value)


def main(argv: list[str]) -> None:
    """Drive one node at its target rate and print the slopes."""
    rng = random.Random(1)
    clock = VirtualClock()
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    node = Health(clock, "node")
    holder = Health(clock, "holder")
    services = [make_service(number) for number in range(FLAGS.services)]
    record, take, absorb, verdict, weight = (Meter() for _ in range(5))
    messages = payload = 0
    gap_s = 1 / FLAGS.rate
    take_at = clock.now
    for step in range(int(SECONDS * FLAGS.rate)):
        clock.advance(gap_s)
        service = rng.choice(services)
        instance = rng.choice(service.instances).name
        is_ok = rng.random() >= ERROR_SHARE
        sample = Sample(
            service.name,
            instance,
            rng.random() < 0.8,
            SampleKind.OK if is_ok else SampleKind.ERROR,
            WORK_S * rng.lognormvariate(0, WORK_SIGMA),
            clock.now,
        )
        record.time(node.record, sample)
        for one in service.instances:
            weight.time(node.weight, service.name, one.name)
        if clock.now < take_at:
            continue
        take_at = clock.now + TAKE_PERIOD_S
        for one in services:
            evidence = take.time(node.take_evidence, one.name)
            if evidence is None:
                continue
            messages += 1
            text = json.dumps(evidence, separators=(",", ":"))
            payload += len(text)
            absorb.time(holder.merge_evidence, one.name, json.loads(text))
            verdict.time(holder.verdicts, one)
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    _print(record, take, absorb, verdict, weight, messages, payload)
    print(f"memory of two such nodes: {(after_kb - before_kb) / 1024:.1f} MB")


def _print(
    record: Meter,
    take: Meter,
    absorb: Meter,
    verdict: Meter,
    weight: Meter,
    messages: int,
    payload: int,
) -> None:
    """Print the slopes and what they come to at the target size."""
    meters = {
        "record": record,
        "take": take,
        "absorb": absorb,
        "verdicts": verdict,
        "weight": weight,
    }
    for name, meter in meters.items():
        spent = meter.spent()
        print(f"{name}: {spent.each_us:.1f} us each, {spent.calls} calls")
    sent = messages / SECONDS
    print(f"messages: {sent:.2f}/s, {payload / max(1, messages):.0f} bytes of JSON")
    out = (payload / SECONDS) + sent * HTTP_BYTES
    print(f"a node sends, to one holder a service: {out / 1000:.2f} KB/s with HTTP")
    received = FLAGS.held * FLAGS.peers * sent / FLAGS.services
    print(f"a node absorbs {received:.2f} messages/s for {FLAGS.held} services held")
    local_us = record.seconds + take.seconds + weight.seconds
    own = local_us / SECONDS
    pooled = received * absorb.spent().each_us / 1e6
    judged = FLAGS.held / FLAGS.verdict_s * verdict.spent().each_us / 1e6
    print(f"share of a core: own {own:.3%}, absorb {pooled:.3%}, verdicts {judged:.3%}")


if __name__ == "__main__":
    app.run(main)
