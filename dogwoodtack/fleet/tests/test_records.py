"""Tests of what hosts tell each other, on the wire."""

import unittest

from nose2.tools import params

from dogwoodtack.fleet import Heartbeat, InstanceReport, PeerReport
from dogwoodtack.fleet.gateways import ZoneGateways
from dogwoodtack.fleet.records import ZoneReport, read_message, write_message
from dogwoodtack.fleet.tests.test_peers import make_beat, make_host
from dogwoodtack.misc import Address
from dogwoodtack.placement import Observation


class MessageTest(unittest.TestCase):
    @params(
        (make_beat(make_host("h-1")),),
        (
            PeerReport(
                "h-1",
                [
                    InstanceReport("i-1", 2, Observation.ERROR),
                    InstanceReport("i-2", 0, None),
                ],
            ),
        ),
        (ZoneReport("a", Address("10.0.0.1", 2), {"i-1": 3}, {"i-1": 85}, True),),
    )
    def test_a_message_survives_the_way(self, message):
        self.assertEqual(read_message(write_message(message)), message)

    @params(
        b"",
        b"\xff\xfe",
        b"[]",
        b"17",
        b"{}",
        b'{"news":"h","of":[["i",1]]}',
        b'{"news":"h","of":[["i",1,"odd"]]}',
        b'{"beat":{"name":"h"},"ready":true}',
        b'{"zone":"a","from":"nowhere","load":{},"sick":{},"on":0}',
    )
    def test_what_cannot_be_read_is_left_out(self, data):
        self.assertIsNone(read_message(data))

    def test_types_are_kept(self):
        found = read_message(write_message(make_beat(make_host("h-1"))))
        self.assertIsInstance(found, Heartbeat)


class ZoneContactsTest(unittest.TestCase):
    def test_one_host_of_a_zone_that_speaks_and_a_few_of_a_silent_one(self):
        contacts = ZoneGateways("a")
        known = [make_host(f"h-{n}", zone) for n, zone in enumerate("abbbccc")]
        speaker = known[2].peer_address
        contacts.on_digest("b", speaker, 100.0)
        found = contacts.addresses(known, 100.1)
        self.assertEqual(found[0], speaker)
        self.assertEqual(len(found), 3)
        tried = set(found[1:]) | set(contacts.addresses(known, 100.2)[1:])
        self.assertEqual(tried, {host.peer_address for host in known[4:]})
        self.assertEqual(len(contacts.addresses(known, 102.0)), 4)
