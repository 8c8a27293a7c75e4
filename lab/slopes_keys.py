"""Measure the time and memory per idempotency key, as slopes over numbers of keys.

python -m lab.slopes_keys
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from statistics import linear_regression
from typing import NamedTuple

from absl import app

from dogwoodtack.clock import VirtualClock
from dogwoodtack.keys import (
    KeyRequest,
    KeyRules,
    KeyTable,
    Ran,
    Run,
    SettleRequest,
    StoredResponse,
)

__all__ = ["Slope", "measure"]

SIZES = (5_000, 10_000, 20_000, 40_000, 80_000)
OWNER = "a" * 32
REQUESTER = "b" * 32
FINGERPRINT = "f" * 64
RESPONSE = StoredResponse(200, [(b"content-type", b"application/json")], b"x" * 200)
RULES = KeyRules(max_keys=max(SIZES) + 1, max_response_bytes=1 << 30)


class Slope(NamedTuple):
    """A linear cost: per key, and the intercept for no keys."""

    name: str
    per_key: float
    intercept: float
    unit: str


def _table() -> KeyTable:
    return KeyTable(OWNER, VirtualClock(), RULES)


def _requests(table: KeyTable, count: int) -> list[KeyRequest]:
    rng = random.Random(count)
    return [
        KeyRequest(f"{table.prefix}{rng.getrandbits(64):016x}", "jobtrack", FINGERPRINT)
        for _ in range(count)
    ]


def _run_all(table: KeyTable, reqs: list[KeyRequest], result: Ran) -> None:
    def on_decision(decision: Run) -> None:
        table.finish(decision.ticket, result)

    for req in reqs:
        table.begin(req, on_decision)


def _retry_all(table: KeyTable, reqs: list[KeyRequest]) -> None:
    for req in reqs:
        table.begin(req, bool)


def _hand_over_all(table: KeyTable, reqs: list[KeyRequest]) -> None:
    for req in reqs:
        table.settle(SettleRequest(OWNER, REQUESTER, "0" * 16, req.key, "00" * 16))


def _measure_seconds(func: Callable[[], None]) -> float:
    gc.collect()
    started_at = time.perf_counter()
    func()
    return time.perf_counter() - started_at


def _time_run(count: int) -> float:
    table = _table()
    reqs = _requests(table, count)
    return _measure_seconds(lambda: _run_all(table, reqs, Ran(RESPONSE)))


def _time_retry(count: int) -> float:
    table = _table()
    reqs = _requests(table, count)
    _run_all(table, reqs, Ran(RESPONSE))
    return _measure_seconds(lambda: _retry_all(table, reqs))


def _time_hand_over(count: int) -> float:
    table = _table()
    reqs = _requests(table, count)
    return _measure_seconds(lambda: _hand_over_all(table, reqs))


def _measure_bytes(count: int, is_stored: bool) -> int:
    """Return the bytes that a table keeps, including its key strings."""
    table = _table()
    gc.collect()
    tracemalloc.start()
    for number in range(count):
        req = KeyRequest(f"{table.prefix}{number:016x}", "jobtrack", FINGERPRINT)
        response = StoredResponse(200, [(b"content-type", b"text/plain")], bytes(200))
        _run_all(table, [req], Ran(response if is_stored else None))
        del req, response
    gc.collect()
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept_bytes


def _slope(name: str, unit: str, scale: float, cost: Callable[[int], float]) -> Slope:
    costs = [cost(size) for size in SIZES]
    fit = linear_regression(SIZES, costs)
    return Slope(name, fit.slope * scale, fit.intercept * scale, unit)


def measure() -> list[Slope]:
    """Measure all slopes."""
    return [
        _slope("begin and finish", "us", 1e6, _time_run),
        _slope("retry", "us", 1e6, _time_retry),
        _slope("hand over", "us", 1e6, _time_hand_over),
        _slope(
            "key without response", "bytes", 1, lambda size: _measure_bytes(size, False)
        ),
        _slope(
            "key with stored response of 200 bytes",
            "bytes",
            1,
            lambda size: _measure_bytes(size, True),
        ),
    ]


def main(argv: list[str]) -> None:
    """Print one line for each slope."""
    print(f"sizes={','.join(str(size) for size in SIZES)}")
    for slope in measure():
        print(f"{slope.name}: {slope.per_key:.2f} {slope.unit} each")


if __name__ == "__main__":
    app.run(main)
