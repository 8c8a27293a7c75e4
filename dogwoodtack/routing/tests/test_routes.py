"""Tests of route matching and traffic splits."""

import random
import unittest
from collections import Counter

from nose2.tools import params

from dogwoodtack.routing import (
    KindChange,
    Route,
    RouteKind,
    RouteTable,
    TrafficSplitter,
    WeightedService,
    kind_changes,
)

HOST = "shop.example"
SAFE, UNSAFE, DOWNLOAD = RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.DOWNLOAD


def make_route(name, prefix="/", host="shop.example", services=(("a", 1.0),)):
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=RouteKind.SAFE,
        weighted_services=tuple(WeightedService(*service) for service in services),
        timeout_s=None,
        objective_s=1.0,
        max_attempts=2,
        priority=0,
    )


TABLE = RouteTable(
    (
        make_route("short", "/racks/"),
        make_route("long", "/racks/old/"),
        make_route("other", "/racks/", host="other.example"),
    )
)


class RouteTableTest(unittest.TestCase):
    @params(
        ("shop.example", "/racks/7", "short"),
        ("shop.example", "/racks/", "short"),
        ("shop.example", "/racks/old/7", "long"),
        ("shop.example", "/racks/older", "short"),
        ("shop.example", "/racks/7?next=/racks/old/", "short"),
        ("SHOP.example:8161", "/racks/7", "short"),
        ("other.example", "/racks/old/7", "other"),
        ("shop.example", "/racks", None),
        ("shop.example", "/rack/7", None),
        ("nobody.example", "/racks/7", None),
        ("", "/racks/7", None),
    )
    def test_longest_prefix_of_the_host_wins(self, host, target, expected):
        found = TABLE.match(host, target)
        self.assertEqual(found and found.name, expected)


def routes_of_kinds(kinds):
    return tuple(
        make_route(prefix, prefix)._replace(kind=kind) for prefix, kind in kinds.items()
    )


class KindChangesTest(unittest.TestCase):
    @params(
        ({"/a/": SAFE}, {"/a/": SAFE}, []),
        ({"/a/": SAFE}, {"/a/": DOWNLOAD}, []),
        ({"/a/": SAFE}, {}, []),
        ({}, {"/a/": UNSAFE}, []),
        ({"/a/": SAFE}, {"/a/": UNSAFE}, [("/a/", SAFE, UNSAFE)]),
        ({"/a/": UNSAFE}, {"/a/": DOWNLOAD}, [("/a/", UNSAFE, DOWNLOAD)]),
        ({"/a/": SAFE}, {"/a/": SAFE, "/a/b/": UNSAFE}, [("/a/b/", SAFE, UNSAFE)]),
        ({"/a/": SAFE, "/a/b/": UNSAFE}, {"/a/": SAFE}, [("/a/b/", UNSAFE, SAFE)]),
        ({"/a/": SAFE}, {"/a/": SAFE, "/ab/": UNSAFE}, []),
    )
    def test_changes_of_what_a_prefix_matches(self, before, after, expected):
        found = kind_changes(routes_of_kinds(before), routes_of_kinds(after))
        self.assertEqual(found, [KindChange(HOST, *change) for change in expected])


class TrafficSplitterTest(unittest.TestCase):
    @params(
        ((("a", 90.0), ("b", 10.0)), 0.0),
        ((("a", 90.0), ("b", 10.0)), 0.9),
        ((("a", 1.0), ("b", 1.0), ("c", 2.0)), 0.5),
        ((("a", 33.0), ("b", 67.0)), 0.99),
    )
    def test_request_counts_follow_the_weights(self, services, initial_phase):
        route = make_route("split", services=services)
        total = sum(weight for _, weight in services)
        splitter = TrafficSplitter(initial_phase)
        counts = Counter()
        for count in range(1, 200):
            counts[splitter.next_service(route)] += 1
            for service, weight in services:
                self.assertLess(abs(counts[service] - count * weight / total), 1.6)

    @params((70.0, 0.6), (50.0, 0.9), (10.0, 1.0))
    def test_shares_hold_while_a_short_part_rejects_and_callers_repeat(
        self, weight, rejected_share
    ):
        """What is rejected by the short part may not be moved to the other one."""
        route = make_route("split", services=(("a", weight), ("b", 100.0 - weight)))
        splitter, rng = TrafficSplitter(), random.Random(1)
        drawn = []
        while len(drawn) < 1000:
            drawn.append(splitter.next_service(route))
            if drawn[-1] == "a" and rng.random() < rejected_share:
                drawn.append(splitter.next_service(route))
        for begin in range(0, 950, 10):
            share = drawn[begin : begin + 50].count("a") / 50
            self.assertAlmostEqual(share, weight / 100, delta=0.1)

    def test_new_weights_take_effect_at_once(self):
        splitter = TrafficSplitter()
        for _ in range(50):
            splitter.next_service(
                make_route("split", services=(("a", 99.0), ("b", 1.0)))
            )
        changed = make_route("split", services=(("a", 0.0), ("b", 1.0)))
        self.assertEqual({splitter.next_service(changed) for _ in range(20)}, {"b"})
