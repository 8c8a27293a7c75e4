"""Tests of which hosts are alive, serve, and read the store."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.fleet import Heartbeat, HostRecord, PeerTable, ServingHost
from dogwoodtack.fleet.records import ZoneHosts
from dogwoodtack.misc import Address
from dogwoodtack.position import StorePosition


def make_host(name, zone="a", capacity=0.86):
    number = int(name.rsplit("-", 1)[1])
    addresses = [Address(f"10.0.0.{number}", port) for port in (1, 2, 3)]
    return HostRecord(name, zone, *addresses, capacity)


def make_heartbeat(host, ready=True, age_s=0.1, interval_s=0.4, reaches=True):
    return Heartbeat(
        host, ready, 7, StorePosition(2, 5), age_s, interval_s, {}, [], reaches, {}
    )


def make_peer_table(capacities, zone="a", now=100.0, **heartbeat):
    """Return the first host's peer table with heartbeats of all the others."""
    hosts = [make_host(f"h-{n}", zone, s) for n, s in enumerate(capacities)]
    peer_table = PeerTable(hosts[0])
    peer_table.is_ready = True
    for host in hosts[1:]:
        peer_table.on_heartbeat(make_heartbeat(host, **heartbeat), now)
    return peer_table


class ConfirmingTest(unittest.TestCase):
    @params(
        # peers of the zone with the age of their store data, zones of others; zones of
        # the hosts that are asked
        ([], [], []),
        ([0.1, 0.1], [], ["a"]),
        ([9.0, 0.1], [], ["a"]),
        # Cut off too, as far as is known: it may have just lost its reader.
        ([9.0, 9.0], ["b"], ["a", "b"]),
        ([], ["b", "c"], ["b or c"]),
        ([0.1], ["b", "b"], ["a", "b"]),
    )
    def test_hosts_that_are_asked(self, ages_s, other_zones, expected):
        peer_table = PeerTable(make_host("h-0"))
        fresh = set()
        zones = {}
        for number, age_s in enumerate(ages_s, 1):
            host = make_host(f"h-{number}")
            zones[host.relay_address] = "a"
            if age_s < 1.0:
                fresh.add(host.relay_address)
            peer_table.on_heartbeat(make_heartbeat(host, age_s=age_s), 100.0)
        for number, zone in enumerate(other_zones, 50):
            host = make_host(f"h-{number}", zone)
            zones[host.relay_address] = zone
            peer_table.add_record(host)
        for seed in range(5):
            found = peer_table.confirming_addresses(100.0, random.Random(seed))
            self.assertEqual(len(found), len(expected))
            for address, zone in zip(found, expected, strict=True):
                self.assertIn(zones[address], zone)
            if fresh:
                self.assertIn(found[0], fresh)

    def test_all_followers_ask_the_reader(self):
        hosts = [make_host(f"h-{n}") for n in range(6)]
        asked = set()
        for local_host in hosts:
            peer_table = PeerTable(local_host)
            for host in hosts:
                peer_table.on_heartbeat(make_heartbeat(host), 100.0)
            reader = peer_table.store_reader(100.0)
            if reader is not None:
                [first] = peer_table.confirming_addresses(100.0, random.Random(1))
                self.assertEqual(first, reader.heartbeat.host.relay_address)
                asked.add(first)
        self.assertEqual(len(asked), 1)


class ServingTest(unittest.TestCase):
    @params(
        # capacities of the zone's hosts, slots of its instances, serving hosts
        ([0.86] * 12, 22, 3),
        ([0.86] * 12, 300, 6),
        ([0.86] * 2, 22, 2),
        ([0.86], 22, 1),
        ([2.15, 2.15] + [0.25] * 34, 69, 2),
        ([2.15, 2.15] + [0.25] * 34, 300, 5),
        ([2.15] + [0.25] * 10, 22, 2),
    )
    def test_serving_count(self, capacities, slots, expected):
        serving = make_peer_table(capacities).serving_hosts(slots, 100.0)
        self.assertEqual(len(serving), expected)
        largest = sorted(capacities, reverse=True)[:expected]
        found = sorted((one.capacity for one in serving), reverse=True)
        self.assertEqual(found, largest)

    def test_all_hosts_agree_on_serving_hosts(self):
        hosts = [make_host(f"h-{n}") for n in range(8)]
        results = set()
        for local_host in hosts:
            peer_table = PeerTable(local_host)
            peer_table.is_ready = True
            for host in hosts:
                peer_table.on_heartbeat(make_heartbeat(host), 100.0)
            results.add(tuple(one.name for one in peer_table.serving_hosts(22, 100.0)))
        self.assertEqual(len(results), 1)

    @params((0.4, 1.0, True), (0.4, 1.5, False), (2.0, 5.0, True), (2.0, 7.0, False))
    def test_alive_until_three_heartbeats_are_missed(
        self, interval_s, after_s, is_alive
    ):
        peer_table = make_peer_table([0.86] * 2, interval_s=interval_s)
        self.assertEqual(len(peer_table.live_peers(100.0 + after_s)), int(is_alive))

    def test_stopping_host_is_removed_at_once(self):
        peer_table = make_peer_table([0.86] * 4)
        stopping = peer_table.serving_hosts(22, 100.0)[0]
        if stopping == peer_table.local_host:
            stopping = peer_table.serving_hosts(22, 100.0)[1]
        peer_table.on_heartbeat(make_heartbeat(stopping, ready=False), 100.05)
        self.assertNotIn(stopping, peer_table.serving_hosts(22, 100.05))


ELSEWHERE = ServingHost("h-90", Address("10.0.1.1", 1), Address("10.0.1.1", 2))


class CutPathsTest(unittest.TestCase):
    """Some hosts have lost their paths to all instances."""

    def make_table(self, cut_off, is_local_cut_off):
        """Return the table of a host of six; cut_off of its peers reach nothing."""
        peer_table = make_peer_table([0.86] * 6)
        peers = [host for host in peer_table.known_hosts()]
        for host in peers[:cut_off]:
            peer_table.on_heartbeat(make_heartbeat(host, reaches=False), 100.0)
        peer_table.reaches_instances = not is_local_cut_off
        return peer_table, {host.name for host in peers[:cut_off]}

    @params((1, False, 3), (4, False, 2), (5, False, 1), (4, True, 1), (5, True, 0))
    def test_they_do_not_serve(self, cut_off, is_local_cut_off, expected):
        peer_table, names = self.make_table(cut_off, is_local_cut_off)
        serving = peer_table.serving_hosts(22, 100.0)
        self.assertEqual(len(serving), expected)
        self.assertFalse(names & {host.name for host in serving})

    @params(
        # peers that are cut off, age of another zone's list, where callers go
        (4, 0.0, ["h-5"]),
        (5, 0.0, ["h-90"]),
        (5, 9.0, ["h-0", "h-1", "h-2", "h-3", "h-4", "h-5"]),
        (5, None, ["h-0", "h-1", "h-2", "h-3", "h-4", "h-5"]),
    )
    def test_callers_go_to_other_zones_if_no_host_of_theirs_serves(
        self, cut_off, age_s, expected
    ):
        peer_table, _ = self.make_table(cut_off, True)
        if age_s is not None:
            hosts = ZoneHosts([ELSEWHERE], ["a", "b"])
            peer_table.on_zone_hosts("b", hosts, 100.0 - age_s)
        found = {host.name for host in peer_table.directory_hosts(22, 100.0)}
        self.assertLessEqual(found, set(expected))
        self.assertEqual(len(found), min(3, len(expected)))

    def test_cut_off_host_sends_heartbeats_often(self):
        peer_table, _ = self.make_table(0, True)
        self.assertEqual(peer_table.heartbeat_interval_s(22, 100.0), 0.4)


class StoreReaderTest(unittest.TestCase):
    @params(
        # age of the peers' store data, whether a host relies on a peer
        (0.1, True),
        (1.2, True),
        (1.4, False),
        (60.0, False),
    )
    def test_stale_store_reader_is_not_used(self, age_s, expected):
        found = []
        for n in range(6):
            hosts = [make_host(f"h-{m}") for m in range(6)]
            peer_table = PeerTable(hosts[n])
            for host in hosts:
                peer_table.on_heartbeat(make_heartbeat(host, age_s=age_s), 100.0)
            found.append(peer_table.store_reader(100.0) is not None)
        # Without a fresh peer all hosts read; else all but the first in rank follow.
        self.assertEqual(found.count(True), 5 if expected else 0)

    def test_starting_hosts_get_distinct_ranks(self):
        hosts = [make_host(f"h-{n}") for n in range(6)]
        ranks = []
        for local_host in hosts:
            peer_table = PeerTable(local_host)
            for host in hosts:
                peer_table.add_record(host)
            ranks.append(peer_table.rank_among_known())
        self.assertEqual(sorted(ranks), list(range(6)))
