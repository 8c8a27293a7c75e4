"""Measure a node's cost of updating host assignments when the membership changes."""

import time

from absl import app, flags

from dogwoodtack.catalog import Service, parse_service
from dogwoodtack.membership import (
    HostAssignments,
    Member,
    assigned_host_count,
    assigned_hosts,
)
from dogwoodtack.misc import Address

__all__ = ["FakeMembership", "change_cost_ms", "ranking_cost_ms"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("served", 29, "Services per node.")
flags.DEFINE_integer("changes", 50, "Number of hosts to replace, one after another.")
flags.DEFINE_list("members", ["36", "200", "1000", "6300"], "Fleet sizes.")

INSTANCES = 16
ZONES = 5


def _member(number: int) -> Member:
    address = Address("127.0.0.1", 10_000)
    zone = f"zone-{number % ZONES}"
    return Member(f"entry-{number}", f"{number:032x}", zone, address, address)


def _services(count: int) -> list[Service]:
    instances = [
        {"name": f"i-{number}", "address": "127.0.0.1:9000", "slots": 2}
        for number in range(INSTANCES)
    ]
    value = {"instances": instances}
    return [parse_service(f"service-{number}", value) for number in range(count)]


class FakeMembership:
    """A membership whose hosts are replaced one at a time."""

    def __init__(self, count: int) -> None:
        self._members = [_member(number) for number in range(count)]
        self._next = count
        self.local_member = self._members[-1]

    def serving_members(self) -> list[Member]:
        """Return the current members."""
        return self._members

    def replace_one(self) -> None:
        """Replace the oldest host by a new one."""
        self._members = [*self._members[1:], _member(self._next)]
        self._next += 1


def ranking_cost_ms(count: int) -> float:
    """Return the milliseconds for ranking the hosts of a fleet for one service."""
    service = _services(1)[0]
    members = FakeMembership(count).serving_members()
    started_at = time.perf_counter()
    assigned_hosts(service.name, members, assigned_host_count(service))
    return (time.perf_counter() - started_at) * 1000


def change_cost_ms(count: int) -> float:
    """Return the milliseconds for updating a node's assignments after one change."""
    membership = FakeMembership(count)
    assignments = HostAssignments(membership)
    services = _services(FLAGS.served)
    for service in services:
        assignments.for_service(service)
    started_at = time.perf_counter()
    for _ in range(FLAGS.changes):
        membership.replace_one()
        for service in services:
            assignments.for_service(service)
    return (time.perf_counter() - started_at) * 1000 / FLAGS.changes


def main(argv: list[str]) -> int:
    """Print the costs for each fleet size."""
    print("members  rank one service ms  one change ms")
    for text in FLAGS.members:
        count = int(text)
        ranking, change = ranking_cost_ms(count), change_cost_ms(count)
        print(f"{count:7d} {ranking:20.2f} {change:14.2f}")
    return 0


if __name__ == "__main__":
    app.run(main)
