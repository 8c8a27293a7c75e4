"""Tests of which host writes which records, and at how many calls to the store."""

import random
import unittest
from collections import Counter
from types import SimpleNamespace

from nose2.tools import params

from dogwoodtack.entry.host_records import HostRecords
from dogwoodtack.errors import StoreError
from dogwoodtack.fleet import PeerTable
from dogwoodtack.fleet.tests.test_peers import make_heartbeat, make_host
from lab.virtual import VirtualLoop

SETTLE_S = 8.0
HEARTBEAT_S = 0.4
# The users' bound on how long a change in the store takes to reach every host.
CATCH_UP_S = 4.0


class RecordStore:
    """The records of one zone, and the calls made for them."""

    def __init__(self):
        self.records = {}
        self.calls = Counter()
        self.failures = 0

    def read_hosts(self, zone, on_done):
        self.calls["list"] += 1
        if self.failures:
            self.failures -= 1
            on_done(None, StoreError("status 503"))
        else:
            on_done(list(self.records.values()), None)

    def announce(self, record, on_done):
        self.calls["write"] += 1
        if self.failures:
            self.failures -= 1
            on_done(StoreError("status 503"))
        else:
            self.records[record.name] = record
            on_done(None)


class Zone:
    """Hosts of one zone, the first of which reads the store, in virtual time."""

    def __init__(self, count):
        self.reactor = VirtualLoop(100.0)
        self.store = RecordStore()
        self.hosts = {}
        for number in range(count):
            self.start(number)
        self.run(SETTLE_S)

    def start(self, number):
        """Start a host, which knows nothing, in place of one of the same number."""
        record = make_host(f"h-{number}")
        peer_table = PeerTable(record)
        fleet = SimpleNamespace(
            introduce=lambda addresses: None, is_zone_gateway=lambda: False
        )
        feed = SimpleNamespace(reads_store=number == 0, begin=lambda: None)
        host = HostRecords(
            self.reactor, self.store, fleet, feed, peer_table, random.Random(number)
        )
        self.hosts[number] = (peer_table, host)
        host.begin()

    def run(self, seconds):
        for _ in range(round(seconds / HEARTBEAT_S)):
            now = self.reactor.clock.monotonic()
            for peer_table, _host in self.hosts.values():
                for other, _host in self.hosts.values():
                    heartbeat = make_heartbeat(other.local_host)
                    peer_table.on_heartbeat(heartbeat, now)
            self.reactor.run_for(HEARTBEAT_S)

    def restore(self, kept):
        """Let the store come back with the first `kept` records."""
        names = sorted(self.store.records)[:kept]
        self.store.records = {name: self.store.records[name] for name in names}
        self.store.calls.clear()
        for _peer_table, host in self.hosts.values():
            host.on_store_restored()


class HostRecordsTest(unittest.TestCase):
    def check_all_are_listed(self, zone):
        expected = [f"h-{number}" for number in zone.hosts]
        self.assertEqual(sorted(zone.store.records), sorted(expected))

    @params(1, 3, 9)
    def test_start_of_a_zone(self, count):
        zone = Zone(count)
        self.check_all_are_listed(zone)
        self.assertEqual(zone.store.calls["write"], count)
        # Two for each host, and one more for the reader once all have started.
        self.assertLessEqual(zone.store.calls["list"], 2 * count + 1)

    @params(9, 8, 4, 0)
    def test_restored_copy_costs_one_list_and_the_missing_writes(self, kept):
        zone = Zone(9)
        zone.restore(kept)
        zone.run(SETTLE_S)
        self.check_all_are_listed(zone)
        self.assertEqual(zone.store.calls, Counter(list=1, write=9 - kept))

    def test_reader_that_started_after_the_return(self):
        """It never knew that the copy lacks the records of hosts that run on."""
        zone = Zone(4)
        zone.restore(0)
        zone.start(0)
        zone.run(SETTLE_S)
        self.check_all_are_listed(zone)

    @params(3, 9)
    def test_reader_that_starts_while_the_store_is_away(self, count):
        """The records of few hosts are all there soon after the store's return."""
        zone = Zone(count)
        zone.restore(0)
        zone.store.failures = 1
        zone.start(0)
        zone.run(CATCH_UP_S)
        self.check_all_are_listed(zone)

    @params(1, 2, 3)
    def test_failed_calls_are_made_again(self, failures):
        zone = Zone(4)
        zone.restore(1)
        zone.store.failures = failures
        zone.run(2 * SETTLE_S)
        self.check_all_are_listed(zone)

    def test_calm_zone_makes_no_calls(self):
        zone = Zone(9)
        zone.store.calls.clear()
        zone.run(60.0)
        self.assertEqual(zone.store.calls.total(), 0)
