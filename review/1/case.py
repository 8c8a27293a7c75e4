"""An entry of another writer ends the feed of instances of a whole zone."""

import itertools
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import support  # noqa: E402

sys.path[:0] = [str(support.ROOT / "target" / "deps"), str(support.ROOT)]

from dogwoodtack_standins.site import InstanceStandIn, StoreStandIn  # noqa: E402
from soak.proxy import FaultProxy  # noqa: E402

HOSTS = 3
# The instances that are replaced one after the other, each by one that starts first.
INSTANCES = 3
RELEASE_GAP_S = 1.0
# An instance ends so long after the store has accepted that it is draining.
SERVES_S = 5.0
CALLERS = 18
WORK_S = 0.3
# An entry as PROTOCOL.md shows it, but for bytes in its address that can't be read.
FOREIGN_ENTRY = {
    "spec": {
        "address": "10.128.0.\ufffd:8080",
        "info": {
            "service": support.SERVICE,
            "version": "v1",
            "zone": "zone-a",
            "slots": 2,
        },
        "born": 1796346000000,
    },
    "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0},
}
FOREIGN_AT_S = 3.0
RELEASE_AT_S = 8.0
END_AT_S = 20.0
# The requests of the last seconds are counted apart.
LAST_S = 4.0


class Instance:
    """An instance behind a proxy, which ends its connections when it ends."""

    def __init__(self, name, store, clean_up):
        self.name = name
        self._store = store
        self.backend = InstanceStandIn(name, WORK_S)
        self._proxy = FaultProxy(self.backend.address)
        clean_up += [self.backend.close, self._proxy.close]

    def register(self, state):
        """Write its entry, and return when the store has accepted it."""
        entry = self.backend.directory_entry(support.SERVICE, state)
        entry["spec"]["address"] = str(self._proxy.address)
        self._store.put("servers", self.name, **entry)
        return time.monotonic()

    def end(self, record):
        """End, some seconds after it has begun to drain."""
        self._proxy.close()
        self._store.delete("servers", self.name)
        record.show(f"{self.name} has ended")


def case(record, work, clean_up):
    store = StoreStandIn()
    clean_up.append(store.close)
    routes = {
        "look": support.route("/look/", "safe"),
        "book": support.route("/book/", "unsafe"),
    }
    store.put("config", "main", spec=support.configuration(1, routes))
    instances = [Instance(f"i-{n}", store, clean_up) for n in range(INSTANCES)]
    for one in instances:
        one.register("ready")
    hosts = []
    for number in range(HOSTS):
        host = support.EntryHostProcess(f"front-{number}", str(store.address), work)
        clean_up.append(host.end)
        hosts.append(host)
    for host in hosts:
        host.wait_ready()
    time.sleep(support.STABILITY_WINDOW_S)

    end_at = time.monotonic() + END_AT_S
    numbers = itertools.count(1)
    statuses = []

    def call(host):
        caller = support.Caller(host.address)
        while time.monotonic() < end_at:
            number = next(numbers)
            answer = caller.send(
                "POST", f"/book/{number}", f"{number:016x}", b"release"
            )
            statuses.append((time.monotonic(), answer.status))
            record.add(f"request {number} at {host.name}: {answer.status}")
            if answer.status != 200:
                time.sleep(0.1)
        caller.close()

    began_at = time.monotonic()
    threads = [
        threading.Thread(target=call, args=(hosts[n % HOSTS],), daemon=True)
        for n in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(FOREIGN_AT_S)
    if support.is_troubled():
        store.put("servers", "i-foreign", **FOREIGN_ENTRY)
        record.show("another writer's entry i-foreign was written")
    time.sleep(max(0.0, began_at + RELEASE_AT_S - time.monotonic()))
    acknowledged_at = {}
    successors = []
    for number, leaving in enumerate(instances):
        new = Instance(f"i-{INSTANCES + number}", store, clean_up)
        new.register("ready")
        successors.append(new)
        record.show(f"{new.name} has registered")
        time.sleep(RELEASE_GAP_S / 2)
        acknowledged_at[leaving.name] = leaving.register("draining")
        record.show(f"the store has accepted that {leaving.name} is draining")
        end = threading.Timer(SERVES_S, leaving.end, (record,))
        end.daemon = True
        end.start()
        time.sleep(RELEASE_GAP_S / 2)
    for thread in threads:
        thread.join(10.0)

    late = 0
    for leaving in instances:
        for arrival in leaving.backend.arrivals:
            after_s = arrival.at - acknowledged_at[leaving.name]
            if after_s > support.DRAIN_S:
                late += 1
                record.add(
                    f"request {arrival.request_id} reached {leaving.name} "
                    f"{after_s:.2f} s after the acknowledgement"
                )
    for host in hosts:
        for line in host.log().splitlines():
            if "callback-failed" in line or "state=leaving" in line:
                record.add(f"log of {host.name}: {line}")
    support.record_runs(record, [one.backend for one in instances + successors])
    last = [status for at, status in statuses if at > end_at - LAST_S]
    served = sum(1 for _, status in statuses if status == 200)
    record.show(f"requests {len(statuses)}, answered 200 {served}")
    record.show(f"in the last {LAST_S} s {len(last)}, answered 200 {last.count(200)}")
    record.show(f"requests that reached a draining instance after drainS: {late}")
    return late


if __name__ == "__main__":
    support.run_case(Path(__file__).resolve().parent, case)
