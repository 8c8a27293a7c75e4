"""Tests of who is alive, who serves, and who reads the store."""

import unittest

from nose2.tools import params

from dogwoodtack.fleet import Heartbeat, HostRecord, PeerTable
from dogwoodtack.misc import Address


def make_host(name, zone="a", strength=0.86):
    number = int(name.rsplit("-", 1)[1])
    addresses = [Address(f"10.0.0.{number}", port) for port in (1, 2, 3)]
    return HostRecord(name, zone, *addresses, strength)


def make_beat(host, ready=True, age_s=0.1, interval_s=0.4, revision=5):
    return Heartbeat(host, ready, 7, revision, age_s, interval_s, {})


def make_peer_table(strengths, zone="a", now=100.0, **beat):
    """Return the peer_table of the first of some hosts, which has heard the others."""
    hosts = [make_host(f"h-{n}", zone, s) for n, s in enumerate(strengths)]
    peer_table = PeerTable(hosts[0])
    peer_table.is_ready = True
    for host in hosts[1:]:
        peer_table.on_heartbeat(make_beat(host, **beat), now)
    return peer_table


class ServingTest(unittest.TestCase):
    @params(
        # strengths of the zone's hosts, slots of its instances, hosts that serve
        ([0.86] * 12, 22, 3),
        ([0.86] * 12, 300, 6),
        ([0.86] * 2, 22, 2),
        ([0.86], 22, 1),
        ([2.15, 2.15] + [0.25] * 34, 69, 2),
        ([2.15, 2.15] + [0.25] * 34, 300, 5),
        ([2.15] + [0.25] * 10, 22, 2),
    )
    def test_how_many_serve(self, strengths, slots, expected):
        serving = make_peer_table(strengths).serving_hosts(slots, 100.0)
        self.assertEqual(len(serving), expected)
        strongest = sorted(strengths, reverse=True)[:expected]
        found = sorted((one.capacity for one in serving), reverse=True)
        self.assertEqual(found, strongest)

    def test_every_host_names_the_same_ones(self):
        hosts = [make_host(f"h-{n}") for n in range(8)]
        answers = set()
        for me in hosts:
            peer_table = PeerTable(me)
            peer_table.is_ready = True
            for host in hosts:
                peer_table.on_heartbeat(make_beat(host), 100.0)
            answers.add(tuple(one.name for one in peer_table.serving_hosts(22, 100.0)))
        self.assertEqual(len(answers), 1)

    @params((0.4, 1.0, True), (0.4, 1.5, False), (2.0, 5.0, True), (2.0, 7.0, False))
    def test_alive_until_three_beats_are_missed(self, interval_s, after_s, alive):
        peer_table = make_peer_table([0.86] * 2, interval_s=interval_s)
        self.assertEqual(len(peer_table.live_peers(100.0 + after_s)), int(alive))

    def test_a_host_that_stops_is_left_out_at_once(self):
        peer_table = make_peer_table([0.86] * 4)
        leaving = peer_table.serving_hosts(22, 100.0)[0]
        if leaving == peer_table.local_host:
            leaving = peer_table.serving_hosts(22, 100.0)[1]
        peer_table.on_heartbeat(make_beat(leaving, ready=False), 100.05)
        self.assertNotIn(leaving, peer_table.serving_hosts(22, 100.05))


class ReaderTest(unittest.TestCase):
    @params(
        # age of the peers' word from the store, whether this host relies on one
        (0.1, True),
        (1.2, True),
        (1.4, False),
        (60.0, False),
    )
    def test_a_stale_reader_is_not_relied_on(self, age_s, expected):
        found = []
        for n in range(6):
            hosts = [make_host(f"h-{m}") for m in range(6)]
            peer_table = PeerTable(hosts[n])
            for host in hosts:
                peer_table.on_heartbeat(make_beat(host, age_s=age_s), 100.0)
            found.append(peer_table.store_reader(100.0) is not None)
        # Without a fresh peer all read; else all but the first in rank follow.
        self.assertEqual(found.count(True), 5 if expected else 0)

    def test_starting_hosts_take_turns(self):
        hosts = [make_host(f"h-{n}") for n in range(6)]
        places = []
        for me in hosts:
            peer_table = PeerTable(me)
            for host in hosts:
                peer_table.add_record(host)
            places.append(peer_table.rank_among_known())
        self.assertEqual(sorted(places), list(range(6)))
