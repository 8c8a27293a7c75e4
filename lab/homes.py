"""Compare strategies for assigning entry hosts to services.

Five strategies are compared: all hosts, rendezvous hashing, rendezvous hashing with the
hosts spread evenly over the zones, fixed groups of hosts, and the shifted declustering
layout (Zhu, Gu, Wang: "Shifted Declustering").
"""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

import numpy as np
from absl import app, flags

__all__ = ["AssignmentStats", "measure", "simulate_queues"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("hosts", 6300, "Number of entry hosts.")
flags.DEFINE_integer("zones", 5, "Number of availability zones.")
flags.DEFINE_integer("services", 5000, "Number of services.")
flags.DEFINE_integer("size", 36, "Hosts assigned to a service.")
flags.DEFINE_integer("seed", 1, "Random seed.")
flags.DEFINE_list(
    "queue_sizes",
    ["1", "3", "6", "12", "18", "36", "72"],
    "Numbers of assigned hosts for the queue simulation.",
)

SAMPLED_HOSTS = 40


class Fleet(NamedTuple):
    """The hosts and services of one comparison.

    Attributes:
        zones: zone of each host.
        weights: rendezvous weight of each service on each host, drawn at random.
    """

    zones: np.ndarray
    weights: np.ndarray


class AssignmentStats(NamedTuple):
    """Properties of one assignment strategy.

    Attributes:
        max_load_ratio: services on the busiest host, relative to the mean.
        max_takeover_share: largest share of a lost host's load that one other host
            takes over.
        min_hosts_after_zone_loss: fewest hosts that any service keeps when a zone is
            lost.
        moved_ratio: assignments that change when one host leaves for good, relative to
            the assignments of that host.
        sharing_hosts: mean number of hosts that share a service with a host.
    """

    max_load_ratio: float
    max_takeover_share: float
    min_hosts_after_zone_loss: int
    moved_ratio: float
    sharing_hosts: float


AssignmentStrategy = Callable[[Fleet, np.ndarray, int], np.ndarray]


def choose_all(fleet: Fleet, alive: np.ndarray, size: int) -> np.ndarray:
    """Assign all hosts to every service."""
    return np.tile(alive, (fleet.weights.shape[0], 1))


def choose_rendezvous(fleet: Fleet, alive: np.ndarray, size: int) -> np.ndarray:
    """Assign the hosts of lowest weight."""
    nearest = np.argpartition(fleet.weights[:, alive], size - 1, axis=1)
    return alive[nearest[:, :size]]


def choose_rendezvous_by_zone(fleet: Fleet, alive: np.ndarray, size: int) -> np.ndarray:
    """Assign the hosts of lowest weight, spread evenly over the zones."""
    zones = np.unique(fleet.zones)
    chosen = []
    for index, zone in enumerate(zones):
        share = size // len(zones) + (index < size % len(zones))
        in_zone = alive[fleet.zones[alive] == zone]
        if share and len(in_zone):
            share = min(share, len(in_zone))
            nearest = np.argpartition(fleet.weights[:, in_zone], share - 1, axis=1)
            chosen.append(in_zone[nearest[:, :share]])
    return np.concatenate(chosen, axis=1)


def choose_groups(fleet: Fleet, alive: np.ndarray, size: int) -> np.ndarray:
    """Split the hosts, zones interleaved, into groups, and hash services to groups."""
    by_zone = [alive[fleet.zones[alive] == zone] for zone in np.unique(fleet.zones)]
    largest_zone = max(len(zone_hosts) for zone_hosts in by_zone)
    order = [
        zone_hosts[at]
        for at in range(largest_zone)
        for zone_hosts in by_zone
        if at < len(zone_hosts)
    ]
    count = max(1, len(order) // size)
    groups = np.array_split(np.array(order), count)
    width = min(len(group) for group in groups)
    table = np.array([group[:width] for group in groups])
    group_indexes = (fleet.weights[:, 0] * count).astype(int) % count
    return table[group_indexes]


def largest_prime(limit: int) -> int:
    """Return the largest prime up to a limit."""
    number = limit
    while any(number % divisor == 0 for divisor in range(2, int(number**0.5) + 1)):
        number -= 1
    return number


def choose_shifted(fleet: Fleet, alive: np.ndarray, size: int) -> np.ndarray:
    """Assign hosts by shifted declustering over a prime number of hosts."""
    count = largest_prime(len(alive))
    service = np.arange(fleet.weights.shape[0])
    shift = (service // count) % (count - 1) + 1
    at = np.arange(min(size, count))
    return alive[(service[:, None] + at[None, :] * shift[:, None]) % count]


STRATEGIES: dict[str, AssignmentStrategy] = {
    "all hosts": choose_all,
    "rendezvous": choose_rendezvous,
    "rendezvous by zones": choose_rendezvous_by_zone,
    "fixed groups": choose_groups,
    "shifted declustering": choose_shifted,
}


def assignment_table(assigned: np.ndarray, hosts: int) -> np.ndarray:
    """Return a table of services by hosts, true where the host is assigned."""
    table = np.zeros((assigned.shape[0], hosts), dtype=bool)
    np.put_along_axis(table, assigned, True, axis=1)
    return table


def measure(
    fleet: Fleet, choose: AssignmentStrategy, size: int, rng: random.Random
) -> AssignmentStats:
    """Measure one assignment strategy.

    A service's load is split evenly over its assigned hosts.  When a host is lost, its
    share goes evenly to the other hosts of each of its services.

    Args:
        size: hosts assigned to a service.
        rng: draws the hosts that are lost.
    """
    hosts = len(fleet.zones)
    alive = np.arange(hosts)
    assigned = choose(fleet, alive, size)
    table = assignment_table(assigned, hosts)
    load = table.sum(axis=0)
    min_hosts_after_zone_loss = min(
        int((fleet.zones[assigned] != zone).sum(axis=1).min())
        for zone in np.unique(fleet.zones)
    )
    takeover_shares, moved_ratio, sharing_hosts = [], [], []
    for lost in rng.sample(range(hosts), min(SAMPLED_HOSTS, hosts)):
        shared = table[table[:, lost]].sum(axis=0)
        shared[lost] = 0
        if load[lost]:
            takeover_shares.append(shared.max() / max(1, shared.sum()))
            sharing_hosts.append((shared > 0).sum())
            after = assignment_table(choose(fleet, alive[alive != lost], size), hosts)
            changed = (after & ~table).sum()
            moved_ratio.append(changed / load[lost])
    return AssignmentStats(
        max_load_ratio=float(load.max() / load.mean()),
        max_takeover_share=float(np.mean(takeover_shares)),
        min_hosts_after_zone_loss=min_hosts_after_zone_loss,
        moved_ratio=float(np.mean(moved_ratio)),
        sharing_hosts=float(np.mean(sharing_hosts)),
    )


class QueueStats(NamedTuple):
    """How well hosts balance instances without knowing each other's requests.

    Attributes:
        full_instance_share: share of requests sent to an instance without a free slot.
        samples_per_s: samples of one instance that one host collects per second.
    """

    full_instance_share: float
    samples_per_s: float


def simulate_queues(
    host_count: int, load: float, seed: int, instances: int = 16, slots: int = 2
) -> QueueStats:
    """Simulate a service at a load and return how often a full instance was chosen.

    Each host knows only its own requests and sends to the instance on which it has the
    fewest.  Service times are exponentially distributed with a mean of 20 ms.

    Args:
        host_count: hosts assigned to the service.
        load: offered load as a share of the capacity.
    """
    rng = random.Random(seed)
    mean_s = 0.02
    rate = load * instances * slots / mean_s
    in_flight_by_host = [[0] * instances for _ in range(host_count)]
    in_flight = [0] * instances
    ends: list[tuple[float, int, int]] = []
    now_s, full_choices, count = 0.0, 0, 40_000
    for _ in range(count):
        now_s += rng.expovariate(rate)
        while ends and ends[0][0] <= now_s:
            _, host, instance = heapq.heappop(ends)
            in_flight_by_host[host][instance] -= 1
            in_flight[instance] -= 1
        host = rng.randrange(host_count)
        fewest = min(in_flight_by_host[host])
        instance = rng.choice(
            [
                at
                for at, requests in enumerate(in_flight_by_host[host])
                if requests == fewest
            ]
        )
        full_choices += in_flight[instance] >= slots
        in_flight_by_host[host][instance] += 1
        in_flight[instance] += 1
        wait = mean_s * max(0, in_flight[instance] - slots) / slots
        heapq.heappush(
            ends, (now_s + wait + rng.expovariate(1 / mean_s), host, instance)
        )
    return QueueStats(full_choices / count, rate / instances / host_count)


def main(argv: list[str]) -> int:
    """Print both tables."""
    rng = np.random.default_rng(FLAGS.seed)
    fleet = Fleet(
        zones=np.arange(FLAGS.hosts) % FLAGS.zones,
        weights=rng.random((FLAGS.services, FLAGS.hosts), dtype=np.float32),
    )
    print(
        f"{FLAGS.hosts} hosts, {FLAGS.zones} zones, {FLAGS.services} services, "
        f"{FLAGS.size} assigned hosts per service, seed {FLAGS.seed}"
    )
    print("strategy             max load  takeover  zone loss   moved   sharing")
    for name, choose in STRATEGIES.items():
        if choose is choose_all and FLAGS.hosts > 500:
            print(f"{name:20s}  (every host is assigned to every service)")
            continue
        stats = measure(fleet, choose, FLAGS.size, random.Random(FLAGS.seed))
        print(
            f"{name:20s} {stats.max_load_ratio:8.2f} {stats.max_takeover_share:9.4f}"
            f" {stats.min_hosts_after_zone_loss:10d}"
            f" {stats.moved_ratio:7.1f} {stats.sharing_hosts:9.1f}"
        )
    print("\n   hosts  load  sent to a full instance  samples/s of one instance")
    for text in FLAGS.queue_sizes:
        for load in (0.3, 0.6, 0.9):
            stats = simulate_queues(int(text), load, FLAGS.seed)
            print(
                f"{text:>8s} {load:5.0%} {stats.full_instance_share:24.1%}"
                f" {stats.samples_per_s:26.2f}"
            )
    return 0


if __name__ == "__main__":
    app.run(main)
