"""Hosts that read from a host whose own path to the store was cut miss a removal."""

import hashlib
import itertools
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import support  # noqa: E402

sys.path[:0] = [str(support.ROOT / "target" / "deps"), str(support.ROOT)]

from dogwoodtack_standins.site import InstanceStandIn, StoreStandIn  # noqa: E402
from soak.proxy import Fault, FaultProxy  # noqa: E402

HOSTS = 3
INSTANCES = 4
CALLERS = 10
WORK_S = 0.3
# When the path of one host to the store is cut, for how long, and how long after its
# return an instance leaves.
ROUNDS = [(4.0, 2.0, 1.0), (24.0, 2.0, 1.2), (44.0, 2.0, 1.4)]
# The instance serves so long after its entry was removed.
SERVES_S = support.DRAIN_S + 6.0
# Another instance takes its place so long after it has ended.
REPLACED_AFTER_S = 4.0
END_AT_S = 62.0


class Instance:
    """An instance behind a proxy, which ends its connections when it ends."""

    def __init__(self, name, store, clean_up):
        self.name = name
        self._store = store
        self.backend = InstanceStandIn(name, WORK_S)
        self._proxy = FaultProxy(self.backend.address)
        self.removed_at = None
        clean_up += [self.backend.close, self._proxy.close]

    def register(self):
        """Write its entry."""
        entry = self.backend.directory_entry(support.SERVICE)
        entry["spec"]["address"] = str(self._proxy.address)
        self._store.put("servers", self.name, **entry)

    def leave(self):
        """Remove its entry, and end some seconds later."""
        self._store.delete("servers", self.name)
        self.removed_at = time.monotonic()
        end = threading.Timer(SERVES_S, self._proxy.close)
        end.daemon = True
        end.start()


def case(record, work, clean_up):
    store = StoreStandIn()
    clean_up.append(store.close)
    routes = {"book": support.route("/book/", "unsafe")}
    store.put("config", "main", spec=support.configuration(1, routes))
    instances = [Instance(f"i-{n}", store, clean_up) for n in range(INSTANCES)]
    for one in instances:
        one.register()
    hosts, proxies = {}, {}
    for number in range(HOSTS):
        name = f"front-{number}"
        proxies[name] = FaultProxy(store.address)
        hosts[name] = support.EntryHostProcess(name, str(proxies[name].address), work)
        clean_up += [proxies[name].close, hosts[name].end]
    for host in hosts.values():
        host.wait_ready()
    # Equal hosts rank by the hash of their names; the first one reads the store.
    reader = min(hosts, key=lambda name: hashlib.sha256(name.encode()).hexdigest())
    record.show(f"{reader} reads the store for the others")
    time.sleep(support.STABILITY_WINDOW_S)

    began_at = time.monotonic()
    numbers = itertools.count(1)
    calm = [host for name, host in hosts.items() if name != reader]
    statuses = []

    def call(host):
        caller = support.Caller(host.address)
        while time.monotonic() < began_at + END_AT_S:
            number = next(numbers)
            answer = caller.send(
                "POST", f"/book/{number}", f"{number:016x}", b"release"
            )
            statuses.append(answer.status)
            record.add(f"request {number:016x} at {host.name}: {answer.status}")
            if answer.status != 200:
                time.sleep(0.1)
        caller.close()

    threads = [
        threading.Thread(target=call, args=(calm[n % len(calm)],), daemon=True)
        for n in range(CALLERS)
    ]
    for thread in threads:
        thread.start()

    def wait_until(at_s):
        time.sleep(max(0.0, began_at + at_s - time.monotonic()))

    leaving = []
    for number, (at_s, for_s, pause_s) in enumerate(ROUNDS):
        wait_until(at_s)
        if support.is_troubled():
            proxies[reader].fault = Fault.SILENCED
            record.show(f"{reader} is cut off from the store")
        wait_until(at_s + for_s)
        if support.is_troubled():
            proxies[reader].fault = Fault.NONE
            record.show(f"{reader} reaches the store again")
        wait_until(at_s + for_s + pause_s)
        one = instances[number]
        one.leave()
        record.show(f"the entry of {one.name} is removed")
        leaving.append(one)
        wait_until(at_s + for_s + pause_s + SERVES_S + REPLACED_AFTER_S)
        new = Instance(f"i-{INSTANCES + number}", store, clean_up)
        new.register()
        instances.append(new)
    for thread in threads:
        thread.join(10.0)

    support.record_runs(record, [one.backend for one in instances])
    late = 0
    for one in leaving:
        after = [arrival.at - one.removed_at for arrival in one.backend.arrivals]
        count = sum(1 for after_s in after if after_s > support.DRAIN_S)
        late += count
        record.show(
            f"last request at {one.name} {max(after):.2f} s after its removal, "
            f"{count} later than drainS"
        )
    for host in hosts.values():
        for line in host.log().splitlines():
            if any(word in line for word in ("store-", "-held", "state=gone")):
                record.add(f"log of {host.name}: {line}")
    record.show(f"requests {len(statuses)}, answered 200 {statuses.count(200)}")
    record.show(f"requests later than drainS: {late}")
    return late


if __name__ == "__main__":
    support.run_case(Path(__file__).resolve().parent, case)
