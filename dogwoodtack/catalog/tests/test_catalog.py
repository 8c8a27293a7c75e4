"""Services are validated field by field; routes are matched by whole segments."""

import unittest

from nose2.tools import params

from dogwoodtack.catalog import Catalog, parse_service
from dogwoodtack.errors import ErrorKind, RequestError

INSTANCE = {"name": "jt-1", "address": "127.0.0.1:9000", "slots": 2}


class ParseTest(unittest.TestCase):
    @params(
        ("jobtrack", [], "must be an object"),
        ("job track", {}, "letters, digits"),
        ("jobtrack", {"flor": 1}, "unknown field flor"),
        (
            "jobtrack",
            {"instances": [INSTANCE], "floor": 2},
            "floor must be from 0 to 1",
        ),
        ("jobtrack", {"instances": [INSTANCE, INSTANCE]}, "more than once"),
        ("jobtrack", {"instances": [{**INSTANCE, "slots": 0}]}, "slots must be"),
        ("jobtrack", {"instances": [{**INSTANCE, "address": "x"}]}, "address"),
        (
            "jobtrack",
            {"instances": [{**INSTANCE, "address": "no-such-host.example:80"}]},
            "address",
        ),
        ("jobtrack", {"routes": [{"host": "x", "prefix": "a"}]}, "start with /"),
        ("jobtrack", {"caution": 2}, "caution must be from"),
        ("jobtrack", {"caution": float("nan")}, "caution must be from"),
        ("jobtrack", {"shares": {"a": 0}}, "above 0"),
        ("jobtrack", {"keyless": "maybe"}, "one of run, refuse"),
    )
    def test_invalid_service_is_rejected(self, name, value, expected):
        with self.assertRaises(RequestError) as caught:
            parse_service(name, value)
        self.assertIs(caught.exception.kind, ErrorKind.INVALID_INTENT)
        self.assertIn(expected, caught.exception.detail)


class CatalogTest(unittest.TestCase):
    def setUp(self):
        self.catalog = Catalog()
        for name, prefix in (("jobtrack", "/"), ("certdocs", "/certs")):
            value = {"routes": [{"host": "Hanbit.example", "prefix": prefix}]}
            self.catalog.put(name, 1, value)

    def matched_service(self, host, path):
        match = self.catalog.match(host, path)
        return match.service.name if match else None

    @params(
        ("hanbit.example", "/racks", "jobtrack"),
        ("HANBIT.example", "/certs", "certdocs"),
        ("hanbit.example", "/certs/7?x=1", "certdocs"),
        ("hanbit.example", "/certs?x=1", "certdocs"),
        ("hanbit.example", "/certsheet", "jobtrack"),
        ("other.example", "/racks", None),
    )
    def test_longest_prefix_by_segments(self, host, path, expected):
        self.assertEqual(self.matched_service(host, path), expected)

    def test_removed_service_loses_its_routes(self):
        self.catalog.put("certdocs", 2, None)
        self.assertEqual(self.matched_service("hanbit.example", "/certs"), "jobtrack")

    @params(
        {"flor": 1},
        {"floor": "all"},
        {"slow_ms": "x"},
        {"routes": [7, {"host": "hanbit.example", "prefix": "/new"}]},
        {"routes": [{"host": "hanbit.example", "prefix": "/new", "timeout_ms": -1}]},
        {"routes": [{"host": "hanbit.example", "prefix": "/new", "later": 1}]},
        {"instances": [INSTANCE, {"name": "jt-2", "address": "x"}]},
        {"instances": [INSTANCE, INSTANCE]},
        {"instances": [{**INSTANCE, "later": 1}], "shares": 7},
    )
    def test_odd_part_of_a_new_service_spoils_only_itself(self, odd):
        """A node without a previous version answered 404 to all its requests."""
        value = {
            "routes": [{"host": "hanbit.example", "prefix": "/new"}],
            "instances": [INSTANCE],
            "caution": 0.25,
            **odd,
        }
        self.catalog.put("newdocs", 3, value)
        self.assertEqual(self.matched_service("hanbit.example", "/new/1"), "newdocs")
        service = self.catalog.get("newdocs")
        self.assertEqual([one.name for one in service.instances], ["jt-1"])
        self.assertEqual((service.caution, service.floor), (0.25, "floor" in odd))
        self.assertEqual(self.catalog.version("newdocs"), 3)

    def test_route_with_unreadable_methods_has_no_idempotent_ones(self):
        route = {"host": "hanbit.example", "prefix": "/new", "idempotent_methods": 7}
        self.catalog.put("newdocs", 3, {"routes": [route]})
        found = self.catalog.match("hanbit.example", "/new/1").route
        self.assertEqual(found.idempotent_methods, frozenset())

    @params(None, 7, [], "x", {"routes": [[]]}, {"routes": {}})
    def test_unusable_service_does_not_raise(self, value):
        self.catalog.put("newdocs", 3, value)
        self.assertEqual(self.matched_service("hanbit.example", "/new/1"), "jobtrack")

    def test_invalid_version_leaves_the_previous_one_in_force(self):
        self.catalog.put("certdocs", 2, {"routes": "none"})
        self.assertEqual(self.matched_service("hanbit.example", "/certs"), "certdocs")
        self.assertEqual(self.catalog.version("certdocs"), 1)
