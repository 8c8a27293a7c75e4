"""Run a soak: inject seeded, overlapping faults, then check the guarantees."""

import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from absl import app, flags

from dogwoodtack_standins.site import LEAVING_HEADER, RATE_LIMIT_HEADER

from .callers import Call, Caller, Repeater, VersionWatcher
from .organisations import (
    CHANGES,
    KEY_PREFIX,
    LIMITED,
    OrganisationCaller,
    Organisations,
    check_calls,
    check_limits,
    run_times,
)
from .proxy import Fault
from .site import HostProcess, Site, SiteInstance

__all__ = [
    "NOT_RUN_STATUSES",
    "UNEXPECTED_EVENTS",
    "SoakResult",
    "run_seeds",
    "run_soak",
]

HOSTS = 3
INSTANCES = 5
CALLERS = 10
# Callers of one organisation that exceeds its usual rate, and for how long.
SURGE_CALLERS = 6
SURGE_S = (3.0, 6.0)
# Number of the first of them, by which its request ids differ from those of others.
SURGE_NUMBER = 100
# Disturbances of a host that last until its next one.
LASTING = ("pause", "term", "cut")
# Its hosts can be cut from each other.
PROGRAM = "soak/isolated_host.py"
SETTLE_S = 3.5
# The guaranteed limit on new requests at a draining instance, and how long hosts and
# store have to be undisturbed beforehand for it to hold.
DRAIN_LIMIT_S = 2.0
UNDISTURBED_S = 3.0
MIN_INSTANCES = 3
# No window has more requests than an instance's rate limit allows times the factor, and
# the slack.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Requests that may reach an instance from a host that it has asked for a pause, from
# shortly after that response to the end of the pause.
PAUSE_REQUESTS = 2
PAUSE_SLACK_S = 0.5
# Sends of a request that crashes instances, when so many have crashed and all was
# undisturbed since.
CRASHES = 3
LATE_SENDS = 3
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Log events of exceptions that nobody expected.
UNEXPECTED_EVENTS = ("callback-failed", "request-failed")
BEHAVIOURS = ("error", "shed", "cut", "stray", "late", "no-signature", "unframed")


class SoakResult(NamedTuple):
    """Result of a soak.

    Attributes:
        seed: seed of the faults and callers.
        faults: injected faults, with seconds from the start.
        statuses: number of calls by status.
        violations: violated guarantees, each with its evidence.
    """

    seed: int
    faults: list[str]
    statuses: Counter[int]
    violations: list[str]


class FaultInjector:
    """Injects faults, each in its own thread so that they overlap."""

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._threads: list[threading.Thread] = []
        self._began_at = time.monotonic()
        self.injected: list[str] = []
        self.store_outages: list[tuple[float, float]] = []
        self.proxy_faults: list[tuple[SiteInstance, float, float]] = []
        self.lethal: list[Repeater] = []
        self.surging: list[OrganisationCaller] = []
        self.exit_codes: list[tuple[str, int | None]] = []

    def inject(self) -> None:
        """Start one fault, chosen by the seeded generator."""
        kinds: list[Callable[[], None]] = [
            self._break_proxy,
            self._break_proxy,
            self._misbehave,
            self._misbehave,
            self._pause_host,
            self._kill_host,
            self._replace_host,
            self._stop_store,
            self._drill_store,
            self._change_version,
            self._drain_instance,
            self._announce_leaving,
            self._limit_instance,
            self._ask_for_pause,
            self._send_lethal_request,
            *[self._change_organisation] * 4,
            self._surge,
            self._surge_beside_cut,
            *[self._cut_host] * 2,
        ]
        self._rng.choice(kinds)()

    def join(self) -> None:
        """Wait until all faults have ended."""
        for thread in self._threads:
            thread.join()

    def _start_fault(self, description: str, apply_fault: Callable[[], None]) -> None:
        self.injected.append(f"{time.monotonic() - self._began_at:.2f} {description}")
        thread = threading.Thread(target=apply_fault, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _break_proxy(self) -> None:
        instance = self._rng.choice(self._site.active_instances())
        fault = self._rng.choice([fault for fault in Fault if fault is not Fault.NONE])
        seconds = self._rng.uniform(0.3, 2.0)

        def apply_fault() -> None:
            began_at = time.monotonic()
            instance.proxy.fault = fault
            time.sleep(seconds)
            instance.proxy.fault = Fault.NONE
            self.proxy_faults.append((instance, began_at, time.monotonic()))

        self._start_fault(
            f"{instance.backend.name} {fault} {seconds:.1f} s", apply_fault
        )

    def _misbehave(self) -> None:
        instance = self._rng.choice(self._site.active_instances())
        behaviour = self._rng.choice(BEHAVIOURS)
        seconds = self._rng.uniform(0.3, 2.0)

        def apply_fault() -> None:
            instance.backend.behaviour = behaviour
            time.sleep(seconds)
            instance.backend.behaviour = "ok"

        self._start_fault(
            f"{instance.backend.name} {behaviour} {seconds:.1f} s", apply_fault
        )

    def _ask_for_pause(self) -> None:
        """Let an instance reject requests and ask the hosts for a pause."""
        instance = self._rng.choice(self._site.active_instances())
        seconds = self._rng.uniform(0.3, 2.0)
        retry_after = f"{self._rng.uniform(0.6, 4.0):.2f}"

        def apply_fault() -> None:
            instance.backend.retry_after = retry_after
            instance.backend.behaviour = "shed"
            time.sleep(seconds)
            instance.backend.behaviour = "ok"
            instance.backend.retry_after = None

        self._start_fault(
            f"{instance.backend.name} asks for {retry_after} s, for {seconds:.1f} s",
            apply_fault,
        )

    def _send_lethal_request(self) -> None:
        """Begin to send a request, again and again, that crashes instances."""
        method, prefix = self._rng.choice((("GET", "look"), ("POST", "book")))
        number = len(self.lethal)
        target = f"/{prefix}/lethal-{number}"
        repeater = Repeater(self._site, method, target, f"{0xDEA0 + number:04x}")
        self.lethal.append(repeater)
        self._site.lethal_targets.add(target)
        self._start_fault(f"{method} {target} crashes instances", repeater.start)

    def _on_host(
        self, description: str, apply_fault: Callable[[HostProcess], None]
    ) -> None:
        host = self._rng.choice(self._site.hosts)

        def apply_locked() -> None:
            with host.lock:
                apply_fault(host)

        self._start_fault(f"{host.name} {description}", apply_locked)

    def _pause_host(self) -> None:
        seconds = self._rng.uniform(0.2, 1.5)
        self._on_host(f"paused {seconds:.1f} s", lambda host: host.pause(seconds))

    def _kill_host(self) -> None:
        self._on_host("killed", lambda host: host.kill())

    def _replace_host(self) -> None:
        def apply_fault(host: HostProcess) -> None:
            self.exit_codes.append((host.name, host.replace()))

        self._on_host("replaced", apply_fault)

    def _stop_store(self) -> None:
        seconds = self._rng.uniform(0.3, 2.5)

        def apply_fault() -> None:
            began_at = time.monotonic()
            self._site.store.is_down = True
            time.sleep(seconds)
            self._site.store.is_down = False
            self.store_outages.append((began_at, time.monotonic()))

        self._start_fault(f"store down {seconds:.1f} s", apply_fault)

    def _drill_store(self) -> None:
        away_s = self._rng.uniform(0.2, 1.5)
        copy_age_s = self._rng.uniform(0.5, 6.0)

        def apply_fault() -> None:
            began_at = time.monotonic()
            self._site.drill(away_s, copy_age_s)
            self.store_outages.append((began_at, time.monotonic()))

        self._start_fault(
            f"store away {away_s:.1f} s, back from {copy_age_s:.1f} s before",
            apply_fault,
        )

    def _change_version(self) -> None:
        steps = self._rng.randint(1, 3)
        self._start_fault(f"version +{steps}", lambda: self._site.raise_version(steps))

    def _change_organisation(self) -> None:
        """Change keys or the limit of an organisation in a new version."""
        name, change = self._rng.choice(LIMITED), self._rng.choice(CHANGES)

        def apply_change() -> None:
            self._site.organisations.change(name, change)

        self._start_fault(
            f"{name}: {change}", lambda: self._site.raise_version(change=apply_change)
        )

    def _surge(self) -> None:
        """Let one organisation send many times its usual rate."""
        name = self._rng.choice(LIMITED)
        seconds = self._rng.uniform(*SURGE_S)
        seed = self._rng.randrange(1_000_000)
        first = SURGE_NUMBER + len(self.surging)
        callers = [
            OrganisationCaller(self._site, seed, first + n, name, is_surging=True)
            for n in range(SURGE_CALLERS)
        ]
        self.surging += callers

        def apply_fault() -> None:
            for caller in callers:
                caller.start()
            time.sleep(seconds)
            for caller in callers:
                caller.is_stopping = True

        self._start_fault(f"{name} surges {seconds:.1f} s", apply_fault)

    def _surge_beside_cut(self) -> None:
        """Let an organisation surge while a host hears nothing of the others' part."""
        self._surge()
        self._isolate_host(Fault.NONE, SURGE_S[1])

    def _cut_host(self) -> None:
        """Cut a host from the store, or from all other hosts."""
        fault = self._rng.choice((Fault.RESET, Fault.SILENCED, Fault.NONE))
        self._isolate_host(fault, self._rng.uniform(0.5, 4.0))

    def _isolate_host(self, fault: Fault, seconds: float) -> None:
        """Apply a fault to a host's path to the store, or without one to the others."""

        def apply_fault(host: HostProcess) -> None:
            path = host.settings_path.with_suffix(".isolated")
            proxy = self._site.store_proxies[self._site.hosts.index(host)]
            host.record_disturbance("cut")
            if fault is Fault.NONE:
                path.touch()
            proxy.fault = fault
            time.sleep(seconds)
            proxy.fault = Fault.NONE
            path.unlink(missing_ok=True)
            host.record_disturbance("cut ended")

        what = "hosts" if fault is Fault.NONE else f"store ({fault})"
        self._on_host(f"cut from {what} {seconds:.1f} s", apply_fault)

    def _drain_instance(self) -> None:
        active_instances = self._site.active_instances()
        if len(active_instances) <= MIN_INSTANCES:
            return
        instance = self._rng.choice(active_instances)

        def apply_fault() -> None:
            self._site.drain(instance)
            self._site.add_instance()

        self._start_fault(f"{instance.backend.name} drains", apply_fault)

    def _announce_leaving(self) -> None:
        """Let an instance say in its responses alone that it leaves."""
        if len(self._unlimited_instances()) <= MIN_INSTANCES:
            return
        instance = self._rng.choice(self._unlimited_instances())

        def apply_fault() -> None:
            instance.backend.is_leaving = True
            self._site.add_instance()

        self._start_fault(f"{instance.backend.name} says it leaves", apply_fault)

    def _limit_instance(self) -> None:
        """Let an instance name a rate limit, once."""
        if len(self._unlimited_instances()) <= MIN_INSTANCES:
            return
        instance = self._rng.choice(self._unlimited_instances())
        limit = self._rng.choice([0.3, 1.5, 6.0])

        def apply_fault() -> None:
            instance.backend.rate_limit = limit

        self._start_fault(f"{instance.backend.name} names limit {limit}", apply_fault)

    def _unlimited_instances(self) -> list[SiteInstance]:
        return [
            one
            for one in self._site.active_instances()
            if not one.backend.is_leaving and one.backend.rate_limit is None
        ]


def run_soak(seed: int, length_s: float) -> SoakResult:
    """Run one soak and return its result.

    Args:
        length_s: seconds in which faults are injected.
    """
    rng = random.Random(seed)
    site = Site(HOSTS, INSTANCES, program=PROGRAM, organisations=Organisations())
    try:
        site.wait_ready()
        callers: list[Caller] = [
            OrganisationCaller(site, seed, CALLERS + number, name)
            for number, name in enumerate(LIMITED)
        ]
        callers += [Caller(site, seed, number) for number in range(CALLERS)]
        watcher = VersionWatcher(site)
        for thread in (*callers, watcher):
            thread.start()
        injector = FaultInjector(site, rng)
        end = time.monotonic() + length_s
        while time.monotonic() < end:
            time.sleep(rng.uniform(0.1, 0.8))
            injector.inject()
        injector.join()
        time.sleep(SETTLE_S)
        for thread in (*callers, watcher, *injector.lethal):
            thread.is_stopping = True
        callers = [*injector.surging, *callers]
        for thread in (*callers, *injector.lethal):
            thread.join(10.0)
        calls = [call for caller in callers for call in caller.calls]
        violations = _check(site, injector, calls, watcher)
        statuses = Counter(call.status for call in calls)
        return SoakResult(seed, injector.injected, statuses, violations)
    finally:
        site.close()


def _check(
    site: Site, injector: FaultInjector, calls: list[Call], watcher: VersionWatcher
) -> list[str]:
    """Return the violated guarantees."""
    runs = Counter(
        run.request_id for instance in site.instances for run in instance.backend.ran
    )
    violations = []
    for call in calls:
        if call.is_non_idempotent and runs[call.id] > 1:
            violations.append(f"{call.id} ran {runs[call.id]} times")
        if call.is_non_idempotent and call.status in NOT_RUN_STATUSES and runs[call.id]:
            violations.append(f"{call.id} got status {call.status} but was executed")
        if call.status == 200 and not call.is_correct:
            violations.append(f"{call.id} got a wrong or incomplete response")
        if call.status in (400, 404):
            violations.append(f"{call.id} was rejected with status {call.status}")
    violations += _check_versions(watcher)
    violations += _check_drains(site, injector)
    violations += _check_notices(site)
    violations += _check_pauses(site, injector, calls)
    violations += _check_lethal(site, injector, runs)
    violations += _check_stops(site, injector, calls)
    violations += _check_organisations(site, injector, calls)
    if not any(call.status == 200 for call in calls[-CALLERS:]):
        violations.append("no request succeeds after the faults")
    for host in site.hosts:
        for event in UNEXPECTED_EVENTS:
            if f"event={event} " in host.log_text():
                violations.append(f"{host.name} logged {event}")
    return violations


def _check_versions(watcher: VersionWatcher) -> list[str]:
    newest_versions: dict[tuple[str, int], int] = {}
    violations = []
    for name, generation, version in watcher.observed:
        newest = newest_versions.get((name, generation), 0)
        if version < newest:
            violations.append(f"{name} went back from version {newest} to {version}")
        newest_versions[name, generation] = max(newest, version)
    return violations


def _check_drains(site: Site, injector: FaultInjector) -> list[str]:
    """Find late requests at draining instances while hosts were undisturbed."""
    violations = []
    for instance in site.instances:
        if instance.drained_at is None or not _is_undisturbed(site, injector, instance):
            continue
        late = [
            at
            for at in instance.backend.arrived_at
            if at > instance.drained_at + DRAIN_LIMIT_S
        ]
        if late:
            after_s = late[0] - instance.drained_at
            name = instance.backend.name
            violations.append(
                f"{name} got {len(late)} requests from {after_s:.2f} s on"
            )
    return violations


def _check_notices(site: Site) -> list[str]:
    """Find requests that instances did not want, from hosts that were undisturbed."""
    violations = []
    for instance in site.instances:
        backend = instance.backend
        if instance.crashes:
            # What it has said does not hold for its next start.
            continue
        said_at = backend.noticed_at.get(LEAVING_HEADER)
        if said_at is not None and not _are_hosts_disturbed(site, said_at):
            late = [at for at in backend.arrived_at if at > said_at + DRAIN_LIMIT_S]
            if late:
                violations.append(f"{backend.name} left and got {len(late)} requests")
        named_at = backend.noticed_at.get(RATE_LIMIT_HEADER)
        if named_at is not None and not _are_hosts_disturbed(site, named_at):
            times = [at for at in backend.arrived_at if at > named_at + UNDISTURBED_S]
            most = most_in_window(times, LIMIT_WINDOW_S)
            allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * backend.rate_limit + LIMIT_SLACK
            if most > allowed:
                violations.append(f"{backend.name} got {most}, allowed {allowed:.0f}")
    return violations


def _check_pauses(site: Site, injector: FaultInjector, calls: list[Call]) -> list[str]:
    """Find requests from undisturbed hosts within the pauses that these were told of.

    A host that has lost its paths sends through others; then senders are not known.
    """
    if any("event=instance-paths lost=True" in host.log_text() for host in site.hosts):
        return []
    host_names = {call.id: call.host for call in calls}
    hosts = {host.name: host for host in site.hosts}
    violations = []
    for instance in site.instances:
        for pause in instance.backend.pauses:
            host = hosts.get(host_names.get(pause.request_id))
            begin = pause.at - UNDISTURBED_S
            end = pause.at + float(pause.retry_after)
            if host is None or any(begin < at < end for at, _ in host.disturbances):
                continue
            if any(pause.at < at < end for at, _ in instance.crashes):
                # Its next start has not asked for it.
                continue
            if any(
                one is instance and began_at < end and ended_at > begin
                for one, began_at, ended_at in injector.proxy_faults
            ):
                continue
            late = [
                arrival.request_id
                for arrival in instance.backend.arrivals
                if pause.at + PAUSE_SLACK_S < arrival.at < end
                and host_names.get(arrival.request_id) == host.name
            ]
            if len(late) > PAUSE_REQUESTS:
                violations.append(
                    f"{instance.backend.name} got {len(late)} from {host.name} in a"
                    f" pause of {pause.retry_after} s: {late[0]}"
                )
    return violations


def _check_lethal(site: Site, injector: FaultInjector, runs: Counter[str]) -> list[str]:
    """Find requests that went on crashing instances, and untrue rejections of them."""
    disturbed_at = [at for host in site.hosts for at, _ in host.disturbances]
    violations = []
    for repeater in injector.lethal:
        crashed_at = sorted(
            at
            for instance in site.instances
            for at, target in instance.crashes
            if target == repeater.target
        )
        arrived_at = [
            arrival.at
            for instance in site.instances
            for arrival in instance.backend.arrivals
            if arrival.request_id in repeater.results
        ]
        late = [
            at
            for at in arrived_at
            if len(crashed_at) >= CRASHES
            and at > crashed_at[CRASHES - 1] + UNDISTURBED_S
            and not any(at - UNDISTURBED_S < other < at for other in disturbed_at)
            and not _is_store_disturbed(injector, at - UNDISTURBED_S, at)
        ]
        if len(late) > LATE_SENDS:
            violations.append(
                f"{repeater.target} was sent {len(late)} times after {CRASHES} crashes"
            )
        untrue = [
            request_id
            for request_id, (_, status, _) in repeater.results.items()
            if status in NOT_RUN_STATUSES and runs[request_id]
        ]
        if untrue:
            violations.append(f"{untrue[0]} was rejected but was executed")
    return violations


def _is_store_disturbed(injector: FaultInjector, begin: float, end: float) -> bool:
    return any(lost < end and back > begin for lost, back in injector.store_outages)


def most_in_window(times: list[float], window_s: float) -> int:
    """Return the largest number of times within a window."""
    counts = (
        sum(1 for at in times if start <= at < start + window_s) for start in times
    )
    return max(counts, default=0)


def _are_hosts_disturbed(site: Site, since: float) -> bool:
    """Return whether a host was disturbed from shortly before a time on."""
    return any(
        at > since - UNDISTURBED_S for host in site.hosts for at, _ in host.disturbances
    )


def _is_undisturbed(
    site: Site, injector: FaultInjector, instance: SiteInstance
) -> bool:
    """Return whether hosts and store were undisturbed before and during a drain."""
    begin, end = (
        instance.drained_at - UNDISTURBED_S,
        instance.drained_at + DRAIN_LIMIT_S,
    )
    is_store_disturbed = _is_store_disturbed(injector, begin, end)
    are_hosts_disturbed = any(
        begin < at for host in site.hosts for at, _ in host.disturbances
    )
    return not is_store_disturbed and not are_hosts_disturbed


def _check_stops(site: Site, injector: FaultInjector, calls: list[Call]) -> list[str]:
    """Find requests that a planned stop cut, and planned stops that failed."""
    violations = [
        f"{name} ended a planned stop with exit code {code}"
        for name, code in injector.exit_codes
        if code not in (0, None)
    ]
    for host in site.hosts:
        for (began_at, description), (ended_at, _) in zip(
            host.disturbances, host.disturbances[1:]
        ):
            earlier = [
                at for at, _ in host.disturbances if 0 < began_at - at < UNDISTURBED_S
            ]
            if description != "term" or earlier:
                continue
            cut = [
                call.id
                for call in calls
                if call.host == host.name
                and call.status == 0
                and began_at - 0.5 < call.sent_at
                and call.ended_at < ended_at - 0.3
            ]
            if cut:
                violations.append(
                    f"{host.name}'s planned stop cut {len(cut)}: {cut[0]}"
                )
    return violations


def _check_organisations(
    site: Site, injector: FaultInjector, calls: list[Call]
) -> list[str]:
    """Find violated guarantees to and about organisations."""
    ran = [run for instance in site.instances for run in instance.backend.ran]
    by_host = {
        host.name: _intervals(host) + injector.store_outages for host in site.hosts
    }
    # The name of a caller's host before its first connection.
    by_host[""] = every = sum(by_host.values(), [])
    violations = check_calls(calls, ran, site.organisations, by_host)
    violations += check_limits(run_times(ran), site.organisations.history, every)
    violations += [
        f"{host.name} logged a key"
        for host in site.hosts
        if KEY_PREFIX in host.log_text()
    ]
    return violations


def _intervals(host: HostProcess) -> list[tuple[float, float]]:
    """Return begin and end of each time in which a host was disturbed."""
    ends = [at for at, _ in host.disturbances[1:]]
    return [
        (at, end if description in LASTING else at)
        for (at, description), end in zip(host.disturbances, [*ends, time.monotonic()])
    ]


def run_seeds(seeds: range, run: Callable[[int], SoakResult]) -> int:
    """Run a soak for each seed, print results and return how many were violated."""
    failed = 0
    for seed in seeds:
        result = run(seed)
        counts = " ".join(f"{key}:{n}" for key, n in sorted(result.statuses.items()))
        found = len(result.violations)
        print(f"seed {seed}: {counts}; violations {found}", flush=True)
        if result.violations:
            failed += 1
            print("\n".join([*result.faults, *result.violations]), flush=True)
    print(f"{len(seeds) - failed} soaks passed, {failed} failed")
    return failed


def main(argv: list[str]) -> int:
    """Run a soak for each seed and return 1 if a guarantee was violated."""
    seeds = range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds)
    return 1 if run_seeds(seeds, lambda seed: run_soak(seed, FLAGS.length_s)) else 0


FLAGS = flags.FLAGS

if __name__ == "__main__":
    flags.DEFINE_integer("first_seed", 1, "Seed of the first soak.", 0)
    flags.DEFINE_integer("seeds", 1, "Number of seeds to run.", 1)
    flags.DEFINE_float("length_s", 12.0, "Seconds of faults in each soak.", 1.0)
    sys.exit(app.run(main))
