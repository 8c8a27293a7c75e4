"""A GET request of an unsafe route that is new to the host runs twice (TWICE)."""

import random
import threading
import time
from collections import Counter
from pathlib import Path

from support_2 import (
    Case,
    Host,
    Instance,
    StoreProxy,
    free_ports,
    route,
    send,
    specification,
    start_store,
)

SERVICE = "shop"
ZONES = ("zone-a", "zone-b", "zone-c")
INSTANCES_PER_ZONE = 2
SAFE = {"r-look": route("/shop/", "safe", SERVICE)}
WITH_UNSAFE = {**SAFE, "r-pay": route("/shop/pay/", "unsafe", SERVICE)}
# At most 0.5 of the instances lose at most 0.4 of their answers for 4 s.
LOST_SHARE = 0.4
LOST_S = 4.0
# The store turns one of three machines away for less than 9 s.
CUT_BEFORE_S = 0.5
# A version is in force this long after its acknowledgement (configS), and a margin.
CONFIG_S = 2.0
MARGIN_S = 0.5
REQUESTS = 100


def play(case):
    store = start_store(case)
    instances = [
        Instance(case, f"i-{zone[-1]}{number}", SERVICE, zone)
        for zone in ZONES
        for number in range(INSTANCES_PER_ZONE)
    ]
    for one in instances:
        store.put("servers", one.name, **one.entry())
    store.put("config", "main", spec=specification(1, SAFE, [SERVICE]))
    proxies = [StoreProxy(case, store.address) for _ in ZONES]
    ports = free_ports(5 * len(ZONES))
    hosts = [
        Host(case, f"front-{zone}", zone, ports[5 * n : 5 * n + 5], proxies[n].address)
        for n, zone in enumerate(ZONES)
    ]
    for host in hosts:
        host.wait_ready()
    time.sleep(4.0)
    cut = hosts[0]
    if case.has_trouble:
        case.note(f"the store is silent to {cut.name}")
        proxies[0].mode = "silent"
    time.sleep(CUT_BEFORE_S)
    store.put("config", "main", spec=specification(2, WITH_UNSAFE, [SERVICE]))
    case.note("version 2 is acknowledged: GET /shop/pay/ is unsafe")
    time.sleep(CONFIG_S + MARGIN_S)

    rng = random.Random(6)
    if case.has_trouble:
        for one in instances[: len(instances) // 2]:
            one.losing = lambda request_id: rng.random() < LOST_SHARE
        case.note("half of the instances lose 0.4 of their answers")
    statuses = Counter()
    sent = []
    threads = []
    for number in range(REQUESTS):
        for n, host in enumerate(hosts):
            request_id = f"{n:08x}{number:08x}"
            sent.append((request_id, host.name))

            def call(host=host, request_id=request_id, number=number):
                path = f"/shop/pay/{number}"
                answer = send(case, host, "GET", path, request_id)
                statuses[host.name, answer.status] += 1

            threads.append(threading.Thread(target=call, daemon=True))
            threads[-1].start()
        time.sleep(LOST_S / REQUESTS)
    for thread in threads:
        thread.join(6.0)
    case.note("the store serves all machines again")
    proxies[0].mode = "pass"
    for (name, status), count in sorted(statuses.items()):
        case.note(f"statuses {name} {status}: {count}")
    broken = []
    for request_id, name in sent:
        runs = sum(one.runs[request_id] for one in instances)
        if runs > 1:
            broken.append(f"TWICE: id={request_id} sent to {name} has run {runs} times")
    return broken


if __name__ == "__main__":
    Case(Path(__file__).parent).run(play)
