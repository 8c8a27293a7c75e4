"""Tests of decoding the platform's objects, settings and queries."""

import math
import resource
import unittest

from nose2.tools import params

from dogwoodtack.entry import AddressQuery, ReadinessQuery
from dogwoodtack.errors import SettingsError
from dogwoodtack.misc import Address
from dogwoodtack.placement import EntryVersion
from dogwoodtack.platform import decode_entry_settings, parse_query
from dogwoodtack.platform.wire import (
    WireFormatError,
    decode_configuration,
    decode_entry_version,
    decode_instance,
)
from dogwoodtack.routing import RouteKind, WeightedService

ENTRY = {
    "metadata": {"name": "i-1", "revision": 8},
    "spec": {
        "address": "10.128.0.9:8080",
        "born": 1796346000000,
        "info": {"service": "jobs", "version": "v1", "zone": "a", "slots": 2},
    },
    "status": {"state": "ready", "sequence": 4, "warmupLeftS": 0.5},
}
ROUTE = {
    "host": "Shop.example",
    "pathPrefix": "/look/",
    "kind": "safe",
    "timeoutS": 2,
    "targetLatencyS": 0.8,
    "priority": 2,
    "trafficSplit": [
        {"service": "jobs", "weight": 90},
        {"service": "docs", "weight": 10},
    ],
    "maxAttempts": 2,
}
CONFIG = {
    "version": "0000000c",
    "routes": {"r-1": ROUTE},
    "services": {"jobs": {"healthCheckPath": "/health", "maxConnections": 330}},
    "limits": {"idleTimeoutS": 15},
}
SETTINGS = {
    "node": "front-a-1",
    "zone": "a",
    "internalPortRange": [7720, 7735],
    "seeds": ["10.1.0.10:8166"],
    "bounds": ["graceS=7.5", "retryBudgetRatio=0.3", "closed=false"],
    "listen": {
        "front": "10.1.0.10:8161",
        "ready": "10.1.0.10:8167",
        "directory": "10.1.0.10:8164",
    },
    "limits": {"cpuShare": 0.43, "cores": 2, "linkMbps": 10.0},
    "platform": {"address": "10.200.1.7:8169"},
    "news": "ignored",
}


def with_field(base, path, value):
    """Return a copy of nested fields with one replaced, or removed if None."""
    copy = dict(base)
    key, _, rest = path.partition(".")
    if rest:
        copy[key] = with_field(base[key], rest, value)
    elif value is None:
        del copy[key]
    else:
        copy[key] = value
    return copy


def nested(depth):
    """Return lists in lists, as deep as a JSON decoder returns them."""
    value = []
    for _ in range(depth):
        value = [value]
    return value


class InstanceTest(unittest.TestCase):
    def test_valid_entry(self):
        instance = decode_instance(ENTRY)
        self.assertEqual(instance[:5], ("i-1", "jobs", ("10.128.0.9", 8080), "a", 2))
        self.assertFalse(instance.is_draining)
        self.assertEqual((instance.warmup_s, instance.born_ms), (0.5, 1796346000000))

    @params(
        ("status.state", "odd"),
        ("status.state", None),
        ("spec.info.slots", "two"),
        ("spec.info.slots", 0),
        ("spec.info.slots", True),
        ("spec.info.service", 7),
        ("spec.info.zone", None),
        ("spec.address", "nowhere"),
        ("spec.address", None),
        ("spec.born", math.inf),
        ("status.warmupLeftS", "soon"),
        ("spec", 17),
        ("metadata", None),
        # Addresses to which no connection can be made.
        ("spec.address", "10.128.0.\ufffd:8080"),
        ("spec.address", "shop.example:8080"),
        ("spec.address", "localhost:8080"),
        ("spec.address", "10.128.0:8080"),
        ("spec.address", "10.128.0.9.9:8080"),
        ("spec.address", "[::1]:8080"),
        ("spec.address", "0.0.0.0:8080"),
        ("spec.address", "255.255.255.255:8080"),
        ("spec.address", "224.0.0.1:8080"),
        ("spec.address", "10.128.0.9:0"),
        ("spec.address", "10.128.0.9:65536"),
        ("spec.address", "10.128.0.9:-1"),
        ("spec.address", "10.128.0.9:" + "9" * 400),
        ("spec.address", "10.128.0.9:\uff18\uff10"),
        ("spec.address", "10.128.0.9\0:8080"),
        ("spec.address", ["10.128.0.9", 8080]),
        # Numbers that can't be computed with, or that attract all requests.
        ("spec.info.slots", 10**400),
        ("spec.info.slots", 10**6),
        ("spec.info.slots", -1),
        ("spec.info.slots", 2.5),
        ("spec.info.slots", math.inf),
        ("spec.info.slots", math.nan),
        ("spec.born", 10**400),
        ("spec.born", -1),
        ("spec.born", 1.5),
        ("spec.born", math.nan),
        ("spec.born", "1796346000000"),
        ("spec.born", True),
        ("status.sequence", 10**400),
        ("status.sequence", math.nan),
        ("status.sequence", "4"),
        ("status.warmupLeftS", 10**400),
        ("status.warmupLeftS", math.inf),
        ("status.warmupLeftS", math.nan),
        ("status.warmupLeftS", "1"),
        ("status.warmupLeftS", True),
        # Texts that fit no header, path or log line, and other types.
        ("metadata.name", "i-1\r\nx: y"),
        ("metadata.name", "i-\ud800"),
        ("metadata.name", "i" * 300),
        ("metadata.name", ["i-1"]),
        ("spec.info.service", ""),
        ("spec.info.service", ["jobs"]),
        ("spec.info.zone", "a\nb"),
        ("spec.info.zone", {}),
        ("spec.info.version", 7),
        ("status.state", ["ready"]),
        ("spec.info", "jobs"),
        ("status", []),
        ("spec.address", nested(900)),
        ("spec.info.slots", nested(900)),
        ("status.state", nested(900)),
        ("spec.info.service", nested(900)),
    )
    def test_entry_of_another_program_is_rejected(self, path, value):
        with self.assertRaises(WireFormatError):
            decode_instance(with_field(ENTRY, path, value))

    @params(
        ("status.warmupLeftS", -0.01),
        ("status.warmupLeftS", 0),
        ("status.warmupLeftS", None),
        ("status.sequence", None),
        ("spec.born", None),
        ("spec.info.version", None),
        ("spec.note", nested(900)),
    )
    def test_usable_entry(self, path, value):
        self.assertEqual(decode_instance(with_field(ENTRY, path, value)).slots, 2)

    @params(
        ("spec.born", math.inf),
        ("status.sequence", math.inf),
        ("status.sequence", 10**400),
        ("spec", 17),
        ("status.sequence", nested(900)),
    )
    def test_unusable_version_counts_as_unknown(self, path, value):
        entry_version = decode_entry_version(with_field(ENTRY, path, value))
        self.assertEqual(entry_version, EntryVersion())


class ConfigurationTest(unittest.TestCase):
    def test_valid_configuration(self):
        found = decode_configuration(CONFIG)
        route = found.routes[0]
        self.assertEqual(found.version, 12)
        self.assertEqual((route.host, route.kind), ("shop.example", RouteKind.SAFE))
        self.assertEqual(
            route.weighted_services,
            (WeightedService("jobs", 90.0), WeightedService("docs", 10.0)),
        )
        self.assertEqual(found.limits.idle_timeout_s, 15.0)
        self.assertEqual(found.limits.max_header_bytes, 16384)

    @params(
        ("version", "odd!"),
        ("version", 12),
        ("routes", None),
        ("services", None),
        ("routes.r-1.kind", "odd"),
        ("routes.r-1.host", None),
        ("routes.r-1.maxAttempts", math.inf),
    )
    def test_invalid_configuration_is_rejected(self, path, value):
        with self.assertRaises(WireFormatError):
            decode_configuration(with_field(CONFIG, path, value))

    def test_route_without_timeout(self):
        spec = with_field(CONFIG, "routes.r-1.timeoutS", None)
        self.assertIsNone(decode_configuration(spec).routes[0].timeout_s)


class SettingsTest(unittest.TestCase):
    @params((4100, 4100), (None, resource.getrlimit(resource.RLIMIT_NOFILE)[0]))
    def test_limit_of_descriptors(self, value, expected):
        limits = {**SETTINGS["limits"], **({"maxFds": value} if value else {})}
        found = decode_entry_settings({**SETTINGS, "limits": limits})
        self.assertEqual(found.max_descriptors, expected)

    def test_valid_settings(self):
        found = decode_entry_settings(SETTINGS)
        self.assertEqual(found.callers, Address("10.1.0.10", 8161))
        self.assertEqual(found.cores, 0.86)
        self.assertEqual(found.bounds.grace_s, 7.5)
        self.assertEqual(found.bounds.retries.ratio, 0.3)
        self.assertEqual(found.bounds.retries.slack, 56.0)
        self.assertEqual(found.bounds.max_pause_s, 300.0)

    @params(
        ([], (5.0, 0.1, 20.0)),
        (["quotaWindowS=10", "quotaOver=0.2", "quotaSlack=0"], (10.0, 0.2, 0.0)),
        (["quotaWindowS=nan", "quotaOver=-1", "quotaSlack=inf"], (5.0, 0.1, 20.0)),
        (["quotaWindowS=soon", "quotaSlack"], (5.0, 0.1, 20.0)),
    )
    def test_bounds_of_quotas(self, bounds, expected):
        found = decode_entry_settings({**SETTINGS, "bounds": bounds})
        self.assertEqual(found.bounds.quotas, expected)

    def test_longest_pause(self):
        found = decode_entry_settings({**SETTINGS, "bounds": ["maxPauseS = 12.5"]})
        self.assertEqual(found.bounds.max_pause_s, 12.5)

    @params(
        ("node", None),
        ("listen.front", "nowhere"),
        ("listen.directory", None),
        ("platform.address", None),
        ("limits.cpuShare", "much"),
        ("internalPortRange", [1]),
        ("internalPortRange", [7720, 7720]),
        ("bounds", ["maxPauseS=soon"]),
        ("bounds", ["maxPauseS=0"]),
        ("bounds", ["maxPauseS=-1"]),
        ("bounds", ["maxPauseS=inf"]),
        ("bounds", ["maxPauseS=nan"]),
        ("limits.maxFds", "many"),
        ("limits.maxFds", 0),
        ("limits.maxFds", math.inf),
        ("limits.memoryMb", 0),
        ("limits.memoryMb", math.nan),
        ("limits.memoryMb", "much"),
    )
    def test_invalid_settings_are_rejected(self, path, value):
        with self.assertRaises(SettingsError):
            decode_entry_settings(with_field(SETTINGS, path, value))


class QueryTest(unittest.TestCase):
    @params(
        ("GET", "/dogwoodtack/ready", ReadinessQuery()),
        (
            "GET",
            "/dogwoodtack/resolve?name=shop.example&region=r&zone=a",
            AddressQuery("shop.example", "a"),
        ),
        ("GET", "/dogwoodtack/resolve", AddressQuery("", "")),
        ("POST", "/dogwoodtack/ready", None),
        ("GET", "/other", None),
    )
    def test_query(self, method, target, expected):
        self.assertEqual(parse_query(method, target), expected)
