"""Tests of the messages between hosts and their encoding."""

import json
import math
import unittest

from nose2.tools import params

from dogwoodtack.fleet import Heartbeat, InstanceReport, PeerReport
from dogwoodtack.fleet.gateways import ZoneGateways
from dogwoodtack.fleet.reach import HostCounts, Party
from dogwoodtack.fleet.records import (
    RelayedUsage,
    ServingHost,
    UsageReport,
    ZoneHosts,
    ZoneReport,
    decode_host,
    decode_message,
    encode_host,
    encode_message,
)
from dogwoodtack.fleet.tests.test_peers import make_heartbeat, make_host
from dogwoodtack.misc import Address
from dogwoodtack.placement import Observation, RateLimitReport, RequestMix
from dogwoodtack.position import StorePosition
from dogwoodtack.quarantine import Crash, CrashReport
from dogwoodtack.quotas import OrganisationTotal

ZONE_HOSTS = ZoneHosts(
    [ServingHost("h-1", Address("10.0.0.1", 1), Address("10.0.0.1", 2))], ["a", "b"]
)
USAGE = UsageReport("7f", (OrganisationTotal("org-1", 250, 81000),))
RELAYS = USAGE._replace(
    missing=(Party("h-9", False), Party("b", True)),
    relayed=(
        RelayedUsage(Party("h-8", False), "8f", USAGE.totals, None),
        RelayedUsage(Party("c", True), "9f", (), HostCounts(3, 1)),
    ),
)
CRASH_REPORTS = (
    CrashReport("d", True, (Crash("i-1/7", 0.25, True), Crash("i-2/0", 3.0, False))),
)

MIXES = (RequestMix("s-1", 40.5, 9.7), RequestMix("s-2", 1.0, 0.0))


def make_zone_report(**fields):
    report = ZoneReport("a", Address("10.0.0.1", 2), {}, {}, False, [], None, {})
    return report._replace(**fields)


class MessageTest(unittest.TestCase):
    @params(
        (make_heartbeat(make_host("h-1")),),
        (
            PeerReport(
                "h-1",
                [
                    InstanceReport("i-1", 2, Observation.ERROR),
                    InstanceReport("i-2", 0, None),
                ],
                [],
                {"i-1": 1796346000000},
                body_kb={"i-1": 360},
            ),
        ),
        (make_zone_report(in_flight={"i-1": 3}, unhealthy_percent={"i-1": 85}),),
        (make_zone_report(is_forwarded=True, hosts=ZONE_HOSTS),),
        (make_zone_report(leaving={"i-1": 0}),),
        (make_zone_report(body_kb={"i-1": 4000}),),
        (make_heartbeat(make_host("h-1"))._replace(body_kb={"i-1": 61}),),
        (make_zone_report(usage=USAGE, host_counts=HostCounts(37, 2)),),
        (make_heartbeat(make_host("h-1"))._replace(usage=USAGE),),
        (PeerReport("h-1", [], [], {}, USAGE),),
        (make_zone_report(usage=RELAYS, host_counts=HostCounts(37, 2)),),
        (make_heartbeat(make_host("h-1"))._replace(usage=RELAYS),),
        (PeerReport("h-1", [], [], {}, UsageReport("7f")),),
        (make_zone_report(crash_reports=CRASH_REPORTS),),
        (make_heartbeat(make_host("h-1"))._replace(crash_reports=CRASH_REPORTS),),
        (make_heartbeat(make_host("h-1"))._replace(request_mixes=MIXES),),
        (
            PeerReport(
                "h-1",
                [InstanceReport("i-1", 2, None)],
                [
                    RateLimitReport("i-1", 1.2, 0.25, 7),
                    RateLimitReport("i-2", None, 0.5, 3),
                ],
                {},
            ),
        ),
    )
    def test_message_round_trip(self, message):
        self.assertEqual(decode_message(encode_message(message)), message)

    @params(
        b"",
        b"\xff\xfe",
        b"[]",
        b"17",
        b"{}",
        b'{"news":"h","of":[["i",1]]}',
        b'{"news":"h","of":[["i",1,"odd"]]}',
        b'{"news":"h","of":[],"limits":[["i",1.2,0.1]]}',
        b'{"news":"h","of":[],"leaving":{"i":"soon"}}',
        b'{"news":"h","of":[],"limits":[["i","much",0.1,1]]}',
        b'{"news":"h","of":[],"bodies":{"i":-1}}',
        b'{"news":"h","of":[],"bodies":{"i":"x"}}',
        b'{"news":"h","of":[],"bodies":[1]}',
        b'{"beat":{"name":"h"},"ready":true}',
        b'{"zone":"a","from":"10.0.0.1:2","load":{},"sick":{},"on":0,"serving":[]}',
        b'{"zone":"a","from":"nowhere","load":{},"sick":{},"on":0}',
    )
    def test_invalid_datagram_is_dropped(self, data):
        self.assertIsNone(decode_message(data))

    @params([["s", 1.0]], [["s", 1.0, 2.0]], [["s", math.inf, 1.0]], [["s", 1, -1]], 7)
    def test_heartbeat_with_impossible_mixes_is_dropped(self, rows):
        """A share above 1 or not a number would change how requests are spread."""
        beat = json.loads(encode_message(make_heartbeat(make_host("h-1"))))
        self.assertIsNone(decode_message(json.dumps({**beat, "mixes": rows}).encode()))

    @params(
        ("name", 7),
        ("name", "h\n"),
        ("zone", None),
        ("callers", "10.0.0.1:70000"),
        ("peers", "no-such-host.example:80"),
        ("relay", "10.0.0.\ufffd:80"),
        ("strength", math.nan),
        ("strength", math.inf),
        ("strength", -1.0),
        ("strength", 10**400),
        ("strength", "much"),
    )
    def test_odd_host_record_is_dropped(self, name, value):
        """Ranking such a host, or sending to it, raised an exception."""
        fields = encode_host(make_host("h-1"))
        self.assertIsNotNone(decode_host(fields))
        self.assertIsNone(decode_host({**fields, name: value}))

    def test_deeply_nested_datagram_is_dropped(self):
        self.assertIsNone(decode_message(b"[" * 60_000))

    @params(
        # fields of a heartbeat that replace valid ones
        {"era": -1},
        {"era": "1.5"},
        {"era": 10**9},
        {"era": None},
        {"revision": "x"},
    )
    def test_heartbeat_with_an_invalid_position_is_dropped(self, fields):
        heartbeat = json.loads(encode_message(make_heartbeat(make_host("h-1"))))
        data = json.dumps({**heartbeat, **fields}).encode()
        self.assertIsNone(decode_message(data))

    def test_heartbeat_of_a_host_without_eras(self):
        """Hosts of earlier builds do not send the era."""
        heartbeat = json.loads(encode_message(make_heartbeat(make_host("h-1"))))
        del heartbeat["era"]
        found = decode_message(json.dumps(heartbeat).encode())
        self.assertEqual(found.position, StorePosition(0, 5))

    @params(
        (make_heartbeat(make_host("h-1")),),
        (make_zone_report(),),
        (PeerReport("h-1", [InstanceReport("i-1", 2, None)], [], {}),),
    )
    def test_fields_of_hosts_of_the_previous_build(self, message):
        """Neither do they send bodies, nor do hosts without any."""
        fields = json.loads(encode_message(message))
        self.assertNotIn("bodies", fields)
        self.assertEqual(decode_message(json.dumps(fields).encode()).body_kb, {})

    def test_message_type_is_kept(self):
        found = decode_message(encode_message(make_heartbeat(make_host("h-1"))))
        self.assertIsInstance(found, Heartbeat)


class ZoneGatewaysTest(unittest.TestCase):
    def test_known_gateway_or_a_few_hosts_of_a_silent_zone(self):
        gateways = ZoneGateways("a")
        known_hosts = [make_host(f"h-{n}", zone) for n, zone in enumerate("abbbccc")]
        gateway = known_hosts[2].peer_address
        gateways.on_report("b", gateway, 100.0)
        found = gateways.addresses(known_hosts, 100.1)
        self.assertEqual(found[0], gateway)
        self.assertEqual(len(found), 3)
        attempted = set(found[1:]) | set(gateways.addresses(known_hosts, 100.2)[1:])
        self.assertEqual(attempted, {host.peer_address for host in known_hosts[4:]})
        self.assertEqual(len(gateways.addresses(known_hosts, 102.0)), 4)

    def test_zone_of_which_only_reports_are_known_gets_reports(self):
        gateways = ZoneGateways("a")
        gateway = make_host("h-1", "b").peer_address
        gateways.on_report("b", gateway, 100.0)
        self.assertEqual(gateways.addresses([], 100.1), [gateway])
        self.assertEqual(gateways.addresses([], 102.0), [])


class UsageFieldsTest(unittest.TestCase):
    """Totals that are no numbers would be charged to limits for good."""

    @params(
        ({},),
        ({"run": "7f"},),
        ({"run": "7f", "orgs": [["o", 1, 2]], "hosts": [3, 0]},),
    )
    def test_usable(self, fields):
        self.assertIsNotNone(self.decode(fields))

    @params(
        ({"run": "7" * 33},),
        ({"run": "7f", "orgs": [["o", -1, 0]]},),
        ({"run": "7f", "orgs": [["o", 1e300, 0]]},),
        ({"run": "7f", "orgs": [["o", None, 0]]},),
        ({"run": "7f", "orgs": [["o", 1]]},),
        ({"run": "7f", "orgs": 3},),
        ({"hosts": [0, 0]},),
        ({"hosts": [3, 3]},),
        ({"hosts": [3]},),
        ({"missing": [["b"]]},),
        ({"relayed": [[["b", 1], "9f", [], [3]]]},),
        ({"relayed": [["b", "9f", [], None]]},),
    )
    def test_unusable(self, fields):
        self.assertIsNone(self.decode(fields))

    def decode(self, fields):
        report = json.loads(encode_message(make_zone_report()))
        return decode_message(json.dumps(report | fields).encode())

    def test_messages_without_organisations_are_as_before(self):
        fields = json.loads(encode_message(make_zone_report()))
        self.assertFalse({"run", "orgs", "hosts"} & fields.keys())
