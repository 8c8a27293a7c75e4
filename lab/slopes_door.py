"""Measure a daemon's processor time per request and memory per connection."""

import os
import socket
import time
from typing import NamedTuple

import numpy as np
from absl import app, flags

from .fleet import Fleet, NodeInfo, http_call
from .load import drive

__all__ = ["Fit", "fit_line"]

FLAGS = flags.FLAGS
flags.DEFINE_list("rates", ["0", "75", "150", "300", "450"], "Requests per second.")
flags.DEFINE_list(
    "connections", ["0", "250", "500", "1000"], "Numbers of open connections."
)

HOST = "jobtrack.example"
BACKENDS = 4
SLOTS = 40
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SETTLE_TIME_S = 1.0


class Fit(NamedTuple):
    """A least-squares line.

    Attributes:
        base: intercept.
        slope: slope.
        error: standard error of the slope.
    """

    base: float
    slope: float
    error: float


def fit_line(xs: list[float], ys: list[float]) -> Fit:
    """Fit a least-squares line to points."""
    (slope, base), covariance = np.polyfit(xs, ys, 1, cov="unscaled")
    residuals = np.array(ys) - (base + slope * np.array(xs))
    variance = (residuals**2).sum() / max(1, len(xs) - 2)
    return Fit(base, slope, float(np.sqrt(covariance[0, 0] * variance)))


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure_cpu_share(pid: int, node: NodeInfo, rate: float) -> float:
    """Return the share of a core that a process uses at a request rate."""
    cpu_before_s, started_at = cpu_s(pid), time.monotonic()
    if rate:
        drive([str(node.caller)], 1, rate=rate, seconds=FLAGS.seconds, warm_s=0.0)
    else:
        time.sleep(FLAGS.seconds)
    return (cpu_s(pid) - cpu_before_s) / (time.monotonic() - started_at)


def measure_memory(pid: int, node: NodeInfo, count: int) -> float:
    """Return the resident bytes of a process with a number of open connections."""
    socks = [socket.create_connection(node.caller) for _ in range(count)]
    for sock in socks:
        sock.sendall(f"GET /racks HTTP/1.1\r\nhost: {HOST}\r\n\r\n".encode())
        sock.recv(65536)
    time.sleep(SETTLE_TIME_S)
    resident = resident_bytes(pid)
    for sock in socks:
        sock.close()
    return resident


def main(argv: list[str]) -> int:
    """Measure and print both fits."""
    print(f"load average {os.getloadavg()[0]:.1f}")
    with Fleet({"logs": {"level": "INFO"}}) as fleet:
        fleet.start_platform()
        for number in range(BACKENDS):
            fleet.start_backend(f"jt-{number}", work_ms=2, slots=SLOTS)
        value = fleet.service_value(HOST)
        for instance in value["instances"]:
            instance["slots"] = SLOTS
        version = fleet.put_object("service", "jobtrack", value)
        node = fleet.start_nodes(1)[0]
        fleet.wait_service("jobtrack", version)
        http_call(node.caller, "GET", "/racks", None, {"Host": HOST})
        pid = fleet.procs[node.name].pid
        rates = [float(text) for text in FLAGS.rates]
        shares = [measure_cpu_share(pid, node, rate) for rate in rates]
        for rate, share in zip(rates, shares):
            print(f"{rate:6.0f} requests/s: {share:6.1%} of a core")
        fit = fit_line(rates, shares)
        print(f"fit: {fit.base:.2%} + {fit.slope * 1e6:.0f} us per request", end=" ")
        print(f"(+/- {fit.error * 1e6:.0f} us)")
        counts = [int(text) for text in FLAGS.connections]
        sizes = [measure_memory(pid, node, count) for count in counts]
        for count, size in zip(counts, sizes):
            print(f"{count:6d} connections: {size / 1e6:6.1f} MB")
        fit = fit_line([float(count) for count in counts], sizes)
        print(f"fit: {fit.base / 1e6:.1f} MB + {fit.slope / 1e3:.1f} kB", end=" ")
        print(f"per connection (+/- {fit.error / 1e3:.1f} kB)")
    print(f"load average {os.getloadavg()[0]:.1f}")
    return 0


if __name__ == "__main__":
    app.run(main)
