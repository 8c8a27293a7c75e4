"""Tests of decoding the platform's objects, settings and queries."""

import math
import resource
import unittest
from unittest import mock

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
from dogwoodtack.routing import (
    CallerLimits,
    Organisation,
    RouteKind,
    WeightedService,
    digest_key,
)

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
ORGANISATION = {"apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 212, "burst": 300}
GOOD_ROUTE = decode_configuration({**CONFIG, "routes": {"r-2": ROUTE}}).routes[0]
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
        ("version", None),
        ("version", "-c"),
        ("version", "f" * 400),
        ("routes", None),
        ("routes", ["r-1"]),
    )
    def test_invalid_configuration_is_rejected(self, path, value):
        with self.assertRaises(WireFormatError):
            decode_configuration(with_field(CONFIG, path, value))

    @params(
        ("kind", "kind", RouteKind.UNSAFE, ("odd", None, 7, ["safe"], "SAFE")),
        ("timeoutS", "timeout_s", None, (None, "2", -1, math.nan, 10**400, True)),
        ("targetLatencyS", "objective_s", 1.0, (None, "x", -1, math.inf, [])),
        ("maxAttempts", "max_attempts", 1, (None, "2", 0, 1.5, math.inf, True)),
        ("priority", "priority", 99, ("1", -1, 10**400, math.nan, [], False)),
        ("priority", "priority", 0, (None,)),
        ("allowAnonymous", "allows_anonymous", False, ("true", 1, [True])),
    )
    def test_odd_field_of_a_route_spoils_only_itself(self, field, name, default, odd):
        """One unknown kind made the version, and all later ones, unusable."""
        for value in odd:
            spec = with_field(CONFIG, f"routes.r-1.{field}", value)
            spec["routes"]["r-2"] = ROUTE
            with mock.patch("dogwoodtack.platform.part_reader.log_event") as log:
                found = decode_configuration(spec)
            self.assertEqual(getattr(found.routes[0], name), default, value)
            self.assertEqual(found.routes[1], GOOD_ROUTE)
            expected = found.routes[1]._replace(name="r-1", **{name: default})
            self.assertEqual(found.routes[0], expected)
            lines = [call.kwargs for call in log.call_args_list]
            named = [(line.get("route"), line["field"]) for line in lines]
            self.assertEqual(named, [("r-1", field)])

    @params(
        ("host", (None, 7, "", "a b", "a\r\n", "\ud800", nested(900))),
        ("pathPrefix", (None, 7, "", "look/", "/a\nb")),
    )
    def test_route_without_host_or_prefix_is_left_out(self, field, odd):
        for value in odd:
            spec = with_field(CONFIG, f"routes.r-1.{field}", value)
            spec["routes"]["r-2"] = ROUTE
            self.assertEqual(decode_configuration(spec).routes, (GOOD_ROUTE,), value)

    @params(None, 7, "x", [], nested(900))
    def test_route_that_is_no_table_is_left_out(self, value):
        spec = {**CONFIG, "routes": {"r-1": value, "r-2": ROUTE}}
        self.assertEqual(decode_configuration(spec).routes, (GOOD_ROUTE,))

    @params(
        ({"trafficSplit": None}, ()),
        ({"trafficSplit": []}, ()),
        ({"trafficSplit": "jobs"}, ()),
        ({"trafficSplit": [{"service": 7}]}, ()),
        ({"trafficSplit": [7, {"service": "docs"}]}, (("docs", 1.0),)),
        ({"trafficSplit": [{"service": 7}], "service": "jobs"}, (("jobs", 1.0),)),
        ({"trafficSplit": 7, "service": "jobs"}, (("jobs", 1.0),)),
        ({"service": "jobs"}, (("jobs", 1.0),)),
        ({"service": "a\nb"}, ()),
        (
            {"trafficSplit": [{"service": "a", "weight": "x"}, {"service": "b"}]},
            (("a", 0.0), ("b", 1.0)),
        ),
        ({"trafficSplit": [{"service": "a", "weight": -1}]}, (("a", 0.0),)),
        ({"trafficSplit": [{"service": "a", "weight": math.nan}]}, (("a", 0.0),)),
    )
    def test_services_of_a_route(self, fields, expected):
        """A route that is left out would leave its requests to a shorter prefix."""
        kept = {name: ROUTE[name] for name in ("host", "pathPrefix", "kind")}
        spec = {**CONFIG, "routes": {"r-1": {**kept, **fields}}}
        self.assertEqual(
            decode_configuration(spec).routes[0].weighted_services, expected
        )

    @params(
        ("limits", 7),
        ("limits.maxHeaderBytes", "many"),
        ("limits.maxBodyBytes", -1),
        ("limits.maxBodyBytes", 10**400),
        ("limits.headerTimeoutS", math.nan),
        ("limits.headerTimeoutS", 0),
        ("limits.idleTimeoutS", math.inf),
        ("limits.idleTimeoutS", {}),
    )
    def test_odd_limit_gets_its_default(self, path, value):
        spec = with_field(CONFIG, path, value)
        self.assertEqual(decode_configuration(spec).limits, CallerLimits())

    @params(
        ("services", None, ()),
        ("services", 7, ()),
        ("services.jobs", 7, (("jobs", "/", 0),)),
        ("services.jobs.healthCheckPath", "health", (("jobs", "/", 330),)),
        ("services.jobs.healthCheckPath", "/\r\n", (("jobs", "/", 330),)),
        ("services.jobs.maxConnections", "x", (("jobs", "/health", 0),)),
        ("services.jobs.maxConnections", math.inf, (("jobs", "/health", 0),)),
    )
    def test_odd_service_spoils_only_itself(self, path, value, expected):
        """Routes name their services; the table of services only has their rules."""
        spec = with_field(CONFIG, path, value)
        found = decode_configuration(spec)
        self.assertEqual((found.services, found.version), (expected, 12))
        self.assertEqual(len(found.routes), 1)

    def test_route_without_timeout(self):
        spec = with_field(CONFIG, "routes.r-1.timeoutS", None)
        self.assertIsNone(decode_configuration(spec).routes[0].timeout_s)


class OrganisationsTest(unittest.TestCase):
    def decode(self, tenants):
        with mock.patch("dogwoodtack.platform.part_reader.log_event") as log:
            found = decode_configuration({**CONFIG, "tenants": tenants})
        lines = [call.kwargs for call in log.call_args_list]
        self.assertNotIn("k1", str(lines))
        self.reported = [(line["organisation"], line["field"]) for line in lines]
        return found.organisations

    def test_valid_organisation(self):
        found = self.decode({"org-1": ORGANISATION})
        digests = (digest_key("k1"), digest_key("k2"))
        self.assertEqual(found, (Organisation("org-1", digests, 1, 212.0, 300.0),))
        self.assertEqual(self.reported, [])
        self.assertIsNone(decode_configuration(CONFIG).organisations)

    @params(None, 7, [], "k1", ["k1"], True)
    def test_odd_table_of_organisations_makes_all_keys_invalid(self, value):
        """Taken for a missing one, it would open every route."""
        self.assertEqual(self.decode(value), ())
        self.assertEqual(self.reported, [("", "")])

    @params(
        None,
        7,
        "k1",
        {"k1": "k2"},
        [],
        [None],
        [7, ["k1"]],
        ["", "a b", "\ud800", "\ufffd", "\n"],
    )
    def test_unreadable_keys_are_invalid(self, value):
        found = self.decode({"org-1": {**ORGANISATION, "apiKeys": value}})
        self.assertEqual(found[0].key_digests, ())

    def test_unreadable_key_leaves_the_others(self):
        keys = [None, "k1", "k1", "k" * 8192]
        found = self.decode({"org-1": {**ORGANISATION, "apiKeys": keys}})
        self.assertEqual(found[0].key_digests, (digest_key("k1"),))
        self.assertEqual(self.reported, [("org-1", "apiKeys")])

    @params("org-2", "a\r\nb: c", " a", "")
    def test_key_of_two_organisations_is_valid_for_neither(self, other):
        tenants = {"org-1": ORGANISATION, other: {"apiKeys": ["k1", "k3"]}}
        digests = [one.key_digests for one in self.decode(tenants)]
        expected = [(digest_key("k2"),), (digest_key("k3"),)]
        self.assertEqual(digests, expected if other == "org-2" else expected[:1])

    @params("Org One", "b\u00fcro")
    def test_name_that_a_header_can_have(self, name):
        self.assertEqual(self.decode({name: ORGANISATION})[0].name, name)

    @params(None, 7, [], "k1")
    def test_odd_organisation_spoils_only_itself(self, value):
        found = self.decode({"org-1": value, "org-2": ORGANISATION})
        self.assertEqual([len(one.key_digests) for one in found], [0, 2])

    @params(None, "212", -1, math.nan, 10**400, True)
    def test_unreadable_rate_is_no_limit(self, value):
        found = self.decode({"org-1": {**ORGANISATION, "ratePerS": value}})
        self.assertEqual(found[0].rate_per_s, 0.0)
        self.assertEqual(self.reported, [("org-1", "ratePerS")])

    @params(None, "212", -1, math.inf)
    def test_unreadable_burst_is_what_a_second_allows(self, value):
        found = self.decode({"org-1": {**ORGANISATION, "burst": value}})
        self.assertEqual(found[0].burst, 212.0)

    @params(None, "0", -1, 1.5)
    def test_unreadable_priority_is_the_least_urgent(self, value):
        found = self.decode({"org-1": {**ORGANISATION, "priority": value}})
        self.assertEqual(found[0].priority, 99)

    def test_many_odd_parts_log_a_bounded_number_of_lines(self):
        with mock.patch("dogwoodtack.platform.part_reader.log_event") as log:
            decode_configuration(
                {**CONFIG, "routes": dict.fromkeys(map(str, range(500)))}
            )
        self.assertEqual(log.call_count, 101)
        self.assertEqual(log.call_args.kwargs["count"], 500)


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
        # bounds, whether revocation is strict, seconds
        ([], False, 5.0),
        (["strictRevocation=false", "revokeS=5"], False, 5.0),
        (["strictRevocation=true", "revokeS=2.5"], True, 2.5),
        ([" strictRevocation = False ", " revokeS = 3"], False, 3.0),
        (["strictRevocation=yes"], True, 5.0),
        (["strictRevocation="], True, 5.0),
        (["revokeS=soon"], False, 5.0),
        (["revokeS=0"], False, 5.0),
        (["revokeS=nan"], False, 5.0),
        (["revokeS=inf"], False, 5.0),
    )
    def test_revocation(self, bounds, is_strict, seconds):
        """A host with an odd bound went on with keys that had been removed."""
        found = decode_entry_settings({**SETTINGS, "bounds": bounds}).bounds
        self.assertEqual(
            (found.strict_revocation, found.revoke_s), (is_strict, seconds)
        )

    @params(
        ([], "auto"),
        (["balancing = even"], "even"),
        (["balancing=packed", "graceS=7.5"], "packed"),
    )
    def test_balancing(self, bounds, expected):
        found = decode_entry_settings({**SETTINGS, "bounds": bounds})
        self.assertEqual(found.bounds.balancing, expected)

    @params(
        ("bounds", ["balancing=fair"]),
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
