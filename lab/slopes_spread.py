"""Measure how the costs of membership and configuration replication grow.

Runs with separate processes measure the time until a change is applied, store calls,
and the processor time and bytes of a node.  In-process tables measure single messages
and memory.  A line is fitted to each series.
"""

import json
import os
import re
import sys
import time
import tracemalloc
from collections.abc import Callable
from datetime import datetime
from typing import Any, NamedTuple

import numpy as np
from absl import app, flags

from dogwoodtack.clock import SystemClock
from dogwoodtack.control import ControlRequest
from dogwoodtack.membership import (
    Connectivity,
    Gossip,
    Member,
    Membership,
    store_readers,
)
from dogwoodtack.membership.records import MemberRecord, MemberState, to_wire
from dogwoodtack.misc import Address, new_token
from dogwoodtack.replication import ConfigState
from dogwoodtack.replication.tree import SortedMembers
from dogwoodtack.store import StoreObject

from .fleet import Fleet, http_call

FLAGS = flags.FLAGS
flags.DEFINE_list(
    "hosts", ["4", "16", "36"], "Numbers of entry hosts for the runs with processes."
)
flags.DEFINE_integer("changes", 30, "Number of changes per run, one per second.")
flags.DEFINE_bool("processes", True, "Also run the part with separate processes.")

IDLE_PERIOD_S = 10.0
SETTLE_TIME_S = 15.0
CHANGE_INTERVAL_S = 1.0
MEMBER_COUNTS = (36, 200, 1000, 6300)
CHANGE_COUNTS = (0, 5, 20, 64)
OBJECT_COUNTS = (100, 1000, 5000, 10000)
INSTANCES = 16
REPEATS = 30
ZONES = 5
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
APPLIED_LINE = re.compile(
    r"^(\S+) .*event=config-taken kind=service name=s version=(\d+)"
)


class Fit(NamedTuple):
    """A least-squares line with the standard error of its slope."""

    base: float
    slope: float
    error: float


class Row(NamedTuple):
    """Results of one run with processes.

    The delays are until a change is applied.  Calls to the store are per second; the
    processor time in percent of a core, bytes and outgoing calls are per second and
    node.
    """

    hosts: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    idle_calls: float
    busy_calls: float
    idle_cpu: float
    busy_cpu: float
    idle_bytes: float
    busy_bytes: float
    idle_out: float
    busy_out: float


class Counters(NamedTuple):
    """Counters at one time: store calls, and sums over the nodes."""

    at: float
    calls: int
    cpu_s: float
    bytes: int
    control_calls: int


def fit(sizes: tuple[int, ...], values: list[float]) -> Fit:
    """Fit a least-squares line."""
    x = np.array(sizes, dtype=float)
    y = np.array(values)
    slope, base = np.polyfit(x, y, 1)
    residuals = y - (base + slope * x)
    degrees_of_freedom = max(1, len(x) - 2)
    error = np.sqrt(
        residuals @ residuals / degrees_of_freedom / ((x - x.mean()) ** 2).sum()
    )
    return Fit(float(base), float(slope), float(error))


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_counters(fleet: Fleet) -> Counters:
    """Read the counters of a run."""
    calls = http_call(fleet.platform, "GET", "/test/calls").json()
    statuses = [fleet.operator(node, "GET", "/status").json() for node in fleet.nodes]
    return Counters(
        time.monotonic(),
        sum(calls.values()),
        sum(cpu_s(fleet.procs[node.name].pid) for node in fleet.nodes),
        sum(status["control_bytes"] for status in statuses),
        sum(status["control_calls"] for status in statuses),
    )


def read_applied_at(fleet: Fleet) -> dict[int, list[float]]:
    """Return by version the times at which the nodes applied it, from their logs."""
    applied: dict[int, list[float]] = {}
    for node in fleet.nodes:
        for line in fleet.log_text(node.name).splitlines():
            match = APPLIED_LINE.match(line)
            if match:
                at = datetime.fromisoformat(match[1]).timestamp()
                applied.setdefault(int(match[2]), []).append(at)
    return applied


def run_processes(hosts: int) -> Row:
    """Run a fleet idle, then under one change per second."""
    with Fleet({"logs": {"level": "DEBUG"}}) as fleet:
        fleet.start_platform()
        fleet.start_backend("b-1", work_ms=5)
        fleet.start_nodes(hosts)
        value = fleet.service_value("a.example")
        version = fleet.put_object("service", "s", value)
        fleet.wait_service("s", version)
        time.sleep(SETTLE_TIME_S)
        first = read_counters(fleet)
        time.sleep(IDLE_PERIOD_S)
        second = read_counters(fleet)
        accepted = {}
        for number in range(FLAGS.changes):
            value["caution"] = number / FLAGS.changes
            version = fleet.put_object("service", "s", value, version)
            accepted[version] = time.time()
            time.sleep(CHANGE_INTERVAL_S)
        third = read_counters(fleet)
        time.sleep(2 * CHANGE_INTERVAL_S)
        applied = read_applied_at(fleet)
    delays = [
        max(0.0, at - accepted_at)
        for number, accepted_at in accepted.items()
        for at in applied.get(number, [])
    ]
    expected = hosts * FLAGS.changes
    if len(delays) != expected:
        print(f"{hosts} hosts: {len(delays)} of {expected} changes seen to be applied")
    p50, p99, maximum = np.percentile(np.array(delays) * 1000, (50, 99, 100))
    idle, busy = rates(first, second, hosts), rates(second, third, hosts)
    row_values = [rate for pair in zip(idle, busy) for rate in pair]
    return Row(hosts, p50, p99, maximum, *row_values)


def rates(start: Counters, end: Counters, hosts: int) -> list[float]:
    """Return store calls per second, and a node's core percent, bytes/s and calls/s.

    Bytes are counted only by the side that makes a call, and so they are doubled.
    """
    seconds = end.at - start.at
    return [
        (end.calls - start.calls) / seconds,
        100 * (end.cpu_s - start.cpu_s) / seconds / hosts,
        2 * (end.bytes - start.bytes) / seconds / hosts,
        (end.control_calls - start.control_calls) / seconds / hosts,
    ]


class _NoReactor:
    """A reactor with a clock and no event loop; scheduled calls are dropped."""

    clock = SystemClock()

    def call_later(self, *args: Any) -> None:
        """Drop the call."""

    call_soon = call_later


def make_membership(count: int) -> Membership:
    """Return the membership of a fleet of a given size."""
    records = [
        MemberRecord(make_member(number), 1, MemberState.ALIVE, float(number))
        for number in range(count)
    ]
    membership = Membership(records[0].member, 1.0)
    for record in records[1:]:
        membership.merge(record)
    return membership


def make_member(number: int) -> Member:
    """Return the member record of one entry host."""
    host = f"10.{number >> 16}.{(number >> 8) & 255}.{number & 255}"
    return Member(
        f"entry-{number}",
        new_token(),
        f"zone-{number % ZONES}",
        Address(host, 8080),
        Address(host, 8081),
    )


def measure_us(operation: Callable[[], Any]) -> float:
    """Return the median processor time of an operation in microseconds."""
    times = []
    for _ in range(REPEATS):
        start = time.process_time_ns()
        operation()
        times.append((time.process_time_ns() - start) / 1000)
    return float(np.median(times))


def exchange_cost(count: int, changes: int = 0) -> tuple[float, float]:
    """Return the microseconds and bytes of answering one exchange.

    Args:
        count: number of members.
        changes: number of recent changes that both sides send.
    """
    reactor = _NoReactor()
    membership = make_membership(count)
    connectivity = Connectivity(reactor.clock, True)
    gossip = Gossip(reactor, None, membership, connectivity, (), None)
    route = gossip.routes()[0]
    records = membership.records()[1 : changes + 1]
    for record in records:
        gossip._mark_changed(record.member.incarnation)
    changes_json = [to_wire(record) for record in records]
    request = {"changes": changes_json, "root": "", "hosts_number": 0, "hosts": None}
    body = {
        **request,
        "me": to_wire(MemberRecord(make_member(1), 1, MemberState.ALIVE, 1.0)),
    }
    text = json.dumps(body)

    def operation() -> str:
        req = ControlRequest("POST", route.pattern, {}, {}, json.loads(text))
        return json.dumps(route.view(req))

    return measure_us(operation), float(len(text) + len(operation()))


def repair_cost(count: int) -> tuple[float, float]:
    """Return the microseconds and bytes of finding and sending five lost records."""
    membership = make_membership(count)
    buckets = membership.digest.buckets()
    for record in membership.records()[1:6]:
        membership.declare_state(record.member.incarnation, MemberState.SUSPECT)

    def operation() -> str:
        differing = membership.digest.differing_buckets(json.loads(json.dumps(buckets)))
        lost = [one for index in differing for one in membership.in_bucket(index)]
        return json.dumps([to_wire(one) for one in lost])

    return measure_us(operation), float(len(json.dumps(buckets)) + len(operation()))


def membership_change_cost(count: int) -> float:
    """Return the microseconds of the updates after one membership change."""
    membership = make_membership(count)

    def operation() -> None:
        membership.set_cut_off(not membership.is_cut_off())
        members = membership.members()
        membership.serving_members()
        SortedMembers(members)
        store_readers(members, membership.local_member, 2)

    return measure_us(operation)


def make_config_state(count: int) -> ConfigState:
    """Return a configuration with a number of services."""
    state = ConfigState()
    for number in range(count):
        state.apply(
            StoreObject(
                "service", f"service-{number}", number + 1, make_service_value(number)
            )
        )
    return state


def make_service_value(number: int) -> Any:
    """Return a service definition with INSTANCES instances."""
    return {
        "routes": [{"host": f"s{number}.example", "prefix": "/"}],
        "floor": INSTANCES * 3 // 4,
        "instances": [
            {
                "name": f"s{number}-{index}",
                "address": f"10.{number % 200}.{index}.7:8080",
                "zone": f"zone-{index % ZONES}",
                "slots": 2,
            }
            for index in range(INSTANCES)
        ],
    }


def digest_cost(count: int) -> tuple[float, float]:
    """Return the microseconds and bytes of finding and sending one lost change."""
    state, behind = make_config_state(count), make_config_state(count)
    state.apply(StoreObject("service", "service-7", count + 5, make_service_value(7)))

    def operation() -> str:
        buckets = json.loads(json.dumps(behind.digest.buckets()))
        differing = state.digest.differing_buckets(buckets)
        lost = [one for index in differing for one in state.in_bucket(index)]
        return json.dumps([one._asdict() for one in lost])

    return measure_us(operation), float(
        len(json.dumps(behind.digest.buckets())) + len(operation())
    )


def memory_bytes(build: Callable[[int], Any], count: int) -> float:
    """Return the bytes of memory of a table of a given size."""
    tracemalloc.start()
    table = build(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del table
    return float(size)


def print_series(title: str, sizes: tuple[int, ...], values: list[float]) -> None:
    """Print a series with its fit."""
    line = fit(sizes, values)
    values_text = "  ".join(
        f"{size}: {value:,.0f}" for size, value in zip(sizes, values)
    )
    print(f"{title}\n    {values_text}")
    print(f"    fit: {line.base:,.1f} + {line.slope:.5g} (+/- {line.error:.2g}) x n")


def print_rows(rows: list[Row]) -> None:
    """Print the runs with processes and their fits."""
    print(
        "hosts  applied ms p50/p99/max   store calls/s  % of a core  bytes/s  calls/s"
    )
    print("                                  idle   busy    idle  busy   idle   busy")
    for row in rows:
        print(
            f"{row.hosts:5}  {row.p50_ms:6.0f} {row.p99_ms:6.0f} {row.max_ms:6.0f}"
            f"     {row.idle_calls:8.2f} {row.busy_calls:6.2f}"
            f"  {row.idle_cpu:6.2f} {row.busy_cpu:5.2f}"
            f"  {row.idle_bytes:6.0f} {row.busy_bytes:6.0f}"
            f"  {row.idle_out:5.2f} {row.busy_out:5.2f}"
        )
    if len(rows) < 2:
        return
    hosts = tuple(row.hosts for row in rows)
    for name in Row._fields[4:]:
        line = fit(hosts, [getattr(row, name) for row in rows])
        print(
            f"    {name}: {line.base:.3f} + {line.slope:.3g} (+/- {line.error:.2g}) x n"
        )


def print_tables() -> None:
    """Measure and print the in-process series."""
    exchanges = [exchange_cost(count) for count in MEMBER_COUNTS]
    print_series(
        "membership exchange, us", MEMBER_COUNTS, [one[0] for one in exchanges]
    )
    print_series(
        "membership exchange, bytes", MEMBER_COUNTS, [one[1] for one in exchanges]
    )
    change_costs = [exchange_cost(200, count) for count in CHANGE_COUNTS]
    print_series(
        "the same by recent changes, us",
        CHANGE_COUNTS,
        [one[0] for one in change_costs],
    )
    print_series(
        "the same by recent changes, bytes",
        CHANGE_COUNTS,
        [one[1] for one in change_costs],
    )
    repairs = [repair_cost(count) for count in MEMBER_COUNTS]
    print_series(
        "repairing five records, us", MEMBER_COUNTS, [one[0] for one in repairs]
    )
    print_series(
        "repairing five records, bytes", MEMBER_COUNTS, [one[1] for one in repairs]
    )
    changes = [membership_change_cost(count) for count in MEMBER_COUNTS]
    print_series("after a membership change, us", MEMBER_COUNTS, changes)
    sizes = [memory_bytes(make_membership, count) for count in MEMBER_COUNTS]
    print_series("membership, bytes of memory", MEMBER_COUNTS, sizes)
    digests = [digest_cost(count) for count in OBJECT_COUNTS]
    print_series("repairing one object, us", OBJECT_COUNTS, [one[0] for one in digests])
    print_series(
        "repairing one object, bytes", OBJECT_COUNTS, [one[1] for one in digests]
    )
    config_sizes = [memory_bytes(make_config_state, count) for count in OBJECT_COUNTS]
    print_series("configuration, bytes of memory", OBJECT_COUNTS, config_sizes)


def main(argv: list[str]) -> int:
    """Measure and print every table."""
    if len(argv) > 1:
        print("usage: python -m lab.slopes_spread [--hosts 4,16,36]", file=sys.stderr)
        return 2
    print_tables()
    if FLAGS.processes:
        print_rows([run_processes(int(hosts)) for hosts in FLAGS.hosts])
    return 0


if __name__ == "__main__":
    app.run(main)
