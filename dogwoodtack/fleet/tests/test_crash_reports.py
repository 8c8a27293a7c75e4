"""Hosts of several zones learn of a request that crashes instances."""

import random
import unittest
from unittest import mock

from nose2.tools import params

from dogwoodtack.fleet import Fleet, PeerTable
from dogwoodtack.fleet.tests.test_peers import make_host
from dogwoodtack.placement import InstanceRegistry, Placer, RetryRules
from dogwoodtack.position import StorePosition
from dogwoodtack.quarantine import Quarantine
from lab.virtual import VirtualLoop

ZONES = ("a", "b", "c")
CRASHES = 3
# Requests that crash instances may be sent for this long after the third crash.
STABILITY_WINDOW_S = 3.0
DELAY_S = 0.001


class FakeDatagrams:
    """Datagrams between fleets of one process; a test loses some of them."""

    def __init__(self, network, reactor, address, on_message):
        self._network = network
        self._reactor = reactor
        network.receivers[address] = on_message

    def send(self, message, addresses):
        for address in addresses:
            receive = self._network.receivers[address]
            if self._network.rng.random() >= self._network.lost_ratio:
                self._reactor.call_later(DELAY_S, receive, message)


class Network:
    """The hosts of the zones, whose paths to all instances a test cuts."""

    def __init__(self, hosts_per_zone, lost_ratio):
        self.rng = random.Random(hosts_per_zone)
        self.lost_ratio = lost_ratio
        self.receivers = {}
        self.reactor = VirtualLoop()
        zones = [zone for zone in ZONES for _ in range(hosts_per_zone)]
        self.hosts = [make_host(f"h-{n}", zone) for n, zone in enumerate(zones)]
        self.tables = [PeerTable(host) for host in self.hosts]
        self.quarantines = [Quarantine() for _ in self.hosts]
        for table in self.tables:
            table.is_ready = True
            for host in self.hosts:
                table.add_record(host)
        self.fleets = [
            self.make_fleet(table, quarantine)
            for table, quarantine in zip(self.tables, self.quarantines, strict=True)
        ]
        for fleet in self.fleets:
            fleet.begin()

    def make_fleet(self, table, quarantine):
        rng = self.rng
        zone = table.local_host.zone
        placer = Placer(InstanceRegistry(), zone, rng, RetryRules(0.2, 10.0, 56.0))

        def make_datagrams(reactor, address, on_message):
            return FakeDatagrams(self, reactor, address, on_message)

        with mock.patch("dogwoodtack.fleet.fleet.Datagrams", make_datagrams):
            return Fleet(
                self.reactor,
                table,
                placer,
                quarantine,
                lambda: (7, StorePosition(1, 1), 0.0),
                lambda heartbeat: None,
            )

    def cut(self, zones):
        for table in self.tables:
            table.reaches_instances = table.local_host.zone not in zones

    def crash(self, host, digest):
        now = self.reactor.clock.monotonic()
        for number in range(CRASHES):
            self.quarantines[host].on_crash(digest, f"i-{number}/1", now)
        self.fleets[host].report_crash()

    def holding_back(self, digest):
        now = self.reactor.clock.monotonic()
        return sum(one.is_quarantined(digest, now) for one in self.quarantines)


class CrashReportTest(unittest.TestCase):
    @params(
        # hosts in each zone, zones whose hosts have lost their paths, lost datagrams
        (1, "", 0.0),
        (1, "abc", 0.0),
        (1, "a", 0.0),
        (1, "bc", 0.0),
        (4, "", 0.0),
        (4, "abc", 0.0),
        (4, "abc", 0.3),
    )
    def test_hosts_without_paths_learn_of_crashes_in_other_zones(
        self, hosts, zones_cut, lost_ratio
    ):
        """A request crashed all instances, and another zone sent it once more."""
        network = Network(hosts, lost_ratio)
        network.reactor.run_for(3.0)
        network.cut(zones_cut)
        network.reactor.run_for(2.0)
        network.crash(0, "lethal")
        network.reactor.run_for(STABILITY_WINDOW_S)
        self.assertEqual(network.holding_back("lethal"), len(network.hosts))


if __name__ == "__main__":
    unittest.main()
