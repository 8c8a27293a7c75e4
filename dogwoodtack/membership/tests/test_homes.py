"""Tests of home sets: their size, their zones, and what moves."""

import unittest

from nose2.tools import params

from dogwoodtack.catalog import parse_service
from dogwoodtack.membership import Member, home_set, home_size
from dogwoodtack.misc import Address

ZONES = 3
HOSTS = 36


def member(number):
    address = Address("127.0.0.1", 1000 + number)
    return Member(f"entry-{number}", "x", f"zone-{number % ZONES}", address, address)


MEMBERS = [member(number) for number in range(HOSTS)]


class HomeSetTest(unittest.TestCase):
    @params((20, 2, 6), (25, 6, 19), (6, 2, 6), (200, 6, 36))
    def test_size(self, instances, slots, expected):
        items = [
            {"name": f"i-{at}", "address": "127.0.0.1:9000", "slots": slots}
            for at in range(instances)
        ]
        service = parse_service("jobtrack", {"instances": items})
        self.assertEqual(home_size(service), expected)

    @params("jobtrack", "certdocs", "enrol-core")
    def test_zones_are_drawn_on_in_turn(self, service):
        zones = [one.zone for one in home_set(service, MEMBERS, 6)]
        self.assertEqual({zones.count(zone) for zone in set(zones)}, {2})

    @params("jobtrack", "certdocs", "enrol-core")
    def test_a_lost_host_moves_only_its_own_place(self, service):
        homes = home_set(service, MEMBERS, 6)
        left = [one for one in MEMBERS if one != homes[0]]
        after = home_set(service, left, 6)
        self.assertEqual(len(set(after) - set(homes)), 1)
        elsewhere = [one for one in MEMBERS if one not in homes]
        kept = [one for one in MEMBERS if one != elsewhere[0]]
        self.assertEqual(home_set(service, kept, 6), homes)

    def test_one_zone_alone(self):
        alone = [one for one in MEMBERS if one.zone == "zone-0"]
        self.assertEqual(len(home_set("jobtrack", alone, 6)), 6)
