"""Measure the memory of a daemon's request history and burn rates."""

import tracemalloc
from collections.abc import Callable

from absl import app

from dogwoodtack.burn import BurnTracker, Objective, RequestResult
from dogwoodtack.clock import VirtualClock
from dogwoodtack.errors import Outcome
from dogwoodtack.frontend import RequestHistory, RequestRecord
from dogwoodtack.frontend.history import AttemptRecord
from dogwoodtack.health import SampleKind
from dogwoodtack.misc import new_token

from .slopes_door import fit_line

__all__ = ["measure_bytes"]

RECORD_COUNTS = (500, 1000, 2000, 5000)
SERVICE_COUNTS = (1, 5, 25, 100)
HOURS = 6
STEP_S = 10.0


def measure_bytes(build: Callable[[int], object], size: int) -> int:
    """Return the bytes allocated by building an object of a given size."""
    tracemalloc.start()
    kept = build(size)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return memory_bytes


def build_history(size: int) -> RequestHistory:
    """Return a request history with a number of records."""
    history = RequestHistory(lambda record: None)
    for _ in range(size):
        attempt = AttemptRecord("".join(("jt", "-1")), SampleKind.OK, 1.5)
        history.add(
            RequestRecord(
                id=new_token(),
                service="jobtrack",
                method="GET",
                reason="served",
                status=200,
                outcome=Outcome.RAN,
                ms=2.5,
                attempts=(attempt,),
            )
        )
    return history


def build_burn(size: int) -> BurnTracker:
    """Return six hours of burn data of a number of services, both request classes."""
    clock = VirtualClock()
    burn = BurnTracker(clock, lambda name: Objective(0.999, 1.0))
    names = [f"service-{number}" for number in range(size)]
    for _ in range(int(HOURS * 3600 / STEP_S)):
        clock.advance(STEP_S)
        for name in names:
            for is_idempotent in (False, True):
                result = RequestResult(name, is_idempotent, Outcome.RAN, 200, 0.1, True)
                burn.record(result)
    return burn


def main(argv: list[str]) -> int:
    """Print a fit for each kind of memory."""
    for name, build, sizes in (
        ("request record", build_history, RECORD_COUNTS),
        ("burn of a service", build_burn, SERVICE_COUNTS),
    ):
        memory_bytes = [measure_bytes(build, size) for size in sizes]
        fit = fit_line(
            [float(size) for size in sizes], [float(one) for one in memory_bytes]
        )
        print(f"{name}: {fit.slope:.0f} (+/- {fit.error:.0f}) bytes each, {sizes}")
    return 0


if __name__ == "__main__":
    app.run(main)
