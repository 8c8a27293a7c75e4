"""Tests of host assignments: their number, their zones, and what a change moves."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.catalog import parse_service
from dogwoodtack.membership import (
    HostAssignments,
    Member,
    assigned_host_count,
    assigned_hosts,
)
from dogwoodtack.misc import Address

ZONES = 3
HOSTS = 36


def member(number):
    address = Address("127.0.0.1", 1000 + number)
    return Member(f"entry-{number}", "x", f"zone-{number % ZONES}", address, address)


MEMBERS = [member(number) for number in range(HOSTS)]


class AssignedHostsTest(unittest.TestCase):
    @params((20, 2, 6), (25, 6, 19), (6, 2, 6), (200, 6, 36))
    def test_host_count(self, instances, slots, expected):
        items = [
            {"name": f"i-{at}", "address": "127.0.0.1:9000", "slots": slots}
            for at in range(instances)
        ]
        service = parse_service("jobtrack", {"instances": items})
        self.assertEqual(assigned_host_count(service), expected)

    @params("jobtrack", "certdocs", "enrol-core")
    def test_zones_are_used_in_turn(self, service):
        zones = [one.zone for one in assigned_hosts(service, MEMBERS, 6)]
        self.assertEqual({zones.count(zone) for zone in set(zones)}, {2})

    @params("jobtrack", "certdocs", "enrol-core")
    def test_lost_host_moves_only_its_own_assignment(self, service):
        hosts = assigned_hosts(service, MEMBERS, 6)
        left = [one for one in MEMBERS if one != hosts[0]]
        after = assigned_hosts(service, left, 6)
        self.assertEqual(len(set(after) - set(hosts)), 1)
        unassigned = [one for one in MEMBERS if one not in hosts]
        kept = [one for one in MEMBERS if one != unassigned[0]]
        self.assertEqual(assigned_hosts(service, kept, 6), hosts)

    def test_single_zone(self):
        in_zone = [one for one in MEMBERS if one.zone == "zone-0"]
        self.assertEqual(len(assigned_hosts("jobtrack", in_zone, 6)), 6)


class FakeMembership:
    """A membership whose serving members the test sets."""

    def __init__(self, members):
        self.members = list(members)
        self.local_member = members[0]

    def serving_members(self):
        return self.members


class HostAssignmentsTest(unittest.TestCase):
    CHANGES = 200
    SERVICES = 12
    MAX_RANKINGS = SERVICES + CHANGES * SERVICES // 4

    def setUp(self):
        self.rng = random.Random(7)
        self.membership = FakeMembership(MEMBERS)
        self.assignments = HostAssignments(self.membership)
        item = {"name": "i", "address": "127.0.0.1:9000", "slots": 2}
        self.services = [
            parse_service(f"service-{number}", {"instances": [item]})
            for number in range(self.SERVICES)
        ]

    def change(self, number):
        members = list(self.membership.members)
        if self.rng.random() < 0.5 and len(members) > HOSTS // 2:
            members.remove(self.rng.choice(members))
        else:
            members.append(member(HOSTS + number))
        self.membership.members = members

    @params(1, 3, 100)
    def test_cache_agrees_with_a_full_ranking(self, changes_between):
        for number in range(self.CHANGES):
            self.change(number)
            if number % changes_between:
                continue
            for service in self.services:
                expected = assigned_hosts(service.name, self.membership.members, 6)
                self.assertEqual(self.assignments.for_service(service), expected)

    def test_most_changes_need_no_ranking(self):
        for number in range(self.CHANGES):
            self.change(number)
            for service in self.services:
                self.assignments.for_service(service)
        self.assertLess(self.assignments.ranking_count, self.MAX_RANKINGS)
