"""Run a soak: seeded faults in series and overlapping, then check the promises."""

import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from absl import app, flags

from .callers import Call, Caller, VersionWatcher
from .proxy import Fault
from .site import HostProcess, Site, SiteInstance

__all__ = ["Outcome", "run_soak"]

HOSTS = 3
INSTANCES = 5
CALLERS = 10
READY_TIMEOUT_S = 20.0
SETTLE_S = 3.5
# The promised bound on new work for a leaving instance, and how long a host has to
# be undisturbed for it to hold.
DRAIN_S = 2.0
CALM_S = 3.0
FEWEST_INSTANCES = 3
NOT_RUN_STATUSES = (408, 429, 503)
BEHAVIOURS = ("error", "shed", "cut", "stray", "late", "no-signature", "unframed")


class Outcome(NamedTuple):
    """What a soak showed.

    Attributes:
        seed: of the faults and callers.
        faults: what was done, with seconds from the start.
        statuses: how many calls ended with each status.
        broken: promises that were broken, each with what shows it.
    """

    seed: int
    faults: list[str]
    statuses: Counter[int]
    broken: list[str]


class Faults:
    """Inject faults, each in a thread of its own, so that they overlap."""

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._threads: list[threading.Thread] = []
        self._began_at = time.monotonic()
        self.done: list[str] = []
        self.store_faults: list[tuple[float, float]] = []
        self.exit_codes: list[tuple[str, int | None]] = []

    def inject(self) -> None:
        """Begin one fault, drawn by the seed."""
        kinds: list[Callable[[], None]] = [
            self._break_proxy,
            self._break_proxy,
            self._misbehave,
            self._misbehave,
            self._pause_host,
            self._kill_host,
            self._replace_host,
            self._lose_store,
            self._change_version,
            self._drain_instance,
        ]
        self._rng.choice(kinds)()

    def join(self) -> None:
        """Wait until every fault is over."""
        for thread in self._threads:
            thread.join()

    def _begin(self, what: str, act: Callable[[], None]) -> None:
        self.done.append(f"{time.monotonic() - self._began_at:.2f} {what}")
        thread = threading.Thread(target=act, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _break_proxy(self) -> None:
        one = self._rng.choice(self._site.living())
        fault = self._rng.choice([fault for fault in Fault if fault is not Fault.NONE])
        seconds = self._rng.uniform(0.3, 2.0)

        def act() -> None:
            one.proxy.fault = fault
            time.sleep(seconds)
            one.proxy.fault = Fault.NONE

        self._begin(f"{one.backend.name} {fault} {seconds:.1f} s", act)

    def _misbehave(self) -> None:
        one = self._rng.choice(self._site.living())
        behaviour = self._rng.choice(BEHAVIOURS)
        seconds = self._rng.uniform(0.3, 2.0)

        def act() -> None:
            one.backend.behaviour = behaviour
            time.sleep(seconds)
            one.backend.behaviour = "ok"

        self._begin(f"{one.backend.name} {behaviour} {seconds:.1f} s", act)

    def _on_host(self, what: str, act: Callable[[HostProcess], None]) -> None:
        host = self._rng.choice(self._site.hosts)

        def locked() -> None:
            with host.lock:
                act(host)

        self._begin(f"{host.name} {what}", locked)

    def _pause_host(self) -> None:
        seconds = self._rng.uniform(0.2, 1.5)
        self._on_host(f"paused {seconds:.1f} s", lambda host: host.pause(seconds))

    def _kill_host(self) -> None:
        self._on_host("killed", lambda host: host.kill())

    def _replace_host(self) -> None:
        def act(host: HostProcess) -> None:
            self.exit_codes.append((host.name, host.replace()))

        self._on_host("replaced", act)

    def _lose_store(self) -> None:
        seconds = self._rng.uniform(0.3, 2.5)

        def act() -> None:
            began_at = time.monotonic()
            self._site.store.is_down = True
            time.sleep(seconds)
            self._site.store.is_down = False
            self.store_faults.append((began_at, time.monotonic()))

        self._begin(f"store down {seconds:.1f} s", act)

    def _change_version(self) -> None:
        version = self._site.version + self._rng.randint(1, 3)
        self._begin(f"version {version}", lambda: self._site.set_version(version))

    def _drain_instance(self) -> None:
        living = self._site.living()
        if len(living) <= FEWEST_INSTANCES:
            return
        one = self._rng.choice(living)

        def act() -> None:
            self._site.drain(one)
            self._site.add_instance()

        self._begin(f"{one.backend.name} drains", act)


def run_soak(seed: int, length_s: float) -> Outcome:
    """Run one soak and return what it showed."""
    rng = random.Random(seed)
    site = Site(HOSTS, INSTANCES)
    try:
        _wait_ready(site)
        callers = [Caller(site, seed, number) for number in range(CALLERS)]
        watcher = VersionWatcher(site)
        for thread in (*callers, watcher):
            thread.start()
        faults = Faults(site, rng)
        end = time.monotonic() + length_s
        while time.monotonic() < end:
            time.sleep(rng.uniform(0.1, 0.8))
            faults.inject()
        faults.join()
        time.sleep(SETTLE_S)
        for thread in (*callers, watcher):
            thread.is_stopping = True
        for thread in callers:
            thread.join(10.0)
        calls = [call for caller in callers for call in caller.calls]
        broken = _check(site, faults, calls, watcher)
        statuses = Counter(call.status for call in calls)
        return Outcome(seed, faults.done, statuses, broken)
    finally:
        site.close()


def _wait_ready(site: Site) -> None:
    end = time.monotonic() + READY_TIMEOUT_S
    for host in site.hosts:
        while not host.is_serving:
            if time.monotonic() > end:
                raise RuntimeError(f"{host.name} is not ready: {host.log_text()}")
            time.sleep(0.05)


def _check(
    site: Site, faults: Faults, calls: list[Call], watcher: VersionWatcher
) -> list[str]:
    """Return every promise that was broken."""
    runs = Counter(run.request_id for one in site.instances for run in one.backend.ran)
    broken = []
    for call in calls:
        if call.is_unsafe and runs[call.id] > 1:
            broken.append(f"{call.id} ran {runs[call.id]} times")
        if call.is_unsafe and call.status in NOT_RUN_STATUSES and runs[call.id]:
            broken.append(f"{call.id} was told {call.status}, and ran")
        if call.status == 200 and not call.is_true:
            broken.append(f"{call.id} got an answer that is not its own")
        if call.status in (400, 404):
            broken.append(f"{call.id} was denied with {call.status}")
    broken += _check_versions(watcher)
    broken += _check_drains(site, faults)
    broken += _check_stops(site, faults, calls)
    if not any(call.status == 200 for call in calls[-CALLERS:]):
        broken.append("nothing is served after the faults")
    for host in site.hosts:
        if "event=callback-failed" in host.log_text():
            broken.append(f"{host.name} logged callback-failed")
    return broken


def _check_versions(watcher: VersionWatcher) -> list[str]:
    newest: dict[tuple[str, int], int] = {}
    broken = []
    for name, lifetime, version in watcher.seen:
        known = newest.get((name, lifetime), 0)
        if version < known:
            broken.append(f"{name} went back from version {known} to {version}")
        newest[name, lifetime] = max(known, version)
    return broken


def _check_drains(site: Site, faults: Faults) -> list[str]:
    """Find new work at leaving instances, where nothing disturbed the hosts."""
    broken = []
    for one in site.instances:
        if one.left_at is None or not _is_calm(site, faults, one):
            continue
        late = [at for at in one.backend.arrived_at if at > one.left_at + DRAIN_S]
        if late:
            after_s = late[0] - one.left_at
            name = one.backend.name
            broken.append(f"{name} got {len(late)} requests from {after_s:.2f} s on")
    return broken


def _is_calm(site: Site, faults: Faults, one: SiteInstance) -> bool:
    """Return whether hosts and store were undisturbed around a drain and after."""
    begin, end = one.left_at - CALM_S, one.left_at + DRAIN_S
    stores = any(lost < end and back > begin for lost, back in faults.store_faults)
    hosts = any(begin < at for host in site.hosts for at, _ in host.disturbed)
    return not stores and not hosts


def _check_stops(site: Site, faults: Faults, calls: list[Call]) -> list[str]:
    """Find requests that a planned stop cut, and stops that did not end well."""
    broken = [
        f"{name} ended a planned stop with exit code {code}"
        for name, code in faults.exit_codes
        if code not in (0, None)
    ]
    for host in site.hosts:
        for (began_at, what), (gone_at, _) in zip(host.disturbed, host.disturbed[1:]):
            near = [at for at, _ in host.disturbed if 0 < began_at - at < CALM_S]
            if what != "term" or near:
                continue
            cut = [
                call.id
                for call in calls
                if call.host == host.name
                and call.status == 0
                and began_at - 0.5 < call.sent_at
                and call.ended_at < gone_at - 0.3
            ]
            if cut:
                broken.append(f"{host.name}'s planned stop cut {len(cut)}: {cut[0]}")
    return broken


def main(argv: list[str]) -> int:
    """Run soaks by seed, print each, and return 1 if a promise was broken."""
    failed = 0
    for seed in range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds):
        outcome = run_soak(seed, FLAGS.length_s)
        counts = " ".join(f"{key}:{n}" for key, n in sorted(outcome.statuses.items()))
        print(f"seed {seed}: {counts}; broken {len(outcome.broken)}", flush=True)
        if outcome.broken:
            failed += 1
            print("\n".join([*outcome.faults, *outcome.broken]), flush=True)
    print(f"{FLAGS.seeds - failed} soaks passed, {failed} failed")
    return 1 if failed else 0


FLAGS = flags.FLAGS

if __name__ == "__main__":
    flags.DEFINE_integer("first_seed", 1, "The first seed.", 0)
    flags.DEFINE_integer("seeds", 1, "How many seeds to run.", 1)
    flags.DEFINE_float("length_s", 12.0, "Seconds of faults in each soak.", 1.0)
    sys.exit(app.run(main))
